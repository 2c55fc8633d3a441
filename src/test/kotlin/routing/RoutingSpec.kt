/*
 * Tests target selection against an exhaustive list of the allowed targets, and the rules for ejection, leaving
 * targets, prefix affinity and suspects.
 */
package org.sesamerouter.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentMapOf
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.configuration.PoolSpec
import org.sesamerouter.configuration.StageKind
import org.sesamerouter.configuration.TargetSpec
import org.sesamerouter.histories
import org.sesamerouter.target.LoadReport
import java.util.Random

private fun tableOf(count: Int, slots: Int = 4): TargetTable {
    val targets = List(count) { TargetSpec("t$it", "127.0.0.1:${9_000 + it}", slots = slots) }
    val pools = persistentMapOf("p" to PoolSpec(StageKind.GENERATE, targets))
    val catalogue = Catalogue(0, pools, persistentMapOf(), persistentMapOf(), persistentMapOf(), persistentMapOf())
    return TargetTable().also { it.apply(catalogue, liveHosts = 1) }
}

private fun TargetTable.key(index: Int) = TargetKey("p", "t$index")

private fun TargetTable.pool() = checkNotNull(pool("p"))

class RoutingSpec :
    FunSpec({
        test("chooses an allowed target whenever there is one, and no other") {
            checkAll(histories(seed = 81), Arb.list(Arb.int(0..99_999), 1..60)) { steps ->
                val table = tableOf(5)
                val chooser = defaultTargetChooser("h", Random(1))
                var now = 0L
                for (step in steps) {
                    val key = table.key(step / 16 % 5)
                    now += step % 7 * 100
                    when (step % 8) {
                        0 -> table.onReport(key, LoadReport("i", step % 6, step % 3, 4, leaving = step % 5 == 0), now)

                        1 -> table.onFailure(key, connection = step % 2 == 0, now)

                        2 -> table.onSuccess(key, ms = (step % 400).toLong(), expectedMs = 10, now)

                        3 -> table.onRefusal(key, leaving = step % 3 == 0, now)

                        4 -> table.applyHostList(
                            if (step % 2 == 0) {
                                setOf("127.0.0.1:${9_000 + step % 5}")
                            } else {
                                emptySet()
                            },
                        )

                        5 -> table.onEnd(key, "f")

                        else -> {
                            val suspect = step % 3 == 0
                            val request = ChoiceRequest(step.toLong().takeIf { step % 2 == 0 }, setOf(key), suspect)
                            val allowed = table.pool().targets.filter {
                                !it.leaving && it.ejectedUntilMs <= now && it.inProgress < it.concurrency.limit
                            }
                            val chosen = chooser.choose(table.pool(), request, now)
                            (chosen != null) shouldBe allowed.isNotEmpty()
                            if (chosen != null) {
                                allowed shouldContain chosen
                                if (allowed.any { it.key != key }) (chosen.key != key).shouldBeTrue()
                                table.onStart(chosen.key)
                            }
                        }
                    }
                }
            }
        }

        test("a target is leaving when the host list, its load report or a refusal says so") {
            val table = tableOf(4)
            table.applyHostList(setOf("127.0.0.1:9000"))
            table.onReport(table.key(1), LoadReport("i", leaving = true), 0)
            table.onRefusal(table.key(2), leaving = true, 0)
            table.pool().usable(0).map { it.key } shouldBe listOf(table.key(3))
        }

        test("failing targets are ejected, but without connection failures at most a third of the pool") {
            val table = tableOf(6)
            repeat(6) { target -> repeat(3) { table.onFailure(table.key(target), connection = false, 0) } }
            table.pool().usable(0).size shouldBe 4
            table.pool().usable(60_001).size shouldBe 6
        }

        test("a straggler is ejected after a few answers with a much higher latency than those of its peers") {
            val table = tableOf(3)
            repeat(6) {
                table.onSuccess(table.key(0), 10, 10, 0)
                table.onSuccess(table.key(1), 10, 10, 0)
                table.onSuccess(table.key(2), 100, 10, 0)
            }
            table.pool().usable(0).map { it.key } shouldBe listOf(table.key(0), table.key(1))
        }

        test("a target that restarted is readmitted immediately") {
            val table = tableOf(2)
            table.onReport(table.key(0), LoadReport("one"), 0)
            table.onFailure(table.key(0), connection = true, 0)
            table.pool().usable(1).size shouldBe 1
            table.onReport(table.key(0), LoadReport("two"), 1)
            table.pool().usable(1).size shouldBe 2
        }

        test("requests with the same prefix go to one target until its load exceeds the bound") {
            val table = tableOf(4, slots = 8)
            val chooser = defaultTargetChooser("h", Random(1))
            val chosen = List(8) {
                val target = checkNotNull(chooser.choose(table.pool(), ChoiceRequest(prefixHash = 7), 0))
                table.onStart(target.key)
                target.key
            }
            chosen.take(2).distinct().size shouldBe 1
            chosen.distinct().size shouldBeGreaterThan 1
            chosen.groupBy { it }.maxOf { it.value.size } shouldBeLessThanOrEqual 4
        }

        test("a target runs one suspect at a time") {
            val table = tableOf(1)
            val chooser = defaultTargetChooser("h", Random(1))
            table.pool().targets.single().suspect = "f"
            chooser.choose(table.pool(), ChoiceRequest(suspect = true), 0).shouldBeNull()
            (chooser.choose(table.pool(), ChoiceRequest(suspect = false), 0) == null).shouldBeFalse()
        }
    })
