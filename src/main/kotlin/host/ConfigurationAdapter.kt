/*
 * Executes the effects of the configuration replica: log reads and appends, catch-up requests to peers, replies to
 * operators and watch notifications. Runs on the control thread.
 */
package org.sesamerouter.host

import org.sesamerouter.api.WireJson
import org.sesamerouter.clock.Clock
import org.sesamerouter.configuration.ChangeAnswer
import org.sesamerouter.configuration.ChangeOutcome
import org.sesamerouter.configuration.ConfigurationEffect
import org.sesamerouter.configuration.ConfigurationRecord
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
private const val SNAPSHOT_TASK = "snapshot"

/** Receives configuration events; there is one listener for each open watch. */
internal interface WatchListener {
    /** Handles [events] and returns whether the watch is still open. */
    fun onEvents(events: List<WatchEvent>): Boolean

    /** Ends the watch, because the host is stopping. */
    fun end()
}

internal class ConfigurationAdapter(
    private val host: EntryHost,
    private val clock: Clock,
    private val log: PlatformLog,
) {
    private val replica = host.configurationReplica
    private val pendingChanges = HashMap<String, (ChangeAnswer) -> Unit>()
    private val watches = ArrayList<WatchListener>()
    private var settledRevision = -1L
    private var changeCount = 0L

    /** Number of open watches. */
    val watchCount: Int get() = watches.size

    /** Submits a change; [done] receives its outcome. */
    fun change(change: ConfigurationRecord.Change, done: (ChangeAnswer) -> Unit) {
        pendingChanges[change.id] = done
        replica.change(change, clock.nowMs()).forEach(::execute)
    }

    /** Returns a unique id for a change that is submitted through this host. */
    fun newChangeId(): String = "${host.settings.host.id}-${clock.nowMs()}-${changeCount++}-${host.newNonce()}"

    /**
     * Opens a watch for the events after [revision]. Past events are replayed while the host still retains them;
     * otherwise the watch starts with a list of the current resources.
     */
    fun watch(revision: Long, listener: WatchListener) {
        val state = replica.state
        val oldest = state.outcomes.firstOrNull()?.revision ?: Long.MAX_VALUE
        val initialEvents = if (revision >= oldest - 1 || state.outcomes.isEmpty()) {
            state.outcomes.filter { it.revision > revision }.map { changeEvent(it) }
        } else {
            state.resources.values.sortedBy { it.revision }.map { WatchEvent.listed(it, host.view) }
        }
        if (!listener.onEvents(initialEvents)) return
        if (host.view.leaving) listener.end() else watches.add(listener)
    }

    /** Ends all watches; their clients reopen them at another host. */
    fun endWatches() {
        watches.forEach { it.end() }
        watches.clear()
    }

    /** Runs the periodic work: log reads, catch-up from peers, snapshots and retries of appends. */
    fun onTick() {
        val self = host.membership.self.host
        val peers = host.membership.live().filter { it.host != self }.map { PeerRevision(it.peer, it.revision) }
        replica.onTick(peers, host.isResponsibleFor(SNAPSHOT_TASK), clock.nowMs()).forEach(::execute)
    }

    /** Notifies the watches of the changes that have settled in the published [view]. */
    fun onViewPublished(view: HostView) {
        if (view.settledRevision <= settledRevision) return
        val previous = settledRevision
        settledRevision = view.settledRevision
        val settled = view.configuration.outcomes
            .filter { it.revision in (previous + 1)..settledRevision && it.refusal == null }
            .map { WatchEvent.settled(it) }
        notifyWatches(settled)
    }

    private fun notifyWatches(events: List<WatchEvent>) {
        if (events.isEmpty()) return
        watches.removeIf { !it.onEvents(events) }
    }

    private fun execute(effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Read -> log.read(LogStream.CONFIGURATION, effect.offset, effect.waitMs) { outcome ->
                host.loop.post { replica.onRead(outcome, clock.nowMs()).forEach(::execute) }
            }

            is ConfigurationEffect.Append -> log.append(LogStream.CONFIGURATION, listOf(effect.payload)) { outcome ->
                host.loop.post { replica.onAppended(effect.id, outcome, clock.nowMs()).forEach(::execute) }
            }

            is ConfigurationEffect.RequestCatchUp -> requestCatchUp(effect)

            is ConfigurationEffect.Answer -> pendingChanges.remove(effect.id)?.invoke(effect.answer)

            is ConfigurationEffect.Applied -> {
                host.onConfiguration(effect.state)
                notifyWatches(effect.outcomes.map { changeEvent(it) })
            }
        }
    }

    private fun changeEvent(outcome: ChangeOutcome): WatchEvent =
        if (outcome.refusal == null) WatchEvent.accepted(outcome, host.view) else WatchEvent.refused(outcome)

    private fun requestCatchUp(effect: ConfigurationEffect.RequestCatchUp) {
        host.link.request(effect.peer, PeerRequest.CatchUp(effect.revision), PEER_TIMEOUT_MS) { outcome ->
            val reply = (outcome as? PeerOutcome.Replied)?.reply as? PeerReply.Configuration
            if (reply != null) host.loop.post { onPeerReply(reply) }
        }
    }

    private fun onPeerReply(reply: PeerReply.Configuration) {
        val snapshot = reply.snapshot?.let { WireJson.decodeFromString(SnapshotState.serializer(), it) }
        val records = reply.records.map { LogRecord(it.offset, it.payload) }
        replica.onPeerReply(snapshot, records).forEach(::execute)
    }
}

/** Returns whether a watch on this kind, or on all kinds when null, includes [event]. */
internal fun ResourceKind?.includes(event: WatchEvent): Boolean = this == null || this == event.kind
