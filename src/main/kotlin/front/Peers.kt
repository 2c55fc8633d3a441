/*
 * Requests to the other hosts. A peer that has not answered a ping for a while loses its connection, so that what waits
 * for it fails at once and goes elsewhere; it is not asked again until it answers. Runs on the control thread.
 */
package org.sesamerouter.front

import org.sesamerouter.clock.Clock
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.membership.Membership
import org.sesamerouter.membership.PeerLink
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.ServingRequest

private const val PING_TIMEOUT_MS = 350L // a peer on the same network answers within a few ms, a busy one in 100
private const val PING_EVERY_MS = 200L
private const val PINGS_MISSED = 2
private const val TELL_TIMEOUT_MS = 1_000L

internal class Peers(
    private val link: PeerLink,
    private val membership: Membership,
    private val loop: ControlLoop,
    private val clock: Clock,
    private val log: DecisionLog,
) {
    private class State {
        var waiting = 0
        var missed = 0
        var pingedMs = 0L
        var isPinging = false
        var isSilent = false
    }

    private val states = HashMap<String, State>()

    /** Runs when a peer stopped answering. */
    var onSilent: (String) -> Unit = {}

    /** Whether [host] answered its last pings. */
    fun isTrusted(host: String): Boolean = states[host]?.isSilent != true

    /** Asks [host]; [done] runs on the control thread. */
    fun ask(host: String, request: ServingRequest, timeoutMs: Long, done: (PeerOutcome) -> Unit) {
        val member = membership.member(host)
        if (member == null) {
            done(PeerOutcome.Failed(sent = false))
            return
        }
        val state = states.getOrPut(host) { State() }
        state.waiting++
        link.request(member.peer, request, timeoutMs) { outcome ->
            loop.post {
                state.waiting--
                done(outcome)
            }
        }
    }

    /** Tells [host] something; loss is made up for by what is told next. */
    fun tell(host: String, request: ServingRequest) = ask(host, request, TELL_TIMEOUT_MS) {}

    /** Pings the peers that something waits for, and the silent ones. */
    fun onTick(now: Long) {
        for ((host, state) in states) {
            val isDue = !state.isPinging && now - state.pingedMs >= PING_EVERY_MS
            if (isDue && (state.waiting > 0 || state.isSilent)) ping(host, state, now)
        }
        states.keys.retainAll { membership.member(it)?.isLive == true }
    }

    private fun ping(host: String, state: State, now: Long) {
        val member = membership.member(host) ?: return
        state.isPinging = true
        state.pingedMs = now
        link.request(member.peer, ServingRequest.Ping, PING_TIMEOUT_MS) { outcome ->
            loop.post { onPong(host, state, outcome is PeerOutcome.Replied) }
        }
    }

    private fun onPong(host: String, state: State, answered: Boolean) {
        state.isPinging = false
        if (answered) {
            if (state.isSilent) log.write("peer-back", "peer" to host)
            state.missed = 0
            state.isSilent = false
            return
        }
        if (++state.missed < PINGS_MISSED) return
        state.missed = 0
        if (!state.isSilent) log.write("peer-silent", "peer" to host, "at" to clock.nowMs())
        state.isSilent = true
        membership.member(host)?.let { link.drop(it.peer) }
        onSilent(host)
    }
}
