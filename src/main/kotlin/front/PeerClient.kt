/*
 * Sends requests to the other hosts. When a peer misses several pings its connection is dropped, so that the requests
 * waiting for it fail at once and can be sent elsewhere. It counts as unresponsive until it answers a ping again. Runs
 * on the control thread.
 */
package org.sesamerouter.front

import org.sesamerouter.clock.Clock
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.membership.Membership
import org.sesamerouter.membership.PeerLink
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.ServingRequest

private const val PING_TIMEOUT_MS = 350L // a peer on the same network answers within a few ms, a busy one within 100
private const val PING_INTERVAL_MS = 200L
private const val MISSED_PINGS_LIMIT = 2
private const val SEND_TIMEOUT_MS = 1_000L
private const val BROADCAST_PING_INTERVAL_MS = 1_000L // a connection may go silent without an error
private const val RECENT_BROADCAST_MS = 2_000L

/** Requests to other hosts. */
internal interface PeerRequests {
    /** Sends [request] to [host]; [onOutcome] is called on the control thread. */
    fun request(host: String, request: ServingRequest, timeoutMs: Long, onOutcome: (PeerOutcome) -> Unit)

    /** Sends [request] to [host] and ignores the outcome. */
    fun send(host: String, request: ServingRequest)
}

internal class PeerClient(
    private val link: PeerLink,
    private val membership: Membership,
    private val controlLoop: ControlLoop,
    private val clock: Clock,
    private val log: DecisionLog,
) : PeerRequests {
    private class PeerState {
        var pendingRequests = 0
        var missedPings = 0
        var lastPingMs = 0L
        var isPingPending = false
        var isUnresponsive = false
        var lastBroadcastMs = Long.MIN_VALUE / 2
    }

    private val states = HashMap<String, PeerState>()

    /** Number of times that a host became responsive or unresponsive. */
    var changes = 0L
        private set

    /** Called with a host each time it misses [MISSED_PINGS_LIMIT] pings in a row, also while unresponsive. */
    var onUnresponsive: (String) -> Unit = {}

    /** Whether [host] still answers pings; hosts that were not pinged count as responsive. */
    fun isResponsive(host: String): Boolean = states[host]?.isUnresponsive != true

    override fun request(host: String, request: ServingRequest, timeoutMs: Long, onOutcome: (PeerOutcome) -> Unit) {
        val member = membership.member(host)
        if (member == null) {
            onOutcome(PeerOutcome.Failed(sent = false))
            return
        }
        val state = states.getOrPut(host) { PeerState() }
        state.pendingRequests++
        link.request(member.peer, request, timeoutMs) { outcome ->
            controlLoop.post {
                state.pendingRequests--
                onOutcome(outcome)
            }
        }
    }

    /**
     * The next periodic update makes up for a lost message. When a
     * cancellation is lost, the job runs to its end and its outcome is ignored; when a request to free results is lost,
     * they stay on their target; when a report of fetched results is lost, they are not freed early.
     */
    override fun send(host: String, request: ServingRequest) = request(host, request, SEND_TIMEOUT_MS) {}

    /** Sends [message] to [hosts] without replies. */
    fun broadcast(hosts: List<String>, message: ServingRequest) {
        val now = clock.nowMs()
        hosts.forEach { states.getOrPut(it) { PeerState() }.lastBroadcastMs = now }
        link.broadcast(hosts.mapNotNull { membership.member(it)?.peer }, message)
    }

    /** Pings the peers with pending requests, the unresponsive ones and, less often, those that get broadcasts. */
    fun onTick(now: Long) {
        for ((host, state) in states) {
            if (state.isPingPending) continue
            val isWatched = state.pendingRequests > 0 || state.isUnresponsive
            val intervalMs = if (isWatched) PING_INTERVAL_MS else BROADCAST_PING_INTERVAL_MS
            val isNeeded = isWatched || now - state.lastBroadcastMs < RECENT_BROADCAST_MS
            if (isNeeded && now - state.lastPingMs >= intervalMs) ping(host, state, now)
        }
        states.keys.retainAll { membership.member(it)?.isLive == true }
    }

    private fun ping(host: String, state: PeerState, now: Long) {
        val member = membership.member(host) ?: return
        state.isPingPending = true
        state.lastPingMs = now
        link.request(member.peer, ServingRequest.Ping, PING_TIMEOUT_MS) { outcome ->
            controlLoop.post { onPingResult(host, state, outcome is PeerOutcome.Replied) }
        }
    }

    private fun onPingResult(host: String, state: PeerState, answered: Boolean) {
        state.isPingPending = false
        if (answered) {
            if (state.isUnresponsive) {
                changes++
                log.write("peer-back", "peer" to host)
            }
            state.missedPings = 0
            state.isUnresponsive = false
            return
        }
        if (++state.missedPings < MISSED_PINGS_LIMIT) return
        state.missedPings = 0
        if (!state.isUnresponsive) {
            changes++
            log.write("peer-silent", "peer" to host, "at" to clock.nowMs())
        }
        state.isUnresponsive = true
        membership.member(host)?.let { link.disconnect(it.peer) }
        onUnresponsive(host)
    }
}
