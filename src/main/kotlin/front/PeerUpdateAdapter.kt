/*
 * Exchanges state between hosts that forward requests: changes of targets, the configuration version, the load of
 * engines and the expected times of pools. A host that learns of a newer configuration from a peer fetches it from that
 * peer, so that hosts which the store rejects are updated too.
 */
package org.sesamerouter.front

import org.sesamerouter.discovery.EntryChange
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.TargetIncarnation
import org.sesamerouter.membership.PeerHandler
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest
import org.sesamerouter.membership.ProbeMessage
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.membership.StageReply
import org.sesamerouter.membership.StateReply
import org.sesamerouter.quarantine.DeathNotice

private const val UPDATE_INTERVAL_MS = 250L // about the time within which an engine starts a prompt
private const val STATE_TIMEOUT_MS = 500L
private const val FETCH_DELAY_MS = 150L // by then a host that reaches the store has read the version itself

internal class PeerUpdateAdapter(private val host: FrontHost) : PeerHandler {
    private var nextUpdateMs = 0L
    private var pendingRead: EntryRead? = null
    private var pendingReadMs = 0L
    private var pendingLeaving = emptyList<TargetIncarnation>()
    private var isFetching = false

    override fun onProbe(message: ProbeMessage, from: String) = host.controlLoop.post {
        host.membership.onMessage(message, from, host.clock.nowMs()).forEach(host.link::sendProbe)
        val newest = host.membership.live().maxByOrNull { it.revision } ?: return@post
        if (newest.revision > version() || !host.directory.isReady) fetchState(newest.host)
    }

    override fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit) = host.controlLoop.post {
        when (request) {
            is ServingRequest.RunStage -> host.stages.runRemote(request.job) { reply(StageReply(it)) }

            is ServingRequest.CancelStage -> {
                host.stages.cancelLocal(request.service, request.job)
                reply(PeerReply.Acknowledged)
            }

            is ServingRequest.FreeResults -> {
                host.stages.freeLocal(request.service, request.handles)
                reply(PeerReply.Acknowledged)
            }

            is ServingRequest.ResultsFetched -> {
                host.stages.onFetchedLocal(request.service, request.handles)
                reply(PeerReply.Acknowledged)
            }

            is ServingRequest.StateUpdate -> {
                onUpdate(request)
                reply(PeerReply.Acknowledged)
            }

            ServingRequest.State -> reply(currentState())

            ServingRequest.Ping -> reply(PeerReply.Acknowledged)

            is PeerRequest.Deaths -> {
                request.notices.forEach { host.quarantine.onDeath(it, host.clock.nowMs()) }
                reply(PeerReply.Acknowledged)
            }

            // Requests of the product's own interface are not served here; the sender has its own timeout.
            else -> Unit
        }
    }

    /**
     * Queues the [changes] of a [read] that this host made from the store for the other hosts. They are sent on the
     * next tick. A full read does not show which of its entries the other hosts lack, so it leaves a gap for those that
     * have not read as far.
     */
    fun onLocalRead(read: EntryRead, changes: List<EntryChange>) {
        val next = read.copy(from = if (read.full) read.end else read.from, full = false, changes = changes)
        val before = pendingRead
        pendingRead = when {
            before == null || before.era != next.era -> next
            read.full -> next.copy(changes = before.changes + changes)
            else -> next.copy(from = before.from, changes = before.changes + changes)
        }
        pendingReadMs = host.clock.nowMs()
        updateOnNextTick()
    }

    /** Queues the announcement of [target] that it is leaving for the other hosts. It is sent on the next tick. */
    fun onTargetLeaving(target: TargetIncarnation) {
        pendingLeaving += target
        updateOnNextTick()
    }

    /** Sends pending changes on the next tick instead of after the interval. */
    fun updateOnNextTick() {
        nextUpdateMs = 0
    }

    /** Sends [notice] to the other hosts at once, since the request may be retried at any of them. */
    fun broadcastDeath(notice: DeathNotice) {
        otherHosts().forEach { host.link.request(it.peer, PeerRequest.Deaths(listOf(notice)), STATE_TIMEOUT_MS) {} }
    }

    /** Announces at once that this host is leaving, so that the others send it no more work. */
    fun broadcastLeaving() {
        otherHosts().forEach { host.link.sendProbe(host.membership.ping(it)) }
    }

    /** Sends pending changes to the other hosts when an update is due. */
    fun onTick(now: Long) {
        if (now < nextUpdateMs) return
        nextUpdateMs = now + UPDATE_INTERVAL_MS
        val read = pendingRead
        val engines = host.engines.takeReports(now)
        val pools = host.stages.poolReports(now)
        val isNewVersion = version() != sentVersion
        val isUnchanged = engines.isEmpty() && pools.isEmpty() && pendingLeaving.isEmpty()
        if (read == null && isUnchanged && !isNewVersion) return
        pendingRead = null
        sentVersion = version()
        val update = ServingRequest.StateUpdate(
            host.self.host,
            version(),
            read,
            now - pendingReadMs,
            engines,
            pools,
            pendingLeaving,
        )
        pendingLeaving = emptyList()
        otherHosts().forEach { host.peers.send(it.host, update) }
    }

    private var sentVersion = -1L

    private fun onUpdate(update: ServingRequest.StateUpdate) {
        val now = host.clock.nowMs()
        update.read?.let { host.onTargets(it, update.readAgeMs, isLocalRead = false) }
        update.leaving.forEach { host.onLeaving(it, isLocal = false) }
        host.engines.onReports(update.from, update.engines, now)
        host.stages.onPoolReports(update.pools, now)
        val isBehind = update.configVersion > version() || update.read?.let(host.directory::isBehind) == true
        if (isBehind) host.controlLoop.after(FETCH_DELAY_MS) { fetchState(update.from, update.read) }
    }

    private fun version() = host.config?.version ?: -1

    private fun otherHosts() =
        host.membership.live().filter { it.host != host.self.host && host.peers.isResponsive(it.host) }

    /** Fetches the state of the host [from] if this host still lacks the configuration or the [read] of that host. */
    private fun fetchState(from: String, read: EntryRead? = null) {
        val peer = host.membership.member(from) ?: return
        val isNeeded = peer.revision > version() || isLackingTargets(read)
        if (isFetching || !isNeeded || from == host.self.host) return
        isFetching = true
        host.peers.request(from, ServingRequest.State, STATE_TIMEOUT_MS) { outcome ->
            isFetching = false
            val state = (outcome as? PeerOutcome.Replied)?.reply as? StateReply ?: return@request
            state.config?.let(host::onConfig)
            state.read?.let { if (isLackingTargets(it)) host.onTargets(it, state.readAgeMs, isLocalRead = false) }
            state.leaving.forEach { host.onLeaving(it, isLocal = false) }
        }
    }

    private fun isLackingTargets(read: EntryRead?): Boolean =
        !host.directory.isReady || (read != null && host.directory.isBehind(read))

    private fun currentState(): StateReply {
        val read = host.directory.snapshot()
        val ageMs = host.clock.nowMs() - host.directory.lastContiguousReadMs
        return StateReply(host.configText, read, ageMs, host.directory.leaving)
    }
}
