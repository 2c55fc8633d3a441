/*
 * Tests the fair queue against a reference implementation that scans all entries.
 */
package org.sesamerouter.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.sesamerouter.histories

private class ReferenceFairQueue {
    private class Item(val entry: QueueEntry, val sequence: Long)

    private val items = ArrayList<Item>()
    private val virtualTimes = HashMap<String, Double>()
    private var virtualTime = 0.0
    private var sequence = 0L

    fun add(entry: QueueEntry) {
        remove(entry.id)
        val name = entry.organisation
        val idle = items.none { it.entry.organisation == name }
        if (idle) virtualTimes[name] = maxOf(virtualTimes[name] ?: 0.0, virtualTime)
        items += Item(entry, sequence++)
    }

    fun remove(id: String) = items.removeIf { it.entry.id == id }

    fun poll(): QueueEntry? {
        val organisations = items.map { it.entry.organisation }.distinct()
        val name = organisations.minWithOrNull(compareBy({ virtualTimes.getValue(it) }, { it })) ?: return null
        val next = items.filter { it.entry.organisation == name }
            .minWith(compareBy({ it.entry.rank }, { it.entry.latestStartMs }, { it.sequence }))
        items.remove(next)
        virtualTime = virtualTimes.getValue(name)
        virtualTimes[name] = virtualTime + next.entry.costMs.toDouble() / next.entry.weight
        return next.entry
    }
}

class FairQueueSpec :
    FunSpec({
        fun entry(n: Int, organisation: String, weight: Int = 1, rank: Int = 0, latest: Long = 0, cost: Long = 10) =
            QueueEntry("r$n", organisation, weight, rank, latest, cost)

        test("returns entries in the order of the reference implementation over generated histories") {
            checkAll(
                histories(seed = 20_261_204),
                Arb.list(Arb.int(0..9_999), 1..60),
            ) { steps ->
                val queue = FairQueue()
                val reference = ReferenceFairQueue()
                for ((i, step) in steps.withIndex()) {
                    when (step % 5) {
                        0, 1, 2 -> {
                            val next = entry(
                                i,
                                organisation = "o${step / 5 % 4}",
                                weight = 1 + step / 5 % 4,
                                rank = step / 20 % 3,
                                latest = (step / 60 % 7).toLong(),
                                cost = (1 + step / 420 % 9).toLong(),
                            )
                            queue.add(next)
                            reference.add(next)
                        }

                        3 -> {
                            val next = queue.peek()
                            queue.poll() shouldBe next
                            next shouldBe reference.poll()
                        }

                        else ->
                            queue.remove("r${step % maxOf(1, i)}") shouldBe reference.remove("r${step % maxOf(1, i)}")
                    }
                }
                val rest = generateSequence { queue.poll() }.toList()
                rest shouldContainExactly generateSequence { reference.poll() }.toList()
            }
        }

        test("urgent work is served first within its organisation but does not use up the share of another") {
            val queue = FairQueue()
            repeat(50) { queue.add(entry(it, "urgent", rank = 0)) }
            repeat(10) { queue.add(entry(100 + it, "patient", rank = 9)) }
            queue.add(entry(200, "patient", rank = 1))
            val firstTwenty = List(20) { checkNotNull(queue.poll()) }
            firstTwenty.count { it.organisation == "patient" } shouldBe 10
            firstTwenty.first { it.organisation == "patient" }.id shouldBe "r200"
        }

        test("an organisation receives its share while another has a long queue") {
            val queue = FairQueue()
            repeat(100) { queue.add(entry(it, "large")) }
            repeat(10) { queue.add(entry(1_000 + it, "small")) }
            val firstTwenty = List(20) { checkNotNull(queue.poll()).organisation }
            firstTwenty.count { it == "small" } shouldBe 10
        }
    })
