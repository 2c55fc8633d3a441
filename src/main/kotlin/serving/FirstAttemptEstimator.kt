/*
 * Estimates how long ago a caller first sent its request. A caller that was refused retries with a new request whose
 * timeout is shorter than that of first attempts on the same route; most of its latency objective has then passed.
 */
package org.sesamerouter.serving

import org.sesamerouter.admission.StageId
import org.sesamerouter.admission.StageTimes

private val CALLER_TIMEOUT = StageId("caller", "wait")
private const val MAX_ROUTES = 64 // about 40 KB per route; the least recently used ones are evicted

// Timeouts of first attempts on one route stay above this share of their median.
private const val FIRST_ATTEMPT_MIN_SHARE = 0.9

/** Records the timeouts that callers send, for each route with stages. Not thread-safe. */
internal class FirstAttemptEstimator(private val maxRoutes: Int = MAX_ROUTES) {
    private val timeoutsByRoute = object : LinkedHashMap<String, StageTimes>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, StageTimes>) = size > maxRoutes
    }

    /** Number of routes with recorded timeouts. */
    val trackedRoutes: Int get() = timeoutsByRoute.size

    /**
     * Records the timeout of [request] and returns a lower bound in ms on the time since its caller's first attempt; 0
     * for most requests.
     */
    fun sinceFirstAttemptMs(request: ForwardRequest, now: Long): Long {
        if (request.route.stages.isEmpty()) return 0
        val timeoutMs = request.callerTimeoutMs ?: return 0
        val timeouts = timeoutsByRoute.getOrPut(request.route.name) { StageTimes() }
        timeouts.record(CALLER_TIMEOUT, timeoutMs, now)
        val medianMs = timeouts.quantiles(CALLER_TIMEOUT, timeoutMs, now).p50Ms
        return maxOf(0, (medianMs * FIRST_ATTEMPT_MIN_SHARE).toLong() - timeoutMs)
    }
}
