/*
 * A deployment in one process: entry hosts and stand-ins of the platform and the targets, with loopback sockets.
 */
package org.sesamerouter.experiment

import com.github.michaelbull.result.getOrElse
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.sesamerouter.api.WireJson
import org.sesamerouter.configuration.Declaration
import org.sesamerouter.configuration.PipelineSpec
import org.sesamerouter.configuration.PoolSpec
import org.sesamerouter.configuration.ResourceKind
import org.sesamerouter.configuration.parseSpec
import org.sesamerouter.host.EntryHost
import org.sesamerouter.host.HostOptions
import org.sesamerouter.host.PutBody
import org.sesamerouter.host.startEntryHost
import org.sesamerouter.membership.ListedHost
import org.sesamerouter.settings.HostSettings
import org.sesamerouter.settings.LimitSettings
import org.sesamerouter.settings.ListenSettings
import org.sesamerouter.settings.PlatformSettings
import org.sesamerouter.settings.Settings
import org.sesamerouter.settings.TimingSettings
import org.sesamerouter.standin.HostListStandin
import org.sesamerouter.standin.LogStandin
import org.sesamerouter.standin.RunRecord
import org.sesamerouter.standin.TargetStandin
import org.sesamerouter.web.ClientRequest
import org.sesamerouter.web.FetchOutcome
import org.sesamerouter.web.HttpClient

private const val ANY_PORT = "127.0.0.1:0"
private const val STANDIN_THREADS = 2
private const val CALLER_THREADS = 2
private const val AWAIT_POLL_MS = 20L
private const val AWAIT_TIMEOUT_MS = 30_000L

/**
 * Options of a deployment.
 *
 * @property hosts number of entry hosts.
 * @property useNaivePolicy whether the hosts use the naive policy.
 * @property slotFactor factor on the declared slots of every target. A value below 1 lets a small machine generate
 *   enough load to overload the targets.
 */
data class DeploymentOptions(
    val hosts: Int = 6,
    val useNaivePolicy: Boolean = false,
    val seed: Long = 1,
    val timing: TimingSettings = TimingSettings(
        addressLifetimeMs = 1_000,
        probeIntervalMs = 200,
        loadPollMs = 100,
        hostListPollMs = 200,
    ),
    val limits: LimitSettings = LimitSettings(),
    val slotFactor: Double = 1.0,
)

