/*
 * Compares two techniques of Cormode et al., "Holistic UDAFs at Streaming Speeds" (SIGMOD 2004), with the current
 * implementation: per-thread sub-aggregates that a second level merges, and a heavy-hitter summary in bounded memory.
 */
package org.sesamerouter.capacity

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.Random
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.math.pow

private const val THREADS = 4
private const val RECORDS_PER_THREAD = 4_000_000
private const val MAX_RECORDED_VALUE = 3_600_000L
private const val SIGNIFICANT_DIGITS = 2
private const val MERGE_COUNT = 200
private const val ITEM_COUNT = 400_000
private const val DISTINCT_KEYS = 100_000
private const val COUNTER_COUNT = 4_096
private const val TOP_COUNT = 100
private const val SKEW = 1.1

/** A [figure] of one of the implementations, [variant], of an [idea]. */
data class IdeaFigure(val idea: String, val variant: String, val figure: String, val value: Double)

/** Measures both techniques. */
fun measureIdeas(): List<IdeaFigure> = quantileFigures() + heavyHitterFigures()

private fun quantileFigures(): List<IdeaFigure> {
    val singleThreaded = Histogram(MAX_RECORDED_VALUE, SIGNIFICANT_DIGITS)
    val shared = ConcurrentHistogram(MAX_RECORDED_VALUE, SIGNIFICANT_DIGITS)
    val perThread = List(THREADS) { Histogram(MAX_RECORDED_VALUE, SIGNIFICANT_DIGITS) }
    val merged = Histogram(MAX_RECORDED_VALUE, SIGNIFICANT_DIGITS)
    repeat(2) { recordAll(1) { singleThreaded } }
    val singleNanos = recordAll(1) { singleThreaded }
    recordAll(THREADS) { shared }
    val sharedNanos = recordAll(THREADS) { shared }
    recordAll(THREADS) { perThread[it] }
    val perThreadNanos = recordAll(THREADS) { perThread[it] }
    val mergeNanos = nanosOf { repeat(MERGE_COUNT) { perThread.forEach(merged::add) } } / MERGE_COUNT
    val idea = "latency quantiles"
    return listOf(
        IdeaFigure(idea, "control thread alone", "ns/record", singleNanos),
        IdeaFigure(idea, "one concurrent histogram, $THREADS threads", "ns/record", sharedNanos),
        IdeaFigure(idea, "one for each of $THREADS threads", "ns/record", perThreadNanos),
        IdeaFigure(idea, "one for each of $THREADS threads", "us/merge", mergeNanos / 1_000),
    )
}

/** Returns the mean time in nanoseconds that a thread needs to record one value. */
private fun recordAll(threads: Int, histogramOf: (Int) -> Histogram): Double {
    val start = CountDownLatch(1)
    val nanos = LongArray(threads)
    val recorders = List(threads) { i ->
        thread {
            val histogram = histogramOf(i)
            start.await()
            nanos[i] = nanosOf { repeat(RECORDS_PER_THREAD) { histogram.recordValue((it % 5_000).toLong()) } }.toLong()
        }
    }
    start.countDown()
    recorders.forEach { it.join() }
    return nanos.average() / RECORDS_PER_THREAD
}

private fun heavyHitterFigures(): List<IdeaFigure> {
    val random = Random(1)
    val items = IntArray(ITEM_COUNT) { (DISTINCT_KEYS * random.nextDouble().pow(1 + SKEW * 3)).toInt() }
    val mostFrequent = items.toList().groupingBy {
        it
    }.eachCount().entries.sortedByDescending { it.value }.take(TOP_COUNT).map { it.key }
    val summary = HeavyHitterSummary(COUNTER_COUNT)
    val lruMap = object : LinkedHashMap<Int, Int>(COUNTER_COUNT, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Int, Int>) = size > COUNTER_COUNT
    }
    val summaryNanos = nanosOf { items.forEach(summary::add) }
    val lruNanos = nanosOf { items.forEach { lruMap.merge(it, 1, Int::plus) } }
    val idea = "heavy hitters, $COUNTER_COUNT of $DISTINCT_KEYS keys"
    return listOf(
        IdeaFigure(idea, "summary", "ns/item", summaryNanos / ITEM_COUNT),
        IdeaFigure(idea, "bounded map, least recent dropped", "ns/item", lruNanos / ITEM_COUNT),
        IdeaFigure(
            idea,
            "summary",
            "of the top $TOP_COUNT kept",
            mostFrequent.count { it in summary.keys() } / TOP_COUNT.toDouble(),
        ),
        IdeaFigure(
            idea,
            "bounded map, least recent dropped",
            "of the top $TOP_COUNT kept",
            mostFrequent.count { it in lruMap } / TOP_COUNT.toDouble(),
        ),
    )
}

/**
 * Misra-Gries summary: counts the most frequent items with a fixed number of counters, and decrements all counters when
 * none is free.
 */
private class HeavyHitterSummary(private val counters: Int) {
    private val counts = HashMap<Int, Int>()

    fun keys(): Set<Int> = counts.keys

    fun add(item: Int) {
        if (item in counts || counts.size < counters) {
            counts.merge(item, 1, Int::plus)
            return
        }
        val iterator = counts.entries.iterator()
        while (iterator.hasNext()) {
            val entry = iterator.next()
            if (entry.value == 1) iterator.remove() else entry.setValue(entry.value - 1)
        }
    }
}

private fun nanosOf(work: () -> Unit): Double {
    val start = System.nanoTime()
    work()
    return (System.nanoTime() - start).toDouble()
}
