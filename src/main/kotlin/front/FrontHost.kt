/*
 * A host that forwards requests on the platform: wires the slices together, runs decisions on the control thread and
 * network I/O on one event loop. It keeps no durable state: what it needs comes from the store or from its peers.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.clock.Clock
import org.sesamerouter.clock.systemClock
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.TargetDirectory
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.discovery.TargetIncarnation
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.evacuation.EvacuationRead
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.membership.LinkLimits
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.MemberStatus
import org.sesamerouter.membership.Membership
import org.sesamerouter.membership.PeerLink
import org.sesamerouter.platform.FrontSettings
import org.sesamerouter.platform.StoreClient
import org.sesamerouter.platform.decodeServingConfig
import org.sesamerouter.propagation.ConfigurationGiver
import org.sesamerouter.propagation.ConfigurationLag
import org.sesamerouter.propagation.FleetView
import org.sesamerouter.propagation.OtherHost
import org.sesamerouter.quarantine.DEATHS_TO_QUARANTINE_SHARED
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.retry.RepeatTerms
import org.sesamerouter.routing.ServiceTargets
import org.sesamerouter.routing.TargetNotice
import org.sesamerouter.routing.rendezvous
import org.sesamerouter.serving.FlowContext
import org.sesamerouter.serving.FlowEffect
import org.sesamerouter.serving.FlowEvent
import org.sesamerouter.serving.RequestFlows
import org.sesamerouter.serving.ServingConfig
import org.sesamerouter.serving.TargetVerdict
import org.sesamerouter.warmup.ColdBound
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.IncomingRequest
import org.sesamerouter.web.RequestLimits
import org.sesamerouter.web.RequestServer
import org.sesamerouter.web.measureLoopLag
import org.sesamerouter.web.memoryBudgetOfHeap
import org.sesamerouter.web.startRequestServer
import org.slf4j.LoggerFactory
import java.util.Random

private const val QUEUE_TICK_MS = 25L // while this host runs a queue of a pool
private const val REQUEST_TICK_MS = 50L // while it has requests in progress
private const val IDLE_TICK_MS = 100L
private const val PERCENT = 100
private const val MIN_HOSTS_FOR_CALLERS = 16 // from this many on, the owners of queues are left to their queues
private const val PROBE_INTERVAL_MS = 400L // a dead host is removed from address responses within a few intervals
internal const val MAX_FRAME_BYTES = 512 * 1024 // of reports on all engines by all hosts, see StateUpdateSizeSpec
private const val QUARANTINE_MS = 60_000L // a request that crashes targets is retried within seconds
private const val QUARANTINE_CAPACITY = 4_096
private const val TRIAL_TURN_MS = 8_000L // for each host in turn, if no request with the part comes to one
private const val TRIAL_START_MS = 4_000L // the first part of a turn, so that the turns of two hosts do not overlap

/** A running host. */
class FrontHost internal constructor(initialSettings: FrontSettings, private val metricsPort: Int?) :
    ExchangeContext,
    StageContext,
    StoreListener,
    FleetDuties,
    ConfigurationListener {
    private val logger = LoggerFactory.getLogger(FrontHost::class.java)

    @Volatile
    private var settings = initialSettings
    internal val clock: Clock = systemClock()
    internal val log = DecisionLog(settings.name, clock)
    internal val controlLoop = ControlLoop(settings.name)
    private val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = eventLoopGroup.next() as EventLoop
    private val loopLag = measureLoopLag(eventLoop, clock)
    private val metrics = FrontMetrics()
    private val noRoom = NoRoomReport(metrics, log, clock)
    private val memoryBudget = memoryBudgetOfHeap(noRoom::onRejected)
    private val client = ForwardClient(eventLoop, clock, memoryBudget) {
        metrics.countUnusedAnswer(it.kind)
        log.writeUnusedAnswer(it)
    }
    internal val directory = TargetDirectory()
    internal val evacuations = HostEvacuations(log) { onTargetsChanged(clock.nowMs()) }
    private val usableTargets = UsableTargets(directory, evacuations::isEvacuated)
    internal val engines = EngineTable()
    private val serviceTargets = ServiceTargets()
    internal val membership = Membership(initialMember(), PROBE_INTERVAL_MS, Random())
    internal val link = PeerLink(settings.linkAddress, eventLoop, LinkLimits(MAX_FRAME_BYTES, memoryBudget))
    internal val peers = PeerClient(link, membership, controlLoop, clock, log)
    private val store = StoreClient(settings.storeAddress, client, eventLoop)
    private val storeState = StoreState(log)
    private val storeAdapter = StoreAdapter(store, eventLoop, controlLoop, clock, log, storeState, directory, this)
    private val giver = ConfigurationGiver()
    internal val configuration =
        ConfigurationAdapter(store, eventLoop, controlLoop, clock, log, storeState, peers, giver, Fleet(), this)
    internal val peerUpdates = PeerUpdateAdapter(this)
    private val pieceMemory = PieceBudget(memoryBudget)
    private val exchanges = CallerExchanges(this, client, eventLoop, clock, log, metrics)
    internal val stages = StageRouter(
        this,
        StageCallAdapter(client, eventLoop, controlLoop, log, metrics, ::onNotice, clock),
        peers,
        clock,
        log,
        pieceMemory = pieceMemory,
        onJobEnded = ::onStageEnded,
    )
    internal val quarantine = Quarantine(QUARANTINE_MS, QUARANTINE_CAPACITY, DEATHS_TO_QUARANTINE_SHARED)
    internal val quarantineRecords =
        QuarantineAdapter(store, eventLoop, controlLoop, clock, log, quarantine, this)
    private val repeats = HostRepeats(clock, membership, metrics, log) {
        RepeatTerms(settings.retryShare, settings.retrySlack, settings.retryWindowMs)
    }
    internal val flows = RequestFlows(
        HostFlowContext(),
        engines,
        serviceTargets,
        quarantine,
        settings.dataCentre,
        repeats.gate,
        pieceMemory,
    )
    private val invalidLoads = InvalidLoads(metrics, log)
    private val cold = HostColdTargets(settings.linkAddress, clock, metrics, log) {
        ColdBound(settings.coldOver, settings.coldSlack)
    }
    private val checks = TargetChecks(client, eventLoop, ::onNotice, ::onTargetChecked)
    private val servers = ArrayList<RequestServer>()

    internal val lag = ConfigurationLag()

    /** When the configuration in force was first in force on any host, as far as this host knows. */
    private var firstInForceMs = 0L

    private var publishedState = Triple(-1L, -1L, -1L)
    private var ownersFor = -1L
    private var knownOwners = emptyList<Member>()
    private var readOrderFor = -1L
    private var knownReadOrder = 0
    private var loggedMembers: Map<String, String> = emptyMap()

    @Volatile
    private var addresses: List<String> = emptyList()

    @Volatile
    private var behindMs = 0L

    @Volatile
    private var isReady = false

    @Volatile
    private var isStopping = false

    @Volatile
    override var config: ServingConfig? = null
        private set

    override val self: Member get() = membership.self

    /** Time for which any host has had the configuration in force here, as far as this host knows. */
    internal fun configAgeMs(now: Long): Long = if (config == null) 0 else now - firstInForceMs

    private fun initialMember() = Member(
        settings.name,
        clock.nowMs(),
        version = 0,
        MemberStatus.ALIVE,
        peer = settings.linkAddress,
        http = settings.requestAddress,
        dataCentre = settings.dataCentre,
        processorPercent = (settings.processorShare * PERCENT).toInt(),
    )

    @Synchronized
    internal fun start() {
        log.write("start", "link" to settings.linkAddress, "store" to settings.storeAddress)
        link.start(peerUpdates)
        membership.setSeeds(settings.seedAddresses)
        listen(settings.requestAddress, { config?.limits ?: RequestLimits() }, exchanges::onRequest)
        val pages = StatusPages({ isReady }, { addresses }, { settings.addressTtlMs }, metrics)
        listen(settings.readyAddress, { RequestLimits() }, pages::onReadyRequest)
        listen(settings.directoryAddress, { RequestLimits() }, pages::onAddressRequest)
        metricsPort?.let { listen("${settings.ip}:$it", { RequestLimits() }, pages::onMetricsRequest) }
        registerGauges()
        controlLoop.post(::tickRepeatedly)
        configuration.start()
        storeAdapter.start(settings.name, settings.linkAddress)
        quarantineRecords.start()
        logger.info("host {} serves at {}", settings.name, settings.requestAddress)
    }

    private fun listen(address: String, limits: () -> RequestLimits, handler: (IncomingRequest) -> Unit) {
        servers += startRequestServer(address, eventLoopGroup, clock, limits, loopLag, memoryBudget, handler)
    }

    private fun registerGauges() {
        metrics.gauge("forward.in.progress") { flows.inProgress }
        repeats.registerGauges()
        metrics.gauge("memory.held.bytes") { memoryBudget.usedBytes }
        cold.registerGauges()
        evacuations.registerGauges(metrics)
        metrics.gauge("quarantine.parts") { quarantine.parts.size }
        metrics.gauge("quarantine.parts.held") { quarantine.parts.heldBack }
        metrics.gauge("quarantine.records") { quarantineRecords.records.size }
        metrics.gauge("stage.waiting") { stages.waiting }
        metrics.gauge("stage.queues.owned") { stages.owners.ownTerms.size }
        metrics.gauge("stage.owner.changes") { stages.owners.changes }
        metrics.gauge("stage.space.used.bytes") { stages.usedBytes }
        metrics.gauge("stage.shares.displaced") { stages.displacedByShare }
        metrics.gauge("stage.space.reports") { stages.spaceReports }
        metrics.gauge("engines.expected.wait.ms") { engines.lastWait.waitMs }
        metrics.gauge("engines.load.age.ms") { engines.lastWait.ageMs }
        metrics.gauge("engines.expected.error.ms") { engines.expectedErrorMs }
        metrics.gauge("targets.known") { directory.targets.size }
        metrics.gauge("members.live") { membership.live().size }
        metrics.gauge("configuration.version") { config?.version ?: -1 }
        metrics.gauge("configuration.behind.ms") { behindMs }
        metrics.gauge("store.calls") { store.calls }
        metrics.gauge("connections.opened") { client.openedConnections }
        metrics.gauge("log.dropped") { log.dropped }
        metrics.gauge("peers.bytes.sent") { link.counts().bytesSent }
        metrics.gauge("peers.bytes.received") { link.counts().bytesReceived }
        metrics.gauge("peers.frames.bad") { link.counts().badFrames }
        metrics.gauge("peers.messages.sent") { link.counts().messagesSent }
        metrics.gauge("peers.messages.dropped") { link.counts().messagesDropped }
    }

    /**
     * Applies changed settings at once, except addresses, names and the store, which are fixed until the process
     * restarts.
     */
    fun reload(requested: FrontSettings) = controlLoop.post {
        if (requested == settings) return@post
        val previous = settings
        settings = requested.copy(
            name = previous.name,
            ip = previous.ip,
            dataCentre = previous.dataCentre,
            requestAddress = previous.requestAddress,
            readyAddress = previous.readyAddress,
            directoryAddress = previous.directoryAddress,
            linkAddress = previous.linkAddress,
            storeAddress = previous.storeAddress,
        )
        if (settings.seedAddresses != previous.seedAddresses) membership.setSeeds(settings.seedAddresses)
        log.write("reload", "changed" to (settings != previous), "needs-restart" to (settings != requested))
    }

    /** Shuts down gracefully: requests in progress are completed as far as the grace period allows. */
    @Synchronized
    fun stop() {
        isStopping = true
        isReady = false
        GracefulStop(this, servers, settings.graceMs).run()
    }

    /** Applies the effects of a decision about requests made at [now]. */
    internal fun apply(effects: List<FlowEffect>, now: Long) = effects.forEach { apply(it, now) }

    private fun tick() {
        val now = clock.nowMs()
        if (flows.inProgress > 0 || quarantine.parts.hasPending) post(FlowEvent.Tick, now)
        stages.onTick(now)
        membership.onTick(now).forEach(link::sendProbe)
        peers.onTick(now)
        configuration.onTick(now)
        storeAdapter.onTick(now)
        quarantineRecords.onTick(now)
        repeats.onTick(now)
        cold.onTick(directory.targets.values, membership, now)
        val isPauseOver = usableTargets.onTick(now)
        if (directory.onTick(now) || isPauseOver) onTargetsChanged(now)
        peerUpdates.onTick(now)
        behindMs = lag.behindMs(now)
        publishState()
    }

    private fun tickRepeatedly() {
        try {
            tick()
        } finally {
            val delayMs = when {
                stages.hasQueuedWork || stages.isSearching -> QUEUE_TICK_MS
                flows.inProgress > 0 -> REQUEST_TICK_MS
                else -> IDLE_TICK_MS
            }
            controlLoop.after(delayMs, ::tickRepeatedly)
        }
    }

    override fun onEvacuations(read: EvacuationRead) = peerUpdates.onEvacuations(evacuations.onRead(read))

    override fun onUnknownKey(key: String, offset: Long) = evacuations.onUnknownKey(key, offset)

    override fun onStoreEra(era: Long) = storeAdapter.onEra(era)

    override fun onNewEra(era: Long) {
        configuration.onEra(era)
        quarantineRecords.records.onLogRestored()
    }

    private fun publishState() {
        val isInformed = config != null && directory.isReady && evacuations.known.areKnown
        val ready = !isStopping && isInformed && quarantineRecords.isReady(clock.nowMs())
        if (ready != isReady) log.write("ready", "ready" to ready, "version" to config?.version)
        isReady = ready
        val version = config?.version ?: -1
        val changed = membership.self.ready != ready || membership.self.revision != version
        if (changed) membership.updateSelf(disseminate = true) { it.copy(ready = ready, revision = version) }
        val state = Triple(membership.changes, peers.changes, stages.owners.changes)
        if (state == publishedState) return
        publishedState = state
        logMemberChanges()
        val usable = owners().filter { it.ready && !it.leaving }
        val queueOwners = stages.owners.terms.map { it.host }.toSet()
        val others = usable.filter { it.host !in queueOwners }
        addresses = (if (others.size >= MIN_HOSTS_FOR_CALLERS) others else usable).map { it.http }.sorted()
    }

    private fun logMemberChanges() {
        val statuses = membership.all().associate { it.host to "${it.status}${if (it.ready) "" else ", not ready"}" }
        if (statuses == loggedMembers) return
        val changed = statuses.filter { loggedMembers[it.key] != it.value }
        loggedMembers = statuses
        log.write("members", "changed" to changed, "known" to statuses.size)
    }

    override fun post(event: FlowEvent) = controlLoop.post { post(event, clock.nowMs()) }

    private fun post(event: FlowEvent, now: Long) {
        if (event is FlowEvent.SendFailed) {
            log.write("send-failed", "flow" to event.send.flow, "send" to event.send.number, "why" to event.failure)
        }
        apply(flows.handle(event, now), now)
    }

    private fun apply(effect: FlowEffect, now: Long) {
        when (effect) {
            is FlowEffect.RunStage -> stages.submit(effect.job)

            is FlowEffect.CancelStage -> stages.cancel(effect.service, effect.job)

            is FlowEffect.ResultsFetched -> stages.reportFetched(effect.handles)

            is FlowEffect.FreeResults -> stages.free(effect.service, effect.handles)

            is FlowEffect.CheckTarget -> checkTarget(effect.target)

            is FlowEffect.QuarantineChanged -> {
                metrics.countPartChange(effect.change.kind)
                log.writePartChange(effect)
                peerUpdates.onPartChange(effect)
                quarantineRecords.onTick(now)
            }

            is FlowEffect.ResponseLost -> {
                metrics.countLost(isBegun = effect.begunForMs != null)
                log.writeDecision(effect, now, now - directory.lastContiguousReadMs)
            }

            is FlowEffect.BroadcastDeath -> {
                metrics.targetDeaths.increment()
                log.write(
                    "target-death",
                    "target" to effect.notice.target,
                    "start-ms" to effect.notice.targetIncarnation,
                    "request" to effect.notice.fingerprint,
                    "parts" to effect.notice.parts.forLog(),
                )
                peerUpdates.onDeath(effect.notice)
                quarantineRecords.onTick(now)
            }

            is FlowEffect.Ended -> {
                metrics.countEnded(effect.outcome.substringBefore(':'))
                log.write("ended", "flow" to effect.flow, "outcome" to effect.outcome, "sends" to effect.sends)
            }

            else -> {
                log.writeDecision(effect, now, now - directory.lastContiguousReadMs)
                if (effect is FlowEffect.Send) {
                    metrics.sends.increment()
                    repeats.onSend(effect)
                }
                eventLoop.execute { exchanges.apply(effect) }
            }
        }
    }

    private fun checkTarget(target: TargetEntry) {
        val healthPath = config?.services?.get(target.service)?.healthPath ?: return
        checks.start(target, healthPath)
    }

    private fun onTargetChecked(target: TargetEntry, verdict: TargetVerdict, cause: String) = controlLoop.post {
        // A target that leaves ends without having crashed, whatever ended its responses.
        val isLeaving = directory.targets[target.id]?.isDraining ?: true
        val known = if (verdict == TargetVerdict.CRASHED && isLeaving) TargetVerdict.UNKNOWN else verdict
        log.write(
            "target-check",
            "target" to target.id,
            "start-ms" to target.startTimeMs,
            "verdict" to known,
            "leaving" to isLeaving,
            "why" to cause,
        )
        post(FlowEvent.TargetChecked(target, known), clock.nowMs())
    }

    /** Whether this host tries [part] again: the hosts take turns of [TRIAL_TURN_MS] in an order by the part. */
    internal fun isTurnToTry(part: String, overdueMs: Long): Boolean {
        if (overdueMs % TRIAL_TURN_MS >= TRIAL_START_MS) return false
        return isFirstFor("try $part ${overdueMs / TRIAL_TURN_MS}")
    }

    override fun isFirstFor(duty: String): Boolean =
        (owners() + self).minBy { rendezvous(duty, it.host) }.host == self.host

    private fun onStageEnded(job: String, outcome: JobOutcome) {
        if (outcome.failure != null) log.write("stage-failed", "job" to job, "why" to outcome.failure)
        post(FlowEvent.StageEnded(job, outcome), clock.nowMs())
    }

    override fun onConfig(text: String, source: String) {
        val decoded = decodeServingConfig(text)
        if (decoded == null) {
            log.write("configuration-unreadable", "bytes" to text.length)
            return
        }
        val current = config
        if (current != null && decoded.version <= current.version) return
        val now = clock.nowMs()
        val lagMs = lag.onInForce(decoded.version, now)
        metrics.configurationLagMs.record(lagMs.toDouble())
        firstInForceMs = now - lagMs
        config = decoded
        cold.onConfig(decoded)
        giver.onInForce(decoded.version, text)
        val delta = configuration.onInForce(source)
        log.write(
            "configuration",
            "version" to decoded.version,
            "before" to current?.version,
            "routes" to decoded.routes.size,
            "characters" to text.length,
            "source" to source,
            "behind-ms" to lagMs,
        )
        peerUpdates.onNewConfiguration(delta, isForAll = source == STORE)
        onTargetsChanged(now)
    }

    override fun onTargets(read: EntryRead) = onTargets(read, ageMs = 0, isLocalRead = true)

    /** Applies target changes that this host or a peer read. */
    internal fun onTargets(read: EntryRead, ageMs: Long, isLocalRead: Boolean) {
        val now = clock.nowMs()
        val wasReady = directory.isReady
        storeAdapter.onEra(read.era)
        val (changes, forPeers, knownFrom) = directory.onRead(read, ageMs, now)
        cold.onRead(read, directory.targets, wasReady, now)
        if (isLocalRead && wasReady) {
            peerUpdates.onLocalRead(read.copy(from = knownFrom, full = false, changes = forPeers))
        }
        if (changes.isEmpty() && wasReady) return
        log.writeTargets(changes, read.era, isLocalRead)
        onTargetsChanged(now)
    }

    private fun onTargetsChanged(now: Long) {
        val all = directory.targets.values
        val ended = usableTargets.refresh(now)
        ended.forEach { post(FlowEvent.TargetDied(it.id, it.startTimeMs), now) }
        engines.update(all.filter { config?.services?.get(it.service)?.engine != null })
        serviceTargets.update(all)
        invalidLoads.update(all)
        stages.onTargets(now)
    }

    /** Handles what [target] announced in a response. Called on the event loop. */
    override fun onNotice(target: TargetEntry, notice: TargetNotice) = controlLoop.post {
        val now = clock.nowMs()
        if (notice.isLeaving) onLeaving(TargetIncarnation(target.id, target.startTimeMs), isLocal = true)
        cold.onNotice(target, notice, now)
        if (notice.pauseMs > 0 && usableTargets.pause(target, notice.pauseMs, now)) {
            log.write("target-paused", "target" to target.id, "service" to target.service, "ms" to notice.pauseMs)
            onTargetsChanged(now)
        }
    }

    override fun onInvalidLoad(target: TargetEntry, text: String) = controlLoop.post {
        invalidLoads.onReport(target, text)
    }

    /** Takes [target] out of use; the other hosts are informed at once if it announced its leaving to this one. */
    internal fun onLeaving(target: TargetIncarnation, isLocal: Boolean) {
        val now = clock.nowMs()
        if (!directory.onLeaving(target, now)) return
        log.write("target-leaving", "target" to target.id, "own" to isLocal)
        if (isLocal) peerUpdates.onTargetLeaving(target)
        onTargetsChanged(now)
    }

    override fun mayCall(target: TargetEntry): Boolean = cold.targets.tryTakeCall(target, clock.nowMs())

    override fun pauseLeftMs(target: TargetEntry): Long = usableTargets.pauseLeftMs(target, clock.nowMs())

    override fun onHosts(addresses: List<String>) {
        repeats.onRegisteredHosts(addresses.distinct().size)
        cold.onRegisteredHosts(addresses + settings.seedAddresses)
        membership.setSeeds((addresses + settings.seedAddresses).distinct())
    }

    override fun neededServices(): Set<String> = config?.services?.keys.orEmpty()

    override fun liveHosts(): Int = membership.live().size

    override fun readOrder(): Int {
        if (readOrderFor == membership.changes) return knownReadOrder
        val name = "target-reader"
        val ownScore = rendezvous(name, self.host)
        readOrderFor = membership.changes
        knownReadOrder =
            membership.live().count { it.host != self.host && !it.leaving && rendezvous(name, it.host) < ownScore }
        return knownReadOrder
    }

    override fun owners(): List<Member> {
        if (changes == ownersFor) return knownOwners
        ownersFor = changes
        knownOwners = membership.live().filter {
            (it.ready || it.leaving) && it.status == MemberStatus.ALIVE && peers.isResponsive(it.host)
        }
        return knownOwners
    }

    override fun member(host: String): Member? = membership.member(host)

    override val changes: Long get() = membership.changes + peers.changes

    override fun targets(service: String): List<TargetEntry> = usableTargets.of(service)

    override fun targetAt(address: String): TargetEntry? = usableTargets.at(address)

    private inner class Fleet : FleetView {
        override val version: Long get() = config?.version ?: -1

        override val liveHosts: Int get() = liveHosts()

        override val readOrder: Int get() = readOrder()

        override val checksum: Long get() = giver.checksum

        override val others: List<OtherHost>
            get() = peerUpdates.otherHosts().map { OtherHost(it.host, it.dataCentre == self.dataCentre) }

        override fun reachesStore(now: Long) = storeAdapter.reachesStore(now)
    }

    private inner class HostFlowContext : FlowContext {
        override val config: ServingConfig? get() = this@FrontHost.config

        override val hasOtherHosts: Boolean get() = owners().any { it.host != self.host }

        override fun targets(service: String) = this@FrontHost.targets(service)

        override fun hasPermit(target: TargetEntry) = cold.targets.hasPermit(target, clock.nowMs())

        override fun maySendTo(target: TargetEntry) = cold.targets.tryTake(target, clock.nowMs())

        override fun permitLeftMs(targets: List<TargetEntry>) = cold.permitLeftMs(targets)

        override fun isInRegion(target: TargetEntry, regions: Set<String>) =
            settings.regions.isEmpty() || settings.regions[target.dataCentre] in regions

        override fun pauseLeftMs(service: String): Long? = listOfNotNull(
            usableTargets.pauseLeftMs(service, clock.nowMs()),
            permitLeftMs(targets(service)).takeIf {
                it >
                    0
            },
        )
            .minOrNull()

        override fun dataCentreOf(address: String) = usableTargets.at(address)?.dataCentre

        override fun maxConnectionsPerTarget(service: String): Int {
            val limit = this@FrontHost.config?.services?.get(service)?.maxConnections ?: 1
            return maxOf(1, limit / maxOf(1, membership.live().size))
        }

        override fun mayTryPart(part: String, overdueMs: Long): Boolean = isTurnToTry(part, overdueMs)

        override fun expectedStageMs(service: String, rank: Int, dueMs: Long) =
            stages.expectedStageMs(service, rank, dueMs)

        override fun announcedMs(service: String, rank: Int, dueMs: Long) = stages.announcedMs(service, rank, dueMs)

        override fun unloadedStageMs(service: String) = stages.unloadedStageMs(service)
    }
}

/** Returns a host with [settings] that serves its metrics at [metricsPort], if set; it has to be started. */
internal fun frontHost(settings: FrontSettings, metricsPort: Int? = null) = FrontHost(settings, metricsPort)

/** Starts a host with [settings] that serves its metrics at [metricsPort], if set. */
fun startFrontHost(settings: FrontSettings, metricsPort: Int? = null): FrontHost =
    frontHost(settings, metricsPort).also { it.start() }
