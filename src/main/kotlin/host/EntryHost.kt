/*
 * One entry host: wires the slices together, runs them on the control thread and opens the sockets. The peer link
 * starts first, then the HTTP server, then the periodic tick. On a graceful shutdown the host is no longer given out in
 * address answers, but keeps serving until the answers already given have expired; within its grace it completes the
 * running requests before it closes its sockets.
 */
package org.sesamerouter.host

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.sesamerouter.clock.Clock
import org.sesamerouter.clock.systemClock
import org.sesamerouter.configuration.ConfigurationReplica
import org.sesamerouter.configuration.ConfigurationState
import org.sesamerouter.configuration.catalogueOf
import org.sesamerouter.ledger.Holder
import org.sesamerouter.ledger.Ledger
import org.sesamerouter.log.httpPlatformLog
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.MemberStatus
import org.sesamerouter.membership.Membership
import org.sesamerouter.membership.PeerLink
import org.sesamerouter.orders.OrderController
import org.sesamerouter.pipeline.RequestCoordinator
import org.sesamerouter.pipeline.RequestEvent
import org.sesamerouter.pipeline.ServingPolicy
import org.sesamerouter.pipeline.ServingState
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.routing.TargetChooser
import org.sesamerouter.routing.defaultTargetChooser
import org.sesamerouter.routing.randomTargetChooser
import org.sesamerouter.routing.rendezvous
import org.sesamerouter.settings.Settings
import org.sesamerouter.target.AttemptRunner
import org.sesamerouter.web.HttpClient
import org.sesamerouter.web.HttpServer
import org.sesamerouter.web.startHttpServer
import org.slf4j.LoggerFactory
import java.util.Random
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.random.RandomGenerator

private const val TICK_MS = 20L
private const val SLOW_TICK_INTERVAL = 5
private const val DRAIN_POLL_MS = 20L
private const val SHUTDOWN_TIMEOUT_MS = 1_000L

/** Options outside the settings file, for tests and for comparing policies. */
data class HostOptions(
    val policy: ServingPolicy = ServingPolicy(),
    val useNaivePolicy: Boolean = false,
    val clock: Clock = systemClock(),
    val seed: Long = System.nanoTime(),
)

/** A running entry host. */
class EntryHost internal constructor(val settings: Settings, options: HostOptions) {
    private val logger = LoggerFactory.getLogger(EntryHost::class.java)
    private val clock = options.clock
    private val random: RandomGenerator = Random(options.seed)
    internal val loop = ControlLoop(settings.host.id)
    internal val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(settings.listen.trafficThreads, NioIoHandler.newFactory())
    internal val client = HttpClient(group)
    internal val link = PeerLink(settings.listen.peer)
    private val log = httpPlatformLog(client, settings.platform.log)
    private val holder = Holder(settings.host.id, clock.nowMs())
    internal val ledger = Ledger(holder, settings.limits.maxKeys)
    internal val serving = ServingState(
        ledger,
        quarantine = Quarantine(settings.timing.quarantineMs, settings.limits.maxSuspects),
    )
    internal val runner = AttemptRunner(client)
    internal val configurationReplica = ConfigurationReplica(settings.host.id, settings.timing.snapshotIntervalMs)
    internal val orders = OrderController(holder, settings.timing.leaseMs)
    internal lateinit var membership: Membership
    internal lateinit var coordinator: RequestCoordinator
    internal lateinit var traffic: TrafficAdapter
    internal lateinit var claims: ClaimAdapter
    internal lateinit var configuration: ConfigurationAdapter
    internal lateinit var peers: PeerAdapter
    private lateinit var targets: TargetAdapter
    private lateinit var server: HttpServer
    private val policy = (if (options.useNaivePolicy) ServingPolicy.NAIVE else options.policy)
        .copy(keyLifetimeMs = settings.timing.keyLifetimeMs)
    private val isNaive = options.useNaivePolicy
    private var ticks = 0L
    private var nextEpochMs = clock.nowMs() + settings.timing.epochMs
    private var leaving = false

    /** Whether all slices are initialised. */
    @Volatile
    internal var isStarted = false
        private set

    /** Published state; safe to read from any thread. */
    @Volatile
    internal lateinit var view: HostView
        private set

    /** HTTP address for callers and operators. */
    val httpAddress: String get() = "${settings.listen.http.substringBeforeLast(':')}:${server.port}"

    /** Address of the peer link. */
    val peerAddress: String get() = link.address

    /** Id of the control thread, used to measure its CPU time. */
    val controlThreadId: Long get() = loop.threadId

    internal fun start() {
        peers = PeerAdapter(this, clock)
        link.start(peers)
        server =
            startHttpServer(
                settings.listen.http,
                group,
                settings.limits.maxBodyBytes,
                handler = HostRoutes(this)::handle,
            )
        val self = Member(
            holder.host,
            holder.incarnation,
            version = 0,
            MemberStatus.ALIVE,
            peer = link.address,
            http = httpAddress,
            dataCentre = settings.host.dataCentre,
        )
        membership = Membership(self, settings.timing.probeIntervalMs, random)
        membership.setSeeds(settings.platform.peers)
        view = HostView(self, listOf(self), ConfigurationState(), -1, ready = false, leaving = false, isolated = false)
        val chooser: TargetChooser =
            if (isNaive) randomTargetChooser(random) else defaultTargetChooser(holder.host, random)
        coordinator = RequestCoordinator(serving, chooser, policy, membership::isLive)
        traffic = TrafficAdapter(loop, clock, coordinator, runner, settings.limits.maxAnswerBytes, peers)
        claims = ClaimAdapter(loop, clock, log, ledger, traffic::handle)
        configuration = ConfigurationAdapter(this, clock, log)
        targets = TargetAdapter(this, clock, log)
        isStarted = true
        loop.every(TICK_MS, ::tick)
        logger.info("host {} started: HTTP at {}, peer link at {}", holder.host, httpAddress, link.address)
    }

