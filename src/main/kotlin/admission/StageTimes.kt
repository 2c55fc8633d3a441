/*
 * Measured service times of the stages. Two histograms are rotated, so that old samples are discarded after two
 * windows. While there are too few samples, the last computed quantiles stay in use.
 */
package org.sesamerouter.admission

import org.HdrHistogram.Histogram

private const val WINDOW_MS = 10_000L
private const val QUANTILE_CACHE_MS = 500L
private const val MIN_SAMPLES = 20L
private const val MAX_RECORDED_MS = 3_600_000L
private const val SIGNIFICANT_DIGITS = 2

/** Identifies a stage of a pipeline, or the pool and operation of a plain service. */
data class StageId(val plan: String, val stage: String)

/** Quantiles of the service time of a stage in milliseconds: the 50th, 90th and 95th percentiles when measured. */
data class StageQuantiles(val p50Ms: Long, val p90Ms: Long, val p95Ms: Long)

/** Service times of the stages that this host has called. Not thread-safe. */
class StageTimes {
    private val stages = HashMap<StageId, StageWindow>()

    /** Records that one attempt of [stage] took [ms] on its target. */
    fun record(stage: StageId, ms: Long, now: Long) {
        stages.getOrPut(stage) { StageWindow(now) }.record(ms, now)
    }

    /** Returns the quantiles of [stage], derived from [expectedMs] until enough samples have been recorded. */
    fun quantiles(stage: StageId, expectedMs: Long, now: Long): StageQuantiles =
        stages[stage]?.quantiles(now) ?: StageQuantiles(expectedMs, expectedMs * 2, expectedMs * 4)
}

private class StageWindow(private var startedMs: Long) {
    private var current = Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
    private var previous = Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
    private var cached: StageQuantiles? = null
    private var cachedAtMs = Long.MIN_VALUE / 2

    fun record(ms: Long, now: Long) {
        rotate(now)
        current.recordValue(ms.coerceIn(0, MAX_RECORDED_MS))
    }

    fun quantiles(now: Long): StageQuantiles? {
        if (now - cachedAtMs < QUANTILE_CACHE_MS) return cached
        cachedAtMs = now
        rotate(now)
        val merged = current.copy()
        merged.add(previous)
        if (merged.totalCount < MIN_SAMPLES) return cached
        cached = StageQuantiles(
            maxOf(1, merged.getValueAtPercentile(50.0)),
            maxOf(1, merged.getValueAtPercentile(90.0)),
            maxOf(1, merged.getValueAtPercentile(95.0)),
        )
        return cached
    }

    private fun rotate(now: Long) {
        if (now - startedMs < WINDOW_MS) return
        val recycled = previous
        previous = current
        recycled.reset()
        current = recycled
        startedMs = now
    }
}
