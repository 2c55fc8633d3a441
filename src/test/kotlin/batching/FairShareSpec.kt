/*
 * Tests of which jobs of an overloaded pool are left out: by priority first, then by the shares of organisations.
 */
package org.sesamerouter.batching

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.histories
import kotlin.random.Random

private fun queued(number: Int, rank: Int, organisation: String, pieces: Int = 1, isReturn: Boolean = false) =
    QueuedJob(
        job("j$number", pieces, rank).copy(organisation = organisation, isReturn = isReturn),
        0,
        number.toLong(),
    )

/** Removes the job that is left out first by scanning all [jobs]. */
private fun removeByScan(jobs: MutableList<QueuedJob>): QueuedJob {
    val ofRank = jobs.filter { job -> job.spec.rank == jobs.maxOf { it.spec.rank } }
    val organisation = ofRank.groupBy { it.spec.organisation }.entries
        .sortedWith(
            compareByDescending<Map.Entry<String, List<QueuedJob>>> { (_, of) -> of.sumOf { it.waiting.size } }
                .thenBy { it.key },
        ).first().value
    return organisation.sortedWith(
        compareByDescending<QueuedJob> { it.spec.isReturn }.thenByDescending { it.sequence },
    ).first().also(jobs::remove)
}

class FairShareSpec :
    FunSpec({
        test("one organisation at ten times its share: its newest jobs are left out, not those of others due later") {
            val queue = PieceQueue("stock", SPEC).also { it.update(listOf(target("t1")), 0) }
            queue.submit(job("running", 8), 0)
            repeat(10) { queue.submit(job("big$it", 2, objectiveLeftMs = 1_200).copy(organisation = "big"), 1) }
            val small = job("small", 2, objectiveLeftMs = 1_300).copy(organisation = "small")
            queue.submit(small, 2)
            val left = (1..8).flatMap { queue.onTick(10 + it * 25L).done() }.map { it.job }
            left.none { it == "small" } shouldBe true
            left shouldContainExactly left.filter { it.startsWith("big") }
            (left.size > 1) shouldBe true
        }

        test("an organisation over its share is named only while not all jobs can be in time") {
            val queue = PieceQueue("stock", SPEC).also { it.update(listOf(target("t1")), 0) }
            queue.submit(job("running", 8), 0)
            repeat(3) { queue.submit(job("big$it", 2, objectiveLeftMs = 1_300).copy(organisation = "big"), 1) }
            queue.submit(job("small", 1, objectiveLeftMs = 1_300).copy(organisation = "small"), 2)
            queue.submit(job("other", 1, objectiveLeftMs = 1_300).copy(organisation = "other"), 2)
            queue.overShare(3) shouldBe emptyMap()
            repeat(20) { queue.submit(job("more$it", 2, objectiveLeftMs = 1_300).copy(organisation = "big"), 4) }
            queue.overShare(5) shouldBe mapOf(1 to listOf("big"))
        }

        // Guards against an urgent job that displaces others though nothing could bring it in time.
        test("slow pool: a job that would be late even alone displaces no other") {
            val queue = PieceQueue("stock", SPEC).also { it.update(listOf(target("t1")), 0) }
            queue.submit(job("running", 8), 0)
            queue.submit(job("low", 8, rank = 2, objectiveLeftMs = 900), 1)
            queue.submit(job("hopeless", 8, rank = 0, objectiveLeftMs = 300), 2)
            (1..12).flatMap { queue.onTick(2 + it * 25L).done() }.map { it.job }.filter { it == "low" }.shouldBeEmpty()
        }

        test("immediate repeats: returning callers of an organisation are left out before its first attempts") {
            val jobs = ScheduledJobs()
            val first = queued(1, 1, "a")
            val again = queued(0, 1, "a", isReturn = true)
            listOf(again, first).forEach(jobs::add)
            listOf(jobs.removeLast(), jobs.removeLast()) shouldContainExactly listOf(again, first)
        }

        test("generated histories: the job left out is the one that a scan of all jobs finds") {
            checkAll(histories(seed = 53), Arb.long()) { seed ->
                val random = Random(seed)
                val scheduled = ScheduledJobs()
                val all = ArrayList<QueuedJob>()
                repeat(40) { step ->
                    if (all.isEmpty() || random.nextInt(3) > 0) {
                        val job = queued(
                            step,
                            random.nextInt(3),
                            "o${random.nextInt(4)}",
                            random.nextInt(1, 5),
                            random.nextBoolean(),
                        )
                        scheduled.add(job)
                        all += job
                    } else {
                        scheduled.removeLast() shouldBe removeByScan(all)
                    }
                }
            }
        }
    })
