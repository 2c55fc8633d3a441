/*
 * Tests whose an answer on a connection to a target is.
 */
package org.sesamerouter.web

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val FIRST_SEED = 1L
private const val HISTORY_COUNT = 20_000

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
    })
