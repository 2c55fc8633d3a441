/*
 * Tests whose an answer on a connection to a target is.
 */
package org.sesamerouter.web

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.HttpStatusClass

private const val FIRST_SEED = 1L
private const val HISTORY_COUNT = 20_000
private const val CONTROL_COUNT = 2_000

private val byPlace = OwnerRule { calls, head ->
    when {
        calls.waiting == null -> AnswerOwner.UNASKED
        head.status().codeClass() == HttpStatusClass.INFORMATIONAL -> AnswerOwner.INTERIM
        else -> AnswerOwner.WAITING
    }
}

private val byIdOrPlace = OwnerRule { calls, head ->
    if (head.headers().contains("Request-Id")) OwnerById.ownerOf(calls, head) else byPlace.ownerOf(calls, head)
}

class AnswerOwnerSpec :
    FunSpec({
        // Guards against MIXED: a call ends with a copy of another one's answer, or with a part of its own.
        test("no call is given an answer that is not its own, or not whole") {
            println("seeds $FIRST_SEED to ${FIRST_SEED + HISTORY_COUNT - 1}")
            var completed = 0
            val failures = (FIRST_SEED until FIRST_SEED + HISTORY_COUNT).flatMap { seed ->
                ConnectionHistory(seed).use { history -> history.play().also { completed += history.completed } }
            }
            val kinds = failures.groupingBy { it.kind }.eachCount()
            println("$completed calls were given their answers; failures: $kinds")
            withClue("$kinds, the first: ${failures.firstOrNull()?.text}") { failures.size shouldBe 0 }
            completed shouldBeGreaterThan HISTORY_COUNT
        }

        test("the histories report an owner that is told by the place of an answer, or by an id where there is one") {
            for ((name, rule) in mapOf("place" to byPlace, "id or place" to byIdOrPlace)) {
                val kinds = (FIRST_SEED until FIRST_SEED + CONTROL_COUNT)
                    .flatMap { seed -> ConnectionHistory(seed, rule).use(ConnectionHistory::play) }
                    .groupingBy { it.kind }.eachCount()
                println("owner by $name: $kinds")
                withClue("owner by $name") { kinds.getOrDefault("ended with another body", 0) shouldBeGreaterThan 0 }
            }
        }
    })