    /** Shuts down gracefully within the grace: what cannot end by then is refused or ended with a true answer. */
    fun stop() {
        val schedule = stopScheduleOf(clock.nowMs(), settings.timing)
        logger.info("host {} shutting down: no longer in address answers, draining requests", holder.host)
        onLoop {
            leaving = true
            traffic.handle(RequestEvent.Stopping(schedule.servingEndMs))
            configuration.endWatches()
            membership.updateSelf(disseminate = true) { it.copy(leaving = true, ready = false) }
            publish()
        }
        server.drain()
        sleepUntil(schedule.addressesExpireMs)
        awaitDrained(schedule.servingEndMs)
        server.stopAccepting()
        awaitDrained(schedule.servingEndMs)
        onLoop {
            logger.info("host {} ends serving, {} requests in progress", holder.host, coordinator.inProgress)
            traffic.endServing()
            peers.transferOutcomes(ledger.exportOutcomes())
            membership.updateSelf(disseminate = true) { it.copy(status = MemberStatus.LEFT) }
        }
        Thread.sleep(schedule.announcementMs)
        server.closeGracefully(maxOf(0, schedule.endMs - clock.nowMs()) / 2)
        close()
        logger.info("host {} stopped", holder.host)
    }

    /** Closes at once without draining, like a killed process. */
    fun kill() {
        server.close()
        close()
    }

    /** Returns the state of all slices. */
    fun dump(): StateDump = onLoop(::dumpOnLoop)

    /** Returns the state of all slices; on the control thread. */
    internal fun dumpOnLoop(): StateDump = dumpOf(this, clock.nowMs())

    internal fun <T> onLoop(task: () -> T): T {
        val future = CompletableFuture<T>()
        loop.post {
            try {
                future.complete(task())
            } catch (e: Exception) {
                future.completeExceptionally(e)
            }
        }
        return future.get()
    }

    /** Applies a new configuration; on the control thread. */
    internal fun onConfiguration(state: ConfigurationState) {
        val catalogue = catalogueOf(state)
        serving.catalogue = catalogue
        serving.targets.apply(catalogue, membership.live().size)
        orders.apply(catalogue)
        membership.updateSelf(disseminate = true) {
            it.copy(revision = state.revision, ready = configurationReplica.isReady && !leaving)
        }
        publish()
    }

    /** Returns whether this host, of all live hosts, is responsible for the cluster-wide task [name]. */
    internal fun isResponsibleFor(name: String): Boolean =
        membership.live().minByOrNull { rendezvous(name, it.host) }?.host == holder.host

    private fun sleepUntil(timeMs: Long) = Thread.sleep(maxOf(0, timeMs - clock.nowMs()))

    private fun awaitDrained(untilMs: Long) {
        while (clock.nowMs() < untilMs && (onLoop(::inProgress) > 0 || server.openCalls > 0)) {
            Thread.sleep(DRAIN_POLL_MS)
        }
    }

    private fun inProgress(): Int = coordinator.inProgress + traffic.waitingCallers

    private fun close() {
        loop.close()
        link.close()
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly()
    }

    private fun tick() {
        val now = clock.nowMs()
        ticks++
        if (coordinator.inProgress > 0) traffic.handle(RequestEvent.Tick)
        membership.onTick(now).forEach(link::sendProbe)
        if (ticks % SLOW_TICK_INTERVAL == 0L) slowTick(now)
    }

    private fun slowTick(now: Long) {
        claims.onTick()
        configuration.onTick()
        targets.onTick()
        if (now >= nextEpochMs) {
            nextEpochMs = now + settings.timing.epochMs
            ledger.advanceEpoch()
        }
        val isReady = configurationReplica.isReady && !leaving
        val isChanged = membership.self.epoch != ledger.epoch || membership.self.ready != isReady
        membership.updateSelf(disseminate = isChanged) {
            it.copy(epoch = ledger.epoch, ready = isReady, inProgress = coordinator.inProgress)
        }
        publish()
    }

    private fun publish() {
        val members = membership.all()
        val live = members.filter { it.isLive }
        val sinceLogReadMs = clock.nowMs() - configurationReplica.logReadMs
        val isAlone = live.size == 1 && members.size > 1
        view = HostView(
            membership.self,
            members,
            configurationReplica.state,
            live.minOfOrNull { it.revision } ?: configurationReplica.state.revision,
            configurationReplica.isReady,
            leaving,
            isolated = isAlone && sinceLogReadMs > settings.timing.isolatedRefusalMs,
        )
        configuration.onViewPublished(view)
    }

    internal fun newNonce(): String = random.nextLong().toULong().toString(36)
}

/** Starts an entry host with [settings]. */
fun startEntryHost(settings: Settings, options: HostOptions = HostOptions()): EntryHost =
    EntryHost(settings, options).also { it.start() }
