/*
 * The fair queue against a naive one that scans everything.
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

private class NaiveFairQueue {
    private class Item(val entry: QueueEntry, val sequence: Long)

    private val items = ArrayList<Item>()
    private val virtualTimes = HashMap<String, Double>()
    private val rankTimes = HashMap<Int, Double>()
    private var sequence = 0L

    fun add(entry: QueueEntry) {
        remove(entry.id)
        val name = "${entry.rank}/${entry.organisation}"
        val idle = items.none { it.entry.rank == entry.rank && it.entry.organisation == entry.organisation }
        if (idle) virtualTimes[name] = maxOf(virtualTimes[name] ?: 0.0, rankTimes[entry.rank] ?: 0.0)
        items += Item(entry, sequence++)
    }

    fun remove(id: String) = items.removeIf { it.entry.id == id }

    fun poll(): QueueEntry? {
        val rank = items.minOfOrNull { it.entry.rank } ?: return null
        val inRank = items.filter { it.entry.rank == rank }
        val organisation = inRank.map { it.entry.organisation }.distinct()
            .minWith(compareBy({ virtualTimes["$rank/$it"] }, { it }))
        val next = inRank.filter { it.entry.organisation == organisation }
            .minWith(compareBy({ it.entry.latestStartMs }, { it.sequence }))
        items.remove(next)
        val name = "$rank/$organisation"
        rankTimes[rank] = virtualTimes.getValue(name)
        virtualTimes[name] = virtualTimes.getValue(name) + next.entry.costMs.toDouble() / next.entry.weight
        return next.entry
    }
}

class FairQueueSpec :
    FunSpec({
        fun entry(n: Int, organisation: String, weight: Int = 1, rank: Int = 0, latest: Long = 0, cost: Long = 10) =
            QueueEntry("r$n", organisation, weight, rank, latest, cost)

        test("gives every entry out in the order of a naive queue over generated histories") {
            checkAll(
                histories(seed = 20_261_204),
                Arb.list(Arb.int(0..9_999), 1..60),
            ) { steps ->
                val ours = FairQueue()
                val naive = NaiveFairQueue()
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
                            ours.add(next)
                            naive.add(next)
                        }

                        3 -> ours.poll() shouldBe naive.poll()

                        else -> ours.remove("r${step % maxOf(1, i)}") shouldBe naive.remove("r${step % maxOf(1, i)}")
                    }
                }
                val rest = generateSequence { ours.poll() }.toList()
                rest shouldContainExactly generateSequence { naive.poll() }.toList()
            }
        }

        test("gives an organisation its share while another has a long queue") {
            val queue = FairQueue()
            repeat(100) { queue.add(entry(it, "large")) }
            repeat(10) { queue.add(entry(1_000 + it, "small")) }
            val firstTwenty = List(20) { checkNotNull(queue.poll()).organisation }
            firstTwenty.count { it == "small" } shouldBe 10
        }
    })