/** A running deployment of [example]. Calls [onRun] for every run on a target. */
class Deployment(
    val example: Example,
    private val options: DeploymentOptions = DeploymentOptions(),
    private val onRun: (RunRecord) -> Unit = {},
) : AutoCloseable {
    private val standinGroup = newEventLoopGroup(STANDIN_THREADS)
    private val callerGroup = newEventLoopGroup(CALLER_THREADS)

    /** HTTP client for callers. */
    val client = HttpClient(callerGroup)
    val log = LogStandin(ANY_PORT, standinGroup)
    val hostList = HostListStandin(ANY_PORT, standinGroup)
    private val pools = example.declarations.filter { it.kind == ResourceKind.POOL }
        .associate { it.name to specOf<PoolSpec>(it) }

    /** Declared pipelines by name. */
    val pipelines: Map<String, PipelineSpec> = example.declarations.filter { it.kind == ResourceKind.PIPELINE }
        .associate { it.name to specOf<PipelineSpec>(it) }

    /** Stand-ins of the targets, by pool. */
    val targets: Map<String, List<TargetStandin>> = pools.mapValues { (pool, spec) ->
        val behaviour = example.traffic.pools.getValue(pool)
        spec.targets.map { target ->
            val adapted = behaviour.copy(slots = effectiveSlots(target.slots), checksFencing = target.checksFencing)
            TargetStandin(target.name, ANY_PORT, standinGroup, adapted, onRun)
        }
    }
    private val runningHosts = ArrayList<EntryHost>()

    /** Entry hosts that are running. */
    val hosts: List<EntryHost> get() = synchronized(runningHosts) { runningHosts.toList() }

    init {
        repeat(options.hosts) { startHost(it) }
    }

    /** Starts the host with number [index]; if it ran before, as a new incarnation. */
    fun startHost(index: Int): EntryHost {
        val dataCentres = pools.values.flatMap { it.targets }.map { it.dataCentre }.distinct()
        val settings = Settings(
            HostSettings("host-${index + 1}", dataCentres[index % dataCentres.size]),
            ListenSettings(trafficThreads = 1),
            PlatformSettings(log.address, hostList.address, hosts.map { it.peerAddress }),
            options.limits,
            options.timing,
        )
        val host =
            startEntryHost(settings, HostOptions(useNaivePolicy = options.useNaivePolicy, seed = options.seed + index))
        synchronized(runningHosts) { runningHosts.add(host) }
        publishHostList()
        return host
    }

    /** Stops [host] abruptly, as SIGKILL would. */
    fun kill(host: EntryHost) {
        synchronized(runningHosts) { runningHosts.remove(host) }
        host.kill()
        publishHostList()
    }

    /** Shuts [host] down gracefully and waits until it has stopped. */
    fun stop(host: EntryHost) {
        host.stop()
        synchronized(runningHosts) { runningHosts.remove(host) }
        publishHostList()
    }

    /** Applies the declarations of the example and waits until they are in force on every host. */
    fun apply() {
        awaitReady()
        example.declarations.forEach { put(it.copy(spec = boundSpec(it))) }
        awaitSettled()
    }

    /** Submits [declaration] to the first host. Returns the HTTP status of the reply, or 0 if there was none. */
    fun put(declaration: Declaration): Int {
        val body = WireJson.encodeToString(PutBody.serializer(), PutBody(declaration.spec, declaration.generation))
        val path = "/v1/resources/${declaration.kind.label}/${declaration.name}"
        val outcome = client.fetchBlocking(hosts.first().httpAddress, ClientRequest("PUT", path, body))
        return (outcome as? FetchOutcome.Replied)?.reply?.status ?: 0
    }

    /** Waits until all hosts are at the same configuration revision and report it as settled. */
    fun awaitSettled() = await("the configuration did not settle") {
        val configurations = hosts.map { it.dump().configuration }
        configurations.map { it.revision }.distinct().size == 1 &&
            configurations.all { it.settledRevision == it.revision }
    }

    /** Waits until every host is ready and sees all others as live and ready. */
    fun awaitReady() = await("the hosts did not become ready") {
        hosts.all { host ->
            val dump = host.dump()
            dump.configuration.ready && dump.membership.members.count { it.isLive && it.ready } == hosts.size
        }
    }

    override fun close() {
        hosts.forEach { it.kill() }
        targets.values.flatten().forEach { it.close() }
        log.close()
        hostList.close()
        callerGroup.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS).syncUninterruptibly()
        standinGroup.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS).syncUninterruptibly()
    }

    private fun publishHostList() = hostList.set(hosts.map { ListedHost(it.peerAddress, entry = true) })

    private fun await(problem: String, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_MS * 1_000_000
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) {
                "$problem within $AWAIT_TIMEOUT_MS ms; see the state dumps of the hosts"
            }
            Thread.sleep(AWAIT_POLL_MS)
        }
    }

    /** Returns the spec of [declaration]; for a pool, with the addresses and slots of its stand-ins. */
    private fun boundSpec(declaration: Declaration): JsonObject {
        val standins = targets[declaration.name]
        if (declaration.kind != ResourceKind.POOL || standins == null) return declaration.spec
        val declared = declaration.spec.getValue("targets").jsonArray
        val bound = declared.map { target -> bindTarget(target.jsonObject, standins) }
        return JsonObject(declaration.spec + ("targets" to JsonArray(bound)))
    }

    private fun bindTarget(target: JsonObject, standins: List<TargetStandin>): JsonElement {
        val name = target.getValue("name").jsonPrimitive.content
        val address = standins.first { it.name == name }.address
        val slots = effectiveSlots(target.getValue("slots").jsonPrimitive.int)
        return JsonObject(target + ("address" to JsonPrimitive(address)) + ("slots" to JsonPrimitive(slots)))
    }

    private fun effectiveSlots(declared: Int): Int = maxOf(1, (declared * options.slotFactor).toInt())
}

private inline fun <reified S> specOf(declaration: Declaration): S =
    parseSpec(declaration.kind, declaration.name, declaration.spec)
        .getOrElse { error("${declaration.kind} ${declaration.name}: $it") } as S

internal fun newEventLoopGroup(threads: Int): EventLoopGroup =
    MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())
