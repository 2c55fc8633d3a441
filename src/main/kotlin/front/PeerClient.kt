/*
 * Sends requests to the other hosts. When a peer misses several pings its connection is dropped, so that the requests
 * waiting for it fail at once and can be sent elsewhere. It counts as unresponsive until it answers a ping again. Runs
 * on the control thread.
 */
package org.sesamerouter.front

import org.sesamerouter.clock.Clock
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.membership.Membership
import org.sesamerouter.membership.OwnerChecked
import org.sesamerouter.membership.PeerLink
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.Pong
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.ownership.OwnerTerm

private const val PING_TIMEOUT_MS = 350L // a peer on the same network answers within a few ms, a busy one within 100
private const val PING_INTERVAL_MS = 200L
private const val MISSED_PINGS_LIMIT = 2
private const val SEND_TIMEOUT_MS = 1_000L
private const val BROADCAST_PING_INTERVAL_MS = 1_000L // a connection may go silent without an error
private const val RECENT_BROADCAST_MS = 2_000L
private const val PROBE_TIMEOUT_MS = 150L
private const val WITNESS_TIMEOUT_MS = 350L

/** Requests to other hosts. */
internal interface PeerRequests {
    /** Sends [request] to [host]; [onOutcome] is called on the control thread. */
    fun request(host: String, request: ServingRequest, timeoutMs: Long, onOutcome: (PeerOutcome) -> Unit)

    /** Sends [request] to [host] and ignores the outcome. */
    fun send(host: String, request: ServingRequest)

    /** Whether [host] still answers pings; hosts that were not pinged count as responsive. */
    fun isResponsive(host: String): Boolean

    /**
     * Asks [host] for any answer; [onResult] gets the result and the terms that [host] knows. It may be called with
     * [ProbeResult.HEARD] before the final result, and takes until [timeoutMs] to get one if [host] is silent.
     */
    fun probe(host: String, timeoutMs: Long = PROBE_TIMEOUT_MS, onResult: (ProbeResult, List<OwnerTerm>) -> Unit)

    /** Asks [witness] whether the owner of [term] answers; [onReply] gets that and the terms that [witness] knows. */
    fun askOwner(witness: String, term: OwnerTerm, onReply: (isAnswering: Boolean, terms: List<OwnerTerm>) -> Unit)

    /** Announces [term] to all hosts. */
    fun announce(term: OwnerTerm)
}

/**
 * Whether a host answered a probe; [REFUSED] if it ended the connection or did not accept one. [HEARD] is any datagram
 * from it, which may have been sent before the probe.
 */
internal enum class ProbeResult { ANSWERED, HEARD, SILENT, REFUSED }

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

    private class Probe(val onResult: (ProbeResult, List<OwnerTerm>) -> Unit)

    private val states = HashMap<String, PeerState>()

    /** Number of times that a host became responsive or unresponsive. */
    var changes = 0L
        private set

    private val probes = HashMap<String, MutableList<Probe>>()

    override fun isResponsive(host: String): Boolean = states[host]?.isUnresponsive != true

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
    }

    override fun probe(host: String, timeoutMs: Long, onResult: (ProbeResult, List<OwnerTerm>) -> Unit) {
        val member = membership.member(host) ?: return onResult(ProbeResult.REFUSED, emptyList())
        val probe = Probe(onResult)
        val waiting = probes.getOrPut(host) { ArrayList() }
        waiting += probe
        val sentMs = clock.nowMs()
        // A connection may go silent while the host works, so a datagram asks too.
        link.sendProbe(membership.ping(member))
        link.request(member.peer, ServingRequest.Ping, timeoutMs) { outcome ->
            controlLoop.post {
                waiting -= probe
                val isEarly = clock.nowMs() - sentMs < PROBE_TIMEOUT_MS
                val result = when {
                    outcome is PeerOutcome.Replied -> ProbeResult.ANSWERED
                    isEarly -> ProbeResult.REFUSED
                    else -> ProbeResult.SILENT
                }
                onResult(result, ((outcome as? PeerOutcome.Replied)?.reply as? Pong)?.terms.orEmpty())
            }
        }
    }

    /** Handles a datagram from [host]: the probes that wait for it have heard of it. */
    fun onDatagram(host: String) {
        probes.remove(host)?.forEach { it.onResult(ProbeResult.HEARD, emptyList()) }
    }

    override fun askOwner(
        witness: String,
        term: OwnerTerm,
        onReply: (isAnswering: Boolean, terms: List<OwnerTerm>) -> Unit,
    ) = request(witness, ServingRequest.CheckOwner(term), WITNESS_TIMEOUT_MS) { outcome ->
        val reply = (outcome as? PeerOutcome.Replied)?.reply as? OwnerChecked
        reply?.let { onReply(it.isAnswering, it.terms) }
    }

    override fun announce(term: OwnerTerm) {
        val hosts = membership.live().map { it.host }.filter { it != membership.self.host }
        broadcast(hosts, ServingRequest.Owner(term))
    }
}
