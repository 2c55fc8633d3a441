/*
 * Carries out what the configuration keeper wants: log, peers, the answers to operators, and the watch. On the control
 * thread.
 */
package org.sesamerouter.host

import org.sesamerouter.api.WireJson
import org.sesamerouter.clock.Clock
import org.sesamerouter.configuration.ChangeAnswer
import org.sesamerouter.configuration.ChangeOutcome
import org.sesamerouter.configuration.ConfigurationRecord
import org.sesamerouter.configuration.KeeperEffect
import org.sesamerouter.configuration.PeerRevision
import org.sesamerouter.configuration.ResourceKind
import org.sesamerouter.configuration.SnapshotState
import org.sesamerouter.log.LogRecord
import org.sesamerouter.log.LogStream
import org.sesamerouter.log.PlatformLog
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest

private const val PEER_TIMEOUT_MS = 2_000L
private const val SNAPSHOT_DUTY = "snapshot"

/** Hears of configuration events; one for each open watch. */
internal fun interface WatchListener {
    /** Takes [events] in and tells whether the watch is still open. */
    fun onEvents(events: List<WatchEvent>): Boolean
}

internal class ConfigurationAdapter(
    private val host: EntryHost,
    private val clock: Clock,
    private val log: PlatformLog,
) {
    private val keeper = host.keeper
    private val waiting = HashMap<String, (ChangeAnswer) -> Unit>()
    private val watches = ArrayList<WatchListener>()
    private var settledRevision = -1L
    private var changeCount = 0L

    /** Number of open watches. */
    val watchCount: Int get() = watches.size

    /** Starts a change and gives its outcome to [done]. */
    fun change(change: ConfigurationRecord.Change, done: (ChangeAnswer) -> Unit) {
        waiting[change.id] = done
        keeper.change(change, clock.nowMs()).forEach(::carryOut)
    }

    /** Returns a new id for a change of this host. */
    fun newChangeId(): String = "${host.settings.host.id}-${clock.nowMs()}-${changeCount++}-${host.newNonce()}"

    /** Adds a watch that hears of what follows [revision], and of what the host remembers of it. */
    fun watch(revision: Long, listener: WatchListener) {
        val state = keeper.state
        val oldest = state.outcomes.firstOrNull()?.revision ?: Long.MAX_VALUE
        val known = if (revision >= oldest - 1 || state.outcomes.isEmpty()) {
            state.outcomes.filter { it.revision > revision }.map { changed(it) }
        } else {
            state.resources.values.sortedBy { it.revision }.map { WatchEvent.listed(it, host.view) }
        }
        if (listener.onEvents(known)) watches.add(listener)
    }

    /** Lets time go on. */
    fun onTick() {
        val self = host.membership.self.host
        val peers = host.membership.live().filter { it.host != self }.map { PeerRevision(it.peer, it.revision) }
        keeper.onTick(peers, host.hasDuty(SNAPSHOT_DUTY), clock.nowMs()).forEach(::carryOut)
    }

    /** Tells the watches what settled. */
    fun onView(view: HostView) {
        if (view.settledRevision <= settledRevision) return
        val before = settledRevision
        settledRevision = view.settledRevision
        val settled = view.configuration.outcomes
            .filter { it.revision in (before + 1)..settledRevision && it.refusal == null }
            .map { WatchEvent.settled(it) }
        tell(settled)
    }

    private fun tell(events: List<WatchEvent>) {
        if (events.isEmpty()) return
        watches.removeIf { !it.onEvents(events) }
    }

    private fun carryOut(effect: KeeperEffect) {
        when (effect) {
            is KeeperEffect.Read -> log.read(LogStream.CONFIGURATION, effect.offset, effect.waitMs) { outcome ->
                host.loop.post { keeper.onRead(outcome, clock.nowMs()).forEach(::carryOut) }
            }

            is KeeperEffect.Append -> log.append(LogStream.CONFIGURATION, listOf(effect.payload)) { outcome ->
                host.loop.post { keeper.onAppended(effect.id, outcome, clock.nowMs()).forEach(::carryOut) }
            }

            is KeeperEffect.AskPeer -> askPeer(effect)

            is KeeperEffect.Answer -> waiting.remove(effect.id)?.invoke(effect.answer)

            is KeeperEffect.InForce -> {
                host.onConfiguration(effect.state)
                tell(effect.outcomes.map { changed(it) })
            }
        }
    }

    private fun changed(outcome: ChangeOutcome): WatchEvent =
        if (outcome.refusal == null) WatchEvent.accepted(outcome, host.view) else WatchEvent.refused(outcome)

    private fun askPeer(effect: KeeperEffect.AskPeer) {
        host.link.request(effect.peer, PeerRequest.CatchUp(effect.revision), PEER_TIMEOUT_MS) { outcome ->
            val reply = (outcome as? PeerOutcome.Replied)?.reply as? PeerReply.Configuration
            if (reply != null) host.loop.post { onPeer(reply) }
        }
    }

    private fun onPeer(reply: PeerReply.Configuration) {
        val snapshot = reply.snapshot?.let { WireJson.decodeFromString(SnapshotState.serializer(), it) }
        val records = reply.records.map { LogRecord(it.offset, it.payload) }
        keeper.onPeer(snapshot, records).forEach(::carryOut)
    }
}

/** Tells whether a watch of [kind] wants [event]. */
internal fun ResourceKind?.wants(event: WatchEvent): Boolean = this == null || this == event.kind
