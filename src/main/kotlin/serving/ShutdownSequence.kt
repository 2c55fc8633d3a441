/*
 * Decides what happens to the requests of a host between the request to stop and the end of its process. A state
 * machine without I/O; the host calls it on the control thread.
 */
package org.sesamerouter.serving

private const val MIN_STOP_MS = 2_500L // by then callers have requested addresses again
private const val STOP_MARGIN_MS = 600L // ends this long before the process would be killed

/** The shutdown of a host that was asked at [startedMs] to stop and will be killed after [graceMs]. */
class ShutdownSequence(private val flows: RequestFlows, private val startedMs: Long, graceMs: Long) {
    /** When the host ends the requests that are left. */
    val endMs = startedMs + graceMs - STOP_MARGIN_MS

    /** Starts the shutdown: from now on, requests are planned with the time that is left. */
    fun begin(): List<FlowEffect> = flows.handle(FlowEvent.ShutdownStarted(startedMs + MIN_STOP_MS, endMs), startedMs)

    /** Whether callers have had the time to learn other addresses, so that a host without requests may end. */
    fun mayEndEarly(now: Long): Boolean = now - startedMs >= MIN_STOP_MS

    /** Ends all remaining requests. */
    fun end(): List<FlowEffect> = flows.endAll()
}
