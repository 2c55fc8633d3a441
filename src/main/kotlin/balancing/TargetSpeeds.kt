/*
 * The speeds of the targets of one pool at one kind of work: tokens to prefill, tokens of responses or pieces of a
 * stage. The pool has a time per unit, learned from completions; a target has the ratio of its times to those of the
 * pool, learned from its completions and from the time of work that it reports. What is known of a target counts less
 * as it ages, and a new target starts with the speed of its pool.
 */
package org.sesamerouter.balancing

import kotlin.math.exp

private const val PERCENT = 100.0
private const val LEARNED_TTL_MS = 10_000.0 // a host of a large fleet sends to an engine every few seconds
private const val REPORT_TTL_MS = 500.0 // a fresh report counts most for the time of one response to it
private const val PRIOR_SAMPLES = 4.0 // a single completion moves the ratio by a fifth of its difference
private const val MAX_SAMPLES = 32.0 // a change of speed shows within as many completions
private const val REPORT_SMOOTHING = 0.2
private const val MAX_RATIO = 8.0 // also bounds what one invalid report or one stalled completion can do

/** The time that a target's work takes, as a multiple of the normal time; learned and reported. */
class TimeRatio {
    private var expectedMs = 0.0
    private var observedMs = 0.0
    private var samples = 0.0
    private var learnedAtMs = 0L
    private var reported = 1.0
    private var meanReported = 1.0
    private var reportedAtMs: Long? = null

    /** Records that work expected to take [expectedMs] at normal speed took [observedMs]. */
    fun onCompletion(expectedMs: Double, observedMs: Double, now: Long) {
        if (expectedMs <= 0) return
        val kept = weight(now - learnedAtMs, LEARNED_TTL_MS) * MAX_SAMPLES / (MAX_SAMPLES + 1)
        this.expectedMs = this.expectedMs * kept + expectedMs
        this.observedMs =
            this.observedMs * kept + observedMs.coerceIn(expectedMs / MAX_RATIO, expectedMs * MAX_RATIO)
        samples = samples * kept + 1
        learnedAtMs = now
    }

    /** Records that the target reports that its work takes [percent] of the normal time. */
    fun onReport(percent: Int, now: Long) {
        reported = (percent / PERCENT).coerceIn(1 / MAX_RATIO, MAX_RATIO)
        meanReported =
            if (reportedAtMs == null) reported else meanReported + REPORT_SMOOTHING * (reported - meanReported)
        reportedAtMs = now
    }

    /** Returns the ratio that is expected at [now]; 1 is the speed of the pool. */
    fun at(now: Long): Double {
        val reportAgeMs = reportedAtMs?.let { now - it }
        if (reportAgeMs != null && reportAgeMs < LEARNED_TTL_MS) {
            val mean = 1 + (meanReported - 1) * weight(reportAgeMs, LEARNED_TTL_MS)
            return mean + (reported - mean) * weight(reportAgeMs, REPORT_TTL_MS)
        }
        if (expectedMs <= 0) return 1.0
        val known = samples * weight(now - learnedAtMs, LEARNED_TTL_MS)
        return 1 + (observedMs / expectedMs - 1) * known / (known + PRIOR_SAMPLES)
    }
}

/** The speed of the targets of a pool that starts with [initialMsPerUnit]; times include [initialOverheadMs]. */
class PoolSpeed(private val initialMsPerUnit: Double, private val initialOverheadMs: Double) {
    private var weight = 0.0
    private var units = 0.0
    private var ms = 0.0
    private var unitsSquared = 0.0
    private var unitsMs = 0.0

    /** Expected time of one unit of work, at most [MAX_SPEED_CHANGE] times the initial one or its reciprocal. */
    var msPerUnit = initialMsPerUnit
        private set

    /** Time of work that does not depend on its units. */
    var overheadMs = initialOverheadMs
        private set

    /** Records that [units] of work took [ms], without the ratio of its target. */
    fun onCompletion(units: Double, ms: Double) {
        val kept = MAX_POOL_SAMPLES / (MAX_POOL_SAMPLES + 1)
        weight = weight * kept + 1
        this.units = this.units * kept + units
        this.ms = this.ms * kept + ms
        unitsSquared = unitsSquared * kept + units * units
        unitsMs = unitsMs * kept + units * ms
        fit()
    }

    /**
     * Fits a line by least squares, with as many as [POOL_PRIOR_SAMPLES] further completions at the initial speed. A
     * pool whose completions are all of one size does not show the time of a unit and keeps the initial one.
     */
    private fun fit() {
        val meanUnits = units / weight
        val meanMs = ms / weight
        val variance = unitsSquared / weight - meanUnits * meanUnits
        val covariance = unitsMs / weight - meanUnits * meanMs
        val priorVariance = maxOf(meanUnits * meanUnits, 1.0) * POOL_PRIOR_SAMPLES / weight
        val slope = (covariance + priorVariance * initialMsPerUnit) / (variance + priorVariance)
        msPerUnit = slope.coerceIn(initialMsPerUnit / MAX_SPEED_CHANGE, initialMsPerUnit * MAX_SPEED_CHANGE)
        overheadMs = maxOf(0.0, meanMs - msPerUnit * meanUnits)
    }

    private companion object {
        const val MAX_POOL_SAMPLES = 256.0
        const val POOL_PRIOR_SAMPLES = 8.0
        const val MAX_SPEED_CHANGE = 3.0 // of the engines in use, from 64 to 112 tokens per ms, around 80
    }
}

/** Returns how much of a value of age [ageMs] still holds, if it holds for about [ttlMs]. */
internal fun weight(ageMs: Long, ttlMs: Double): Double = exp(-maxOf(0, ageMs) / ttlMs)
