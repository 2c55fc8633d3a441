/*
 * Exchanges state between hosts that forward requests: changes of targets, the configuration version, the load of
 * engines and the expected times of pools. In a large fleet, relays pass the updates on. A host that learns of a newer
 * configuration reads it from the store; if that fails, it fetches it from a peer, so that hosts which the store
 * rejects are updated too.
 */
package org.sesamerouter.front

import org.sesamerouter.discovery.EntryChange
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.TargetIncarnation
import org.sesamerouter.membership.DisseminationPlan
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.PeerHandler
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest
import org.sesamerouter.membership.ProbeMessage
import org.sesamerouter.membership.Recipients
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.membership.StageReply
import org.sesamerouter.membership.StateReply
import org.sesamerouter.quarantine.DeathNotice

private const val UPDATE_INTERVAL_MS = 250L // about the time within which an engine starts a prompt
private const val STATE_TIMEOUT_MS = 500L
private const val FETCH_DELAY_MS = 300L // by then a host that reaches the store has read the version itself
private const val RELAY_INTERVAL_MS = 100L // passes on updates of several hosts at a time

internal class PeerUpdateAdapter(private val host: FrontHost) : PeerHandler {
    private var nextUpdateMs = 0L
    private var pendingRead: EntryRead? = null
    private var pendingReadMs = 0L
    private var pendingLeaving = emptyList<TargetIncarnation>()
    private var pendingDeaths = emptyList<DeathNotice>()
    private val updatesToRelay = HashMap<String, MutableList<ServingRequest.StateUpdate>>()
    private var nextRelayMs = 0L
    private var plan: DisseminationPlan? = null
    private var plannedFor = 0L to 0L
    private var isFetching = false
    private var sentVersion = -1L

