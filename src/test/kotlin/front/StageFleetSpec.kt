/*
 * Tests of a fleet before a chain of stage pools under a burst of the most urgent kind of request, while hosts differ
 * about who owns the queues.
 */
package org.sesamerouter.front

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private val SEEDS = listOf(7L, 8L, 9L)
private val DOUBT = 6_700L..10_000L

class StageFleetSpec :
    FunSpec({
        fun run(seed: Long, doubt: LongRange = LongRange.EMPTY, hopMs: Long = 25) =
            StageFleet(seed, doubt = doubt, hopMs = hopMs).run().also {
                println("seed $seed, doubt $doubt: ${it.text()}")
            }

        // Guards against two queues of one pool that both count on all of its targets (incident SHORT).
        test("three seconds of doubt about the owners in a burst cost less than a tenth of the urgent requests") {
            for (seed in SEEDS) {
                val calm = run(seed).kinds[0]
                val doubted = run(seed, DOUBT).kinds[0]
                withClue("seed $seed, $calm in calm") { doubted.inTime shouldBeGreaterThanOrEqual calm.inTime * 9 / 10 }
            }
        }

        // Guards against a suspicion that starts a second queue while the owner still runs calls (incident SHORT).
        test("while hosts suspect the owner of a queue that lives, no other host calls the targets of its pool") {
            for (seed in SEEDS) withClue("seed $seed") { run(seed, DOUBT).overlappingCalls shouldBe 0 }
        }

        // Guards against results that are freed at a host that does not count them (incident SHORT).
        test("when all requests have ended after doubt about the owners, no queue counts space as used") {
            for (seed in SEEDS) withClue("seed $seed") { run(seed, DOUBT).countedBytes shouldBe 0 }
        }

        // Guards against a pool that stops: space counted for good and targets held to be slow (incident SHORT).
        test("no pool with waiting pieces and idle targets is without a call for a second, during doubt and after it") {
            for (seed in SEEDS) {
                val result = run(seed, DOUBT)
                withClue("seed $seed, until ${result.stallEndMs}") {
                    result.longestStallMs shouldBeLessThanOrEqual
                        1_000L
                }
            }
        }
    })

private fun FleetResult.text() = kinds.joinToString { kind ->
    val times = kind.rejectedMs.sorted()
    val early = if (times.isEmpty()) 0L else times[times.size * 9 / 10]
    "${kind.asked} asked, ${kind.inTime} in time, ${kind.late} late, ${times.size} rejected (9 in 10 within $early ms)"
} + ", gone $gone, no room $noRoom, stall $longestStallMs until $stallEndMs, overlapping calls $overlappingCalls"
