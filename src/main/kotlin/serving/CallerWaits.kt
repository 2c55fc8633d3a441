/*
 * How long ago callers asked for the first time. A caller that was refused comes back as a new request with less time
 * left than the others of its route bring, and its objective has mostly passed.
 */
package org.sesamerouter.serving

import org.sesamerouter.admission.StageId
import org.sesamerouter.admission.StageTimes

private val WAIT = StageId("caller", "wait")
private const val MAX_ROUTES = 64 // a route takes about 40 KB; the least used ones start anew
private const val SHORT_SHARE = 0.9 // callers of one route differ less than this in what they bring at first

/** The waits that callers of each route with stages bring. Not thread-safe. */
internal class CallerWaits(private val maxRoutes: Int = MAX_ROUTES) {
    private val waits = object : LinkedHashMap<String, StageTimes>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, StageTimes>) = size > maxRoutes
    }

    /** Routes whose waits are kept. */
    val size: Int get() = waits.size

    /** Takes in [request] and returns the least time in ms since its caller first asked, 0 for most. */
    fun ageMs(request: ForwardRequest, now: Long): Long {
        if (request.route.stages.isEmpty()) return 0
        val left = request.waitMs ?: return 0
        val seen = waits.getOrPut(request.route.name) { StageTimes() }
        seen.record(WAIT, left, now)
        val usual = seen.quantiles(WAIT, left, now).typicalMs
        return maxOf(0, (usual * SHORT_SHARE).toLong() - left)
    }
}
