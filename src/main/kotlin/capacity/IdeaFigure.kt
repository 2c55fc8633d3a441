/*
 * Measures two ideas of Cormode et al., "Holistic UDAFs at Streaming Speeds" (SIGMOD 2004), against what the product
 * does: sub-aggregates for each thread that a second level merges, and a summary of heavy hitters in bounded memory.
 */
package org.sesamerouter.capacity

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.Random
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.math.pow

private const val THREADS = 4
private const val RECORDS = 4_000_000
private const val LONGEST = 3_600_000L
private const val DIGITS = 2
private const val MERGES = 200
private const val ITEMS = 400_000
private const val DISTINCT = 100_000
private const val COUNTERS = 4_096
private const val TOP = 100
private const val SKEW = 1.1

/** One measured way. */
data class IdeaFigure(val idea: String, val way: String, val figure: String, val value: Double)

/** Measures both ideas. */
fun measureIdeas(): List<IdeaFigure> = quantileFigures() + heavyHitterFigures()

private fun quantileFigures(): List<IdeaFigure> {
    val one = Histogram(LONGEST, DIGITS)
    val shared = ConcurrentHistogram(LONGEST, DIGITS)
    val parts = List(THREADS) { Histogram(LONGEST, DIGITS) }
    val merged = Histogram(LONGEST, DIGITS)
    repeat(2) { recordAll(1) { one } }
    val single = recordAll(1) { one }
    recordAll(THREADS) { shared }
    val concurrent = recordAll(THREADS) { shared }
    recordAll(THREADS) { parts[it] }
    val split = recordAll(THREADS) { parts[it] }
    val mergeNanos = nanosOf { repeat(MERGES) { parts.forEach(merged::add) } } / MERGES
    val idea = "latency quantiles"
    return listOf(
        IdeaFigure(idea, "control thread alone", "ns/record", single),
        IdeaFigure(idea, "one concurrent histogram, $THREADS threads", "ns/record", concurrent),
        IdeaFigure(idea, "one for each of $THREADS threads", "ns/record", split),
        IdeaFigure(idea, "one for each of $THREADS threads", "us/merge", mergeNanos / 1_000),
    )
}

/** Returns the mean time of one record in nanoseconds of the recording thread. */
private fun recordAll(threads: Int, histogramOf: (Int) -> Histogram): Double {
    val start = CountDownLatch(1)
    val nanos = LongArray(threads)
    val running = List(threads) { i ->
        thread {
            val histogram = histogramOf(i)
            start.await()
            nanos[i] = nanosOf { repeat(RECORDS) { histogram.recordValue((it % 5_000).toLong()) } }.toLong()
        }
    }
    start.countDown()
    running.forEach { it.join() }
    return nanos.average() / RECORDS
}

private fun heavyHitterFigures(): List<IdeaFigure> {
    val random = Random(1)
    val items = IntArray(ITEMS) { (DISTINCT * random.nextDouble().pow(1 + SKEW * 3)).toInt() }
    val truth = items.toList().groupingBy {
        it
    }.eachCount().entries.sortedByDescending { it.value }.take(TOP).map { it.key }
    val summary = HeavyHitterSummary(COUNTERS)
    val bounded = object : LinkedHashMap<Int, Int>(COUNTERS, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, Int>) = size > COUNTERS
    }
    val summaryNanos = nanosOf { items.forEach(summary::add) }
    val boundedNanos = nanosOf { items.forEach { bounded.merge(it, 1, Int::plus) } }
    val idea = "heavy hitters, $COUNTERS of $DISTINCT keys"
    return listOf(
        IdeaFigure(idea, "summary", "ns/item", summaryNanos / ITEMS),
        IdeaFigure(idea, "bounded map, least recent dropped", "ns/item", boundedNanos / ITEMS),
        IdeaFigure(idea, "summary", "of the top $TOP kept", truth.count { it in summary.keys() } / TOP.toDouble()),
        IdeaFigure(
            idea,
            "bounded map, least recent dropped",
            "of the top $TOP kept",
            truth.count { it in bounded } / TOP.toDouble(),
        ),
    )
}

/** Counts the most frequent items with a fixed number of counters, decrementing all when none is free. */
private class HeavyHitterSummary(private val counters: Int) {
    private val counts = HashMap<Int, Int>()

    fun keys(): Set<Int> = counts.keys

    fun add(item: Int) {
        if (item in counts || counts.size < counters) {
            counts.merge(item, 1, Int::plus)
            return
        }
        val each = counts.entries.iterator()
        while (each.hasNext()) {
            val entry = each.next()
            if (entry.value == 1) each.remove() else entry.setValue(entry.value - 1)
        }
    }
}

private fun nanosOf(work: () -> Unit): Double {
    val start = System.nanoTime()
    work()
    return (System.nanoTime() - start).toDouble()
}
