/*
 * Decides which requests a host that shuts down still starts. Its process ends earlier than most callers' deadlines, so
 * that every decision about a request has to fit into the time that is left.
 */
package org.sesamerouter.serving

private const val ELSEWHERE_RETRY_AFTER_MS = 50L // another host can take the request at once
private const val RESTART_MS = 2_000L // a host that has ended is started again and ready within this time
private const val LAST_SEND_MS = 3_000L // responses that begin later in a shutdown are cut more often than completed

internal class ShutdownPolicy(private val context: FlowContext, private val latency: LatencyEstimator) {
    private var startedMs = 0L
    private var earliestEndMs = 0L

    /** When this host ends what is left of its requests; null unless it shuts down. */
    private var endMs: Long? = null

    /** Starts the shutdown at [now]; a host without requests ends at [FlowEvent.ShutdownStarted.earliestEndMs]. */
    fun start(event: FlowEvent.ShutdownStarted, now: Long) {
        startedMs = now
        earliestEndMs = event.earliestEndMs
        endMs = event.endMs
    }

    /** Accepts no request from [now] on. */
    fun end(now: Long) {
        endMs = now
    }

    /**
     * Whether a request that arrives now may be started: only if it has ended by the end of the process in any case,
     * since any other caller is better served by another host.
     */
    fun mayAccept(request: ForwardRequest): Boolean = endMs.let { it == null || request.deadlineMs <= it }

    /** Whether [flow], of which nothing is at a target, will probably have ended by the end of the process. */
    fun canComplete(flow: Flow, now: Long): Boolean {
        if (mayAccept(flow.request)) return true
        val mayBeSent = now + latency.remainingStagesMs(flow) <= startedMs + LAST_SEND_MS
        return mayBeSent && now + latency.remainingMs(flow) <= checkNotNull(endMs)
    }

    /**
     * After which time a caller that is rejected for the shutdown finds a host that serves it. A host that [isIdle]
     * ends as soon as it may.
     */
    fun retryAfterMs(isIdle: Boolean, now: Long): Long {
        if (context.hasOtherHosts) return ELSEWHERE_RETRY_AFTER_MS
        val probableEndMs = if (isIdle) earliestEndMs else endMs ?: now
        return maxOf(0, probableEndMs - now) + RESTART_MS
    }
}
