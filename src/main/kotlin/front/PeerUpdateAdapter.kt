/*
 * Exchanges state between hosts that forward requests: changes of targets, the configuration version and small
 * differences to it, the load of engines and the expected times of pools. In a large fleet, relays pass the updates on.
 */
package org.sesamerouter.front

import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.TargetIncarnation
import org.sesamerouter.evacuation.EvacuationRecord
import org.sesamerouter.evacuation.EvacuationState
import org.sesamerouter.membership.ConfigurationAnswer
import org.sesamerouter.membership.DisseminationPlan
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.OwnerChecked
import org.sesamerouter.membership.PeerHandler
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest
import org.sesamerouter.membership.Pong
import org.sesamerouter.membership.ProbeMessage
import org.sesamerouter.membership.Recipients
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.membership.StateReply
import org.sesamerouter.propagation.ConfigurationDelta
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.quarantine.HeldPart
import org.sesamerouter.quarantine.PartChangeKind
import org.sesamerouter.serving.FlowEffect

private const val UPDATE_INTERVAL_MS = 250L // about the time within which an engine starts a prompt
private const val STATE_TIMEOUT_MS = 500L
private const val FETCH_DELAY_MS = 300L // by then a host that reaches the store has read the version itself
private const val DELTA_FANOUT = 2
private const val REMINDER_INTERVAL_MS = 2_000L // for a host that missed a message; also within the users' bound of 3 s
private const val EVACUATION_REMINDERS = 3 // hosts that repeat evacuations, as many as wait for them at the store
private const val RELAY_INTERVAL_MS = 100L // passes on updates of several hosts at a time
private const val MAX_RELAY_INTERVAL_MS = 500L // older reports of engines are of little use
private const val RELAYED_BYTES_PER_MS = 400L // less than half of the weakest link, 7 Mbit/s

private val HELD_PART_NEWS = setOf(PartChangeKind.HELD_BACK, PartChangeKind.TRIED)

internal class PeerUpdateAdapter(private val host: FrontHost) : PeerHandler {
    private var nextUpdateMs = 0L
    private var pendingRead: EntryRead? = null
    private var pendingReadMs = 0L
    private var pendingLeaving = emptyList<TargetIncarnation>()
    private var pendingDeaths = emptyList<DeathNotice>()
    private var pendingSoundParts = emptyList<String>()
    private var pendingHeldParts = emptyList<HeldPart>()
    private var nextReminderMs = 0L
    private var pendingEvacuations: EvacuationState? = null
    private var nextEvacuationReminderMs = 0L
    private var pendingDelta: ConfigurationDelta? = null
    private var relayedVersion = -1L
    private val updatesToRelay = HashMap<String, MutableList<ServingRequest.StateUpdate>>()
    private var nextRelayMs = 0L
    private var sentBytesAtRelay = 0L
    private var plan: DisseminationPlan? = null
    private var plannedFor = 0L to 0L
    private var isFetching = false
    private var sentVersion = -1L

    override fun onProbe(message: ProbeMessage, from: String) = host.controlLoop.post {
        host.membership.onMessage(message, from, host.clock.nowMs()).forEach(host.link::sendProbe)
        message.members.firstOrNull()?.let { host.peers.onDatagram(it.host) }
        message.members.filter { it.host != host.self.host && it.isLive }.forEach {
            host.configuration.onAnnounced(it.host, it.revision)
        }
        if (isLackingTargets(null)) message.members.maxByOrNull { it.revision }?.let { fetchState(it.host) }
    }