    override fun onProbe(message: ProbeMessage, from: String) = host.controlLoop.post {
        host.membership.onMessage(message, from, host.clock.nowMs()).forEach(host.link::sendProbe)
        val newest = message.members.maxByOrNull { it.revision } ?: return@post
        if (newest.revision > version()) {
            host.onNewerVersion(newest.host)
        } else if (!host.directory.isReady) {
            fetchState(newest.host)
        }
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

            is ServingRequest.StateUpdates -> onUpdates(request)

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

    /** Queues [notice] for the other hosts, since the request may be retried at any of them. */
    fun onDeath(notice: DeathNotice) {
        pendingDeaths += notice
        updateOnNextTick()
    }

    /** Announces at once that this host is leaving, so that the others send it no more work. */
    fun broadcastLeaving() {
        otherHosts().forEach { host.link.sendProbe(host.membership.ping(it)) }
    }

    /** Sends pending changes of this host when an update is due, and passes on those of others. */
    fun onTick(now: Long) {
        if (updatesToRelay.isNotEmpty() && now >= nextRelayMs) relayUpdates(now)
        if (now < nextUpdateMs) return
        nextUpdateMs = now + UPDATE_INTERVAL_MS
        val update = takeUpdate(now) ?: return
        for (recipients in currentPlan().own) send(recipients, listOf(update))
    }

    private fun takeUpdate(now: Long): ServingRequest.StateUpdate? {
        val update = ServingRequest.StateUpdate(
            host.self.host,
            version(),
            pendingRead,
            now - pendingReadMs,
            host.engines.takeReports(now),
            host.stages.poolReports(now),
            pendingLeaving,
            pendingDeaths,
            host.configAgeMs(now),
        )
        val hasState = update.read != null || update.engines.isNotEmpty() || update.pools.isNotEmpty()
        val isUnchanged = !hasState && !update.isUrgent && version() == sentVersion
        pendingRead = null
        pendingLeaving = emptyList()
        pendingDeaths = emptyList()
        sentVersion = version()
        return update.takeUnless { isUnchanged }
    }

    private fun relayUpdates(now: Long) {
        nextRelayMs = now + RELAY_INTERVAL_MS
        for ((dataCentre, updates) in updatesToRelay) {
            for (recipients in currentPlan().passedOnFrom(dataCentre)) send(recipients, updates)
        }
        updatesToRelay.clear()
    }

    private fun send(recipients: Recipients, updates: List<ServingRequest.StateUpdate>) = host.peers.broadcast(
        recipients.hosts,
        ServingRequest.StateUpdates(host.self.dataCentre, recipients.isFinal, updates),
    )

    private fun currentPlan(): DisseminationPlan {
        val state = host.membership.changes to host.peers.changes
        plan?.let { if (plannedFor == state) return it }
        plannedFor = state
        return DisseminationPlan(host.self, otherHosts() + host.self).also { plan = it }
    }

    private fun onUpdates(message: ServingRequest.StateUpdates) {
        if (!message.isFinal) {
            updatesToRelay.getOrPut(message.dataCentre) { ArrayList() } += message.updates
            val hasNewVersion = message.updates.any { it.configVersion > version() }
            if (hasNewVersion || message.updates.any { it.isUrgent }) nextRelayMs = 0
        }
        message.updates.filter { it.from != host.self.host }.forEach(::onUpdate)
    }

    private fun onUpdate(update: ServingRequest.StateUpdate) {
        val now = host.clock.nowMs()
        update.read?.let { host.onTargets(it, update.readAgeMs, isLocalRead = false) }
        update.leaving.forEach { host.onLeaving(it, isLocal = false) }
        update.deaths.forEach { host.quarantine.onDeath(it, now) }
        host.engines.onReports(update.from, update.engines, now)
        host.stages.onPoolReports(update.pools, now)
        host.lag.onAnnounced(update.configVersion, update.configAgeMs, now)
        if (update.configVersion > version()) host.onNewerVersion(update.from)
        val read = update.read ?: return
        if (host.directory.isBehind(read)) host.controlLoop.after(FETCH_DELAY_MS) { fetchState(update.from, read) }
    }

    private fun version() = host.config?.version ?: -1

    /** The live hosts that answer, without this one. */
    fun otherHosts(): List<Member> =
        host.membership.live().filter { it.host != host.self.host && host.peers.isResponsive(it.host) }

    /** Fetches the state of the host [from] if this host still lacks the configuration or the [read] of that host. */
    fun fetchState(from: String, read: EntryRead? = null) {
        val peer = host.membership.member(from) ?: return
        val isNeeded = peer.revision > version() || isLackingTargets(read)
        if (isFetching || !isNeeded || from == host.self.host) {
            if (host.lag.behindMs(host.clock.nowMs()) > 0) logSkippedFetch(peer)
            return
        }
        val startedMs = host.clock.nowMs()
        isFetching = true
        host.peers.request(from, ServingRequest.State, STATE_TIMEOUT_MS) { outcome ->
            isFetching = false
            val state = (outcome as? PeerOutcome.Replied)?.reply as? StateReply
            logFetch(from, state, host.clock.nowMs() - startedMs)
            if (state == null) return@request
            state.config?.let { host.onConfig(it, from) }
            state.read?.let { if (isLackingTargets(it)) host.onTargets(it, state.readAgeMs, isLocalRead = false) }
            state.leaving.forEach { host.onLeaving(it, isLocal = false) }
        }
    }

    private fun logSkippedFetch(peer: Member) = host.log.write(
        "state-fetch-skipped",
        "peer" to peer.host,
        "peer-version" to peer.revision,
        "version" to version(),
        "fetching" to isFetching,
        "behind-ms" to host.lag.behindMs(host.clock.nowMs()),
    )

    private fun logFetch(from: String, state: StateReply?, tookMs: Long) = host.log.write(
        "state-fetch",
        "peer" to from,
        "version" to version(),
        "outcome" to (if (state == null) "no reply" else "replied"),
        "characters" to state?.config?.length,
        "ms" to tookMs,
    )

    private fun isLackingTargets(read: EntryRead?): Boolean =
        !host.directory.isReady || (read != null && host.directory.isBehind(read))

    private fun currentState(): StateReply {
        val read = host.directory.snapshot()
        val ageMs = host.clock.nowMs() - host.directory.lastContiguousReadMs
        return StateReply(host.configText, read, ageMs, host.directory.leaving)
    }
}
