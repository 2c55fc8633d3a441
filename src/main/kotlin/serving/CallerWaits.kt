/*
 * How long ago callers asked for the first time. A caller that was refused comes back as a new request with less time
 * left than the others of its route bring, and its objective has mostly passed.
 */
package org.sesamerouter.serving

import org.sesamerouter.admission.StageId
import org.sesamerouter.admission.StageTimes

private const val WAIT = "caller's wait"
private const val SHORT_SHARE = 0.9 // callers of one route differ less than this in what they bring at first

/** The waits that callers of each route bring. Not thread-safe. */
internal class CallerWaits {
    private val waits = StageTimes()

    /** Takes in [request] and returns the least time in ms since its caller first asked, 0 for most. */
    fun ageMs(request: ForwardRequest, now: Long): Long {
        val left = request.deadlineMs - request.arrivedMs
        val route = StageId(request.route.name, WAIT)
        waits.record(route, left, now)
        val usual = waits.quantiles(route, left, now).typicalMs
        return maxOf(0, (usual * SHORT_SHARE).toLong() - left)
    }
}