    override fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit) = host.controlLoop.post {
        when (request) {
            is ServingRequest.RunStage -> host.stages.runRemote(request.job, request.term, request.isRelayed, reply)

            is ServingRequest.Owner -> host.stages.owners.learn(listOf(request.term), request.term.host)

            is ServingRequest.CheckOwner ->
                host.stages.owners.checkOwner(request.term) { isAnswering, terms ->
                    reply(OwnerChecked(isAnswering, terms))
                }

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

            is ServingRequest.Configuration -> reply(ConfigurationAnswer(host.configuration.reply(request.request)))

            ServingRequest.State -> reply(currentState())

            ServingRequest.Ping -> reply(Pong(host.stages.owners.terms))

            is PeerRequest.Deaths -> {
                request.notices.forEach { host.quarantine.onDeath(it, host.clock.nowMs()) }
                reply(PeerReply.Acknowledged)
            }

            // Requests of the product's own interface are not served here; the sender has its own timeout.
            else -> Unit
        }
    }

    /**
     * Queues the changes of a [read] that this host made from the store for the other hosts. They are sent on the next
     * tick. One that does not continue where the one before it ended leaves a gap.
     */
    fun onLocalRead(read: EntryRead) {
        val before = pendingRead
        pendingRead = when {
            before == null || before.era != read.era -> read
            read.from > before.end -> read.copy(changes = before.changes + read.changes)
            else -> read.copy(from = minOf(before.from, read.from), changes = before.changes + read.changes)
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
        updateAtOnce()
    }

    /** Queues what this host found out about a part of prompts for the other hosts. */
    fun onPartChange(effect: FlowEffect.QuarantineChanged) {
        if (!effect.change.isOwn) return
        val held = effect.held
        when {
            effect.change.kind == PartChangeKind.CLEARED -> pendingSoundParts += effect.change.part

            // A trial is announced, so that no other host tries the part until its result is known.
            effect.change.kind in HELD_PART_NEWS && held != null -> pendingHeldParts += held

            else -> return
        }
        updateAtOnce()
    }

    /** Queues what this host read about evacuations for the other hosts. */
    fun onEvacuations(records: List<EvacuationRecord>) {
        if (records.isEmpty()) return
        pendingEvacuations = host.evacuations.known.state
        updateAtOnce()
    }

    /** Repeats the evacuations for hosts that missed them; the hosts that wait for new ones at the store do so. */
    private fun remindOfEvacuations(now: Long) {
        val state = host.evacuations.known.state
        if (now < nextEvacuationReminderMs || state.records.isEmpty() ||
            host.readOrder() >= EVACUATION_REMINDERS
        ) {
            return
        }
        nextEvacuationReminderMs = now + REMINDER_INTERVAL_MS
        pendingEvacuations = state
    }

    private fun updateAtOnce() {
        updateOnNextTick()
        host.controlLoop.post { onTick(host.clock.nowMs()) }
    }

    /** Repeats which parts are held back, for hosts that missed it. */
    private fun remindOfHeldParts(now: Long) {
        if (now < nextReminderMs || host.quarantine.parts.heldBack == 0) return
        nextReminderMs = now + REMINDER_INTERVAL_MS
        pendingHeldParts = host.quarantine.parts.heldParts(now).filter { host.isTurnToTry(it.part, 0) }
    }

    /**
     * Announces a new version without waiting for a tick. The difference to it, if there is one, goes to a few hosts at
     * random, since a relay may have failed, and to all of them if it [isForAll].
     */
    fun onNewConfiguration(delta: ConfigurationDelta?, isForAll: Boolean) {
        if (isForAll) pendingDelta = delta
        if (delta != null) {
            val some = otherHosts().shuffled().take(DELTA_FANOUT).map { it.host }
            val update = ServingRequest.StateUpdate(host.self.host, version(), configDelta = delta)
            send(Recipients(some, isFinal = true), listOf(update))
        }
        updateAtOnce()
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
        remindOfHeldParts(now)
        remindOfEvacuations(now)
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
            pendingDelta,
            pendingSoundParts,
            pendingHeldParts,
            host.stages.owners.ownTerms,
            pendingEvacuations,
        )
        val hasState = update.read != null || update.engines.isNotEmpty() || update.pools.isNotEmpty()
        val isUnchanged = !hasState && !update.isUrgent && version() == sentVersion
        pendingRead = null
        pendingLeaving = emptyList()
        pendingDeaths = emptyList()
        pendingSoundParts = emptyList()
        pendingHeldParts = emptyList()
        pendingEvacuations = null
        pendingDelta = null
        sentVersion = version()
        return update.takeUnless { isUnchanged }
    }

    private fun relayUpdates(now: Long) {
        val sentBytes = host.link.counts().bytesSent
        val pauseMs = (sentBytes - sentBytesAtRelay) / RELAYED_BYTES_PER_MS
        sentBytesAtRelay = sentBytes
        nextRelayMs = now + pauseMs.coerceIn(RELAY_INTERVAL_MS, MAX_RELAY_INTERVAL_MS)
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
            val updates = message.updates.map(::withoutRelayedDelta)
            updatesToRelay.getOrPut(message.dataCentre) { ArrayList() } += updates
            if (updates.any { it.isUrgent }) nextRelayMs = 0
            if (updates.any { it.configDelta != null }) relayUpdates(host.clock.nowMs())
        }
        message.updates.filter { it.from != host.self.host }.forEach(::onUpdate)
    }

    /** Several hosts read each version and send the difference to it; it is passed on once. */
    private fun withoutRelayedDelta(update: ServingRequest.StateUpdate): ServingRequest.StateUpdate {
        val delta = update.configDelta ?: return update
        if (delta.version <= relayedVersion) return update.copy(configDelta = null)
        relayedVersion = delta.version
        return update
    }

    private fun onUpdate(update: ServingRequest.StateUpdate) {
        val now = host.clock.nowMs()
        update.evacuations?.let { host.evacuations.onPeer(it, update.from) }
        update.read?.let { host.onTargets(it, update.readAgeMs, isLocalRead = false) }
        update.leaving.forEach { host.onLeaving(it, isLocal = false) }
        update.deaths.forEach { host.quarantine.onDeath(it, now) }
        host.quarantine.parts.onSound(update.soundParts, isOwn = false)
        update.heldParts.forEach { host.quarantine.parts.onHeld(it, now) }
        if (update.deaths.isNotEmpty() || update.heldParts.isNotEmpty()) host.quarantineRecords.onTick(now)
        host.engines.onReports(update.from, update.engines, now)
        host.stages.owners.learn(update.terms, update.from)
        host.stages.onPoolReports(update.pools)
        host.lag.onAnnounced(update.configVersion, update.configAgeMs, now)
        update.configDelta?.let { host.configuration.onDelta(update.from, it) }
        host.configuration.onAnnounced(update.from, update.configVersion)
        val read = update.read ?: return
        if (host.directory.isBehind(read)) host.controlLoop.after(FETCH_DELAY_MS) { fetchState(update.from, read) }
    }

    private fun version() = host.config?.version ?: -1

    /** The live hosts that answer, without this one. */
    fun otherHosts(): List<Member> =
        host.membership.live().filter { it.host != host.self.host && host.peers.isResponsive(it.host) }

    /**
     * Fetches the state of the host [from] if this host still lacks targets, evacuations or the [read] of that host.
     */
    fun fetchState(from: String, read: EntryRead? = null) {
        if (isFetching || !isLackingTargets(read) || from == host.self.host) return
        val startedMs = host.clock.nowMs()
        isFetching = true
        host.peers.request(from, ServingRequest.State, STATE_TIMEOUT_MS) { outcome ->
            isFetching = false
            val state = (outcome as? PeerOutcome.Replied)?.reply as? StateReply
            logFetch(from, state, host.clock.nowMs() - startedMs)
            if (state == null) return@request
            state.evacuations?.let { host.evacuations.onPeer(it, from) }
            state.read?.let {
                if (!host.directory.isReady ||
                    host.directory.isBehind(it)
                ) {
                    host.onTargets(it, state.readAgeMs, isLocalRead = false)
                }
            }
            state.leaving.forEach { host.onLeaving(it, isLocal = false) }
            state.heldParts.forEach { host.quarantine.parts.onHeld(it, host.clock.nowMs()) }
            if (state.areHeldPartsKnown) host.quarantineRecords.records.onPeerState()
            host.stages.owners.learn(state.terms, from)
        }
    }

    private fun logFetch(from: String, state: StateReply?, tookMs: Long) = host.log.write(
        "state-fetch",
        "peer" to from,
        "outcome" to (if (state == null) "no reply" else "replied"),
        "targets" to state?.read?.changes?.size,
        "ms" to tookMs,
    )

    private fun isLackingTargets(read: EntryRead?): Boolean =
        !host.directory.isReady || !host.evacuations.known.areKnown || (read != null && host.directory.isBehind(read))

    private fun currentState(): StateReply {
        val read = host.directory.snapshot()
        val ageMs = host.clock.nowMs() - host.directory.lastContiguousReadMs
        val heldParts = host.quarantine.parts.heldParts(host.clock.nowMs())
        val areKnown = host.quarantineRecords.records.areKnown
        return StateReply(
            read,
            ageMs,
            host.directory.leaving,
            heldParts,
            host.stages.owners.terms,
            areKnown,
            host.evacuations.known.state,
        )
    }
}
