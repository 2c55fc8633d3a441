/*
 * Measures the cost of each role for one process at several sizes: processor time of the work on the control thread,
 * retained heap, and bytes sent or stored. Simulated parts run on virtual time; processor time is real.
 */
package org.sesamerouter.capacity

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.api.RunCall
import org.sesamerouter.api.WireJson
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.configuration.ConfigurationRecord
import org.sesamerouter.configuration.ConfigurationState
import org.sesamerouter.configuration.ResourceKind
import org.sesamerouter.configuration.SnapshotState
import org.sesamerouter.configuration.catalogueOf
import org.sesamerouter.configuration.encode
import org.sesamerouter.configuration.toState
import org.sesamerouter.ledger.Holder
import org.sesamerouter.ledger.Ledger
import org.sesamerouter.ledger.Ticket
import org.sesamerouter.location.chooseHost
import org.sesamerouter.log.LogRecord
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.MemberStatus
import org.sesamerouter.membership.Membership
import org.sesamerouter.membership.OutgoingProbe
import org.sesamerouter.membership.encodeProbe
import org.sesamerouter.orders.OrderController
import org.sesamerouter.pipeline.AttemptId
import org.sesamerouter.pipeline.CallTarget
import org.sesamerouter.pipeline.RequestCoordinator
import org.sesamerouter.pipeline.RequestEffect
import org.sesamerouter.pipeline.RequestEvent
import org.sesamerouter.pipeline.ServingState
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.routing.TargetTable
import org.sesamerouter.routing.defaultTargetChooser
import org.sesamerouter.target.LoadReport
import org.sesamerouter.target.ModelState
import java.lang.management.ManagementFactory
import java.util.Random

private const val NANOS_PER_MICRO = 1_000.0
private const val PROBE_ROUNDS = 60
private const val PROBE_INTERVAL_MS = 1_000L
private const val TICK_MS = 20L
private const val DATA_CENTRES = 9
private const val REPETITIONS = 20
private const val OPERATION_COUNT = 50_000
private const val REQUEST_COUNT = 3_000

/**
 * The sizes to measure at, and the target sizes to extrapolate to.
 *
 * @property members numbers of members of the membership.
 * @property targets numbers of targets.
 * @property organisations numbers of organisations.
 */
data class CapacitySizes(
    val members: List<Int> = listOf(8, 16, 32, 64),
    val targets: List<Int> = listOf(20, 80, 240, 680),
    val organisations: List<Int> = listOf(5, 60, 200, 600),
    val pipelines: Int = 32,
    val targetMembers: Int = 400,
    val targetTargets: Int = 670,
    val targetOrganisations: Int = 600,
)

/** Measures the cost of all roles at [sizes]. */
class CapacityProbe(private val sizes: CapacitySizes) {
    private val threadMetrics = ManagementFactory.getThreadMXBean()

    /** Returns the scaling of every figure. Calls [onRole] with the name of each role before it is measured. */
    fun measure(onRole: (String) -> Unit = {}): List<ScalingFigure> {
        val roles = listOf(
            "membership" to ::membership,
            "answering addresses" to ::addresses,
            "configuration" to ::configuration,
            "load reports and routing" to ::routing,
            "order controllers" to ::orders,
            "serving requests" to ::serving,
            "ledger" to ::ledger,
            "quarantine" to ::quarantine,
        )
        return roles.flatMap { (name, role) ->
            onRole(name)
            role()
        }
    }

    private fun membership(): List<ScalingFigure> {
        val measured = sizes.members.associateWith { measureMembership(it) }
        fun scalingFigure(figure: String, unit: String, value: (MembershipCost) -> Double) = ScalingFigure(
            "membership",
            figure,
            unit,
            "members",
            measured.map { (size, cost) -> Point(size, value(cost)) },
            sizes.targetMembers,
        )
        return listOf(
            scalingFigure("processor", "us/s") { it.microsPerSecond },
            scalingFigure("sent", "bytes/s") { it.bytesPerSecond },
            scalingFigure("messages sent", "1/s") { it.messagesPerSecond },
            scalingFigure("heap", "bytes") { it.heapBytes },
        )
    }

    private class MembershipCost(
        val microsPerSecond: Double,
        val bytesPerSecond: Double,
        val messagesPerSecond: Double,
        val heapBytes: Double,
    )

    /**
     * Runs [size] members on an in-memory network for [PROBE_ROUNDS] probe intervals of virtual time and returns the
     * mean cost of one member.
     */
    private fun measureMembership(size: Int): MembershipCost {
        val random = Random(size.toLong())
        var hosts = emptyList<Membership>()
        val heap = retainedHeapOf {
            hosts = List(size) { Membership(memberOf(it), PROBE_INTERVAL_MS, random) }
            hosts.forEach { it.setSeeds(List(size) { seed -> peerOf(seed) }) }
            simulate(hosts, PROBE_ROUNDS)
            hosts
        }
        var bytes = 0L
        var messagesBefore = 0L
        val micros = cpuMicrosOf {
            messagesBefore = hosts.sumOf { it.counts.sent }
            bytes = simulate(hosts, PROBE_ROUNDS)
        }
        val seconds = PROBE_ROUNDS * PROBE_INTERVAL_MS / 1_000.0
        return MembershipCost(
            micros / size / seconds,
            bytes / size / seconds,
            (hosts.sumOf { it.counts.sent } - messagesBefore) / size / seconds,
            heap / size,
        )
    }

    private var virtualMs = 0L

    private fun simulate(hosts: List<Membership>, rounds: Int): Long {
        var bytes = 0L
        fun deliver(sends: List<OutgoingProbe>) {
            for (send in sends) {
                bytes += encodeProbe(send.message).size
                val to = send.to.substringAfter(':').toInt() - FIRST_PORT
                deliver(hosts[to].onMessage(send.message, send.to, virtualMs))
            }
        }
        val untilMs = virtualMs + rounds * PROBE_INTERVAL_MS
        while (virtualMs < untilMs) {
            virtualMs += TICK_MS * 5
            hosts.forEach { deliver(it.onTick(virtualMs)) }
        }
        return bytes
    }

    private fun memberOf(index: Int) = Member(
        "host-$index",
        index.toLong(),
        0,
        MemberStatus.ALIVE,
        peerOf(index),
        "127.0.0.1:${FIRST_PORT + index}",
        "dc-${index % DATA_CENTRES}",
        ready = true,
    )

    private fun peerOf(index: Int) = "127.0.0.1:${FIRST_PORT + index}"

    private fun addresses(): List<ScalingFigure> {
        val random = Random(1)
        val points = sizes.members.map { size ->
            val members = List(size) { memberOf(it) }
            val micros =
                cpuMicrosOf { repeat(OPERATION_COUNT) { chooseHost(members, "dc-${it % DATA_CENTRES}", random) } }
            Point(size, micros / OPERATION_COUNT)
        }
        return listOf(
            ScalingFigure("answering addresses", "processor", "us/answer", "members", points, sizes.targetMembers),
        )
    }

    private fun configuration(): List<ScalingFigure> {
        val states = sizes.organisations.map { organisations ->
            val targets = sizes.targets.getOrElse(sizes.organisations.indexOf(organisations)) { sizes.targets.last() }
            organisations to stateOf(organisations, targets)
        }
        val resources = states.map { (_, state) -> state.resources.size }
        val target = sizes.targetOrganisations + sizes.pipelines + POOL_COUNT
        fun scalingFigure(figure: String, unit: String, value: (ConfigurationState) -> Double) = ScalingFigure(
            "configuration",
            figure,
            unit,
            "resources",
            states.mapIndexed { i, (_, state) -> Point(resources[i], value(state)) },
            target,
        )
        return listOf(
            scalingFigure("processor", "us/change") { state -> changeCpuMicros(state) },
            scalingFigure("snapshot", "bytes") { state ->
                encode(ConfigurationRecord.Snapshot(state.toSnapshot())).length.toDouble()
            },
            scalingFigure("recovery", "us") { state -> recoveryCpuMicros(state) },
            scalingFigure("heap", "bytes") { state ->
                retainedHeapOf { catalogueOf(state) to state.toSnapshot().toState() }
            },
        )
    }

    private fun changeCpuMicros(state: ConfigurationState): Double = cpuMicrosOf {
        repeat(REPETITIONS) {
            val change =
                organisationChange("c$it", "org-0", state.resources.values.first { r -> r.name == "org-0" }.generation)
            catalogueOf(state.fold(LogRecord(state.revision + 1, encode(change))))
        }
    } / REPETITIONS

    private fun recoveryCpuMicros(state: ConfigurationState): Double {
        val text = WireJson.encodeToString(SnapshotState.serializer(), state.toSnapshot())
        return cpuMicrosOf {
            repeat(REPETITIONS) { catalogueOf(WireJson.decodeFromString(SnapshotState.serializer(), text).toState()) }
        } / REPETITIONS
    }

    private fun routing(): List<ScalingFigure> {
        val report =
            LoadReport("engine-1", 4, 0, 8, models = List(3) { ModelState("model-$it", "7", listOf("a", "b")) })
        val body = WireJson.encodeToString(LoadReport.serializer(), report).length + HTTP_OVERHEAD_BYTES
        fun scalingFigure(figure: String, unit: String, value: (Catalogue) -> Double) = ScalingFigure(
            "load reports and routing",
            figure,
            unit,
            "targets",
            sizes.targets.map { Point(it, value(catalogueOf(stateOf(5, it)))) },
            sizes.targetTargets,
        )
        return listOf(
            scalingFigure("processor", "us/report") { reportCpuMicros(it, report) },
            scalingFigure("polled", "bytes/s") { polledBytesPerSecond(it, body) },
            scalingFigure("heap", "bytes") { catalogue ->
                retainedHeapOf { TargetTable().also { it.apply(catalogue, 400) } }
            },
        )
    }

    private fun reportCpuMicros(catalogue: Catalogue, report: LoadReport): Double {
        val table = TargetTable().also { it.apply(catalogue, 1) }
        val keys = table.all().flatMap { it.targets }.map { it.key }
        return cpuMicrosOf {
            repeat(OPERATION_COUNT) { table.onReport(keys[it % keys.size], report, it.toLong()) }
        } / OPERATION_COUNT
    }

    /**
     * Returns the traffic of the load poller. It polls at most a fixed number of targets of each pool, and its interval
     * grows with the number of polled targets.
     */
    private fun polledBytesPerSecond(catalogue: Catalogue, body: Int): Double {
        val polled = minOf(catalogue.pools.values.sumOf { it.targets.size }, MAX_POLLED * catalogue.pools.size)
        val seconds = if (polled <= MAX_POLLED * 2) 1.0 else maxOf(1.0, polled * POLL_BYTES / POLL_BYTES_PER_SECOND)
        return polled * body / seconds
    }

    private fun orders(): List<ScalingFigure> {
        val points = sizes.targets.map { size ->
            val controller = OrderController(Holder("host-0", 1), 15_000)
            controller.apply(catalogueOf(stateOf(5, size)))
            val liveHosts = List(sizes.members.last()) { "host-$it" }
            val report = LoadReport("i", models = listOf(ModelState("model-0", "1")))
            repeat(size) { controller.onReport("127.0.0.1:${FIRST_PORT + it}", report) }
            Point(
                size,
                cpuMicrosOf {
                    repeat(REPETITIONS) { controller.onTick(liveHosts, it.toLong()) }
                } / REPETITIONS * TICKS_PER_SECOND,
            )
        }
        return listOf(ScalingFigure("order controllers", "processor", "us/s", "targets", points, sizes.targetTargets))
    }

    private fun serving(): List<ScalingFigure> {
        val points = sizes.targets.map { size ->
            val state = ServingState(Ledger(Holder("host-0", 1)))
            val catalogue = catalogueOf(stateOf(5, size))
            state.catalogue = catalogue
            state.targets.apply(catalogue, 1)
            val coordinator = RequestCoordinator(state, defaultTargetChooser("host-0", Random(1)))
            Point(size, cpuMicrosOf { repeat(REQUEST_COUNT) { serve(coordinator, it) } } / REQUEST_COUNT)
        }
        return listOf(
            ScalingFigure("serving requests", "processor", "us/request", "targets", points, sizes.targetTargets),
        )
    }

    private fun serve(coordinator: RequestCoordinator, number: Int) {
        val call = RunCall("org-${number % 5}", JsonPrimitive("input $number"))
        var effects = coordinator.handle(
            RequestEvent.Arrived("r$number", CallTarget.PipelineCall("pipeline-0"), call),
            number.toLong(),
        )
        while (true) {
            val startEffect = effects.filterIsInstance<RequestEffect.StartAttempt>().firstOrNull() ?: return
            effects = coordinator.handle(succeeded(startEffect.attempt), number.toLong())
        }
    }

    private fun succeeded(attempt: AttemptId) = RequestEvent.Succeeded(attempt, JsonPrimitive(1), "", 0, null)

    private fun ledger(): List<ScalingFigure> {
        val counts = listOf(OPERATION_COUNT / 8, OPERATION_COUNT / 4, OPERATION_COUNT / 2, OPERATION_COUNT)
        val ticket = Ticket("host-0", 1, 0, "nonce").toString()
        fun fill(count: Int) = Ledger(Holder("host-0", 1)).also { ledger ->
            repeat(count) {
                val key = "$ticket/$it"
                ledger.decide(key, "fingerprint") { true }
                ledger.dispatch(key)
                ledger.done(key, RunAnswer("r$it", JsonPrimitive(it)))
            }
        }
        val micros = counts.map { count -> Point(count, cpuMicrosOf { fill(count) }) }
        val heap = counts.map { count -> Point(count, retainedHeapOf { fill(count) }) }
        val target = TARGET_LEDGER_KEYS
        return listOf(
            ScalingFigure("ledger", "processor for all", "us", "keys", micros, target),
            ScalingFigure("ledger", "heap", "bytes", "keys", heap, target),
        )
    }

    private fun quarantine(): List<ScalingFigure> {
        val counts = listOf(512, 1_024, 2_048, 4_096)
        fun fill(count: Int) = Quarantine().also { quarantine ->
            repeat(count) {
                quarantine.onDeath(DeathNotice("fingerprint-%032d".format(it), "127.0.0.1:9000", "i"), it.toLong())
            }
        }
        val micros = counts.map { count -> Point(count, cpuMicrosOf { fill(count) }) }
        val heap = counts.map { count -> Point(count, retainedHeapOf { fill(count) }) }
        return listOf(
            ScalingFigure("quarantine", "processor for all", "us", "suspects", micros, counts.last()),
            ScalingFigure("quarantine", "heap", "bytes", "suspects", heap, counts.last()),
        )
    }

    private fun stateOf(organisations: Int, targets: Int): ConfigurationState {
        val poolSize = maxOf(1, targets / POOL_COUNT)
        val changes = List(organisations) { organisationChange("o$it", "org-$it", 0) } +
            List(POOL_COUNT) { poolChange(it, poolSize) } +
            List(sizes.pipelines) { pipelineChange(it) } +
            change(
                "m",
                ResourceKind.MODEL,
                "model-0",
                mapOf(
                    "pool" to JsonPrimitive("pool-3"),
                    "version" to JsonPrimitive("1"),
                ),
            )
        return changes.foldIndexed(ConfigurationState()) { i, state, change ->
            state.fold(LogRecord(i.toLong(), encode(change)))
        }
    }

    private fun organisationChange(id: String, name: String, base: Long) = ConfigurationRecord.Change(
        id,
        "capacity",
        ResourceKind.ORGANISATION,
        name,
        base,
        JsonObject(mapOf("weight" to JsonPrimitive(3), "max_in_progress" to JsonPrimitive(500))),
    )

    private fun poolChange(index: Int, size: Int): ConfigurationRecord.Change {
        val stage = listOf("encode", "retrieve", "rerank", "generate", "service", "service")[index]
        val targets = List(size) {
            JsonObject(
                mapOf(
                    "name" to JsonPrimitive("target-$index-$it"),
                    "address" to JsonPrimitive("127.0.0.1:${FIRST_PORT + index * size + it}"),
                    "data_centre" to JsonPrimitive("dc-${it % DATA_CENTRES}"),
                    "slots" to JsonPrimitive(8),
                ),
            )
        }
        val spec = mapOf("stage" to JsonPrimitive(stage), "targets" to JsonArray(targets))
        return change("p$index", ResourceKind.POOL, "pool-$index", spec)
    }

    private fun pipelineChange(index: Int): ConfigurationRecord.Change {
        val stages = listOf("encode", "retrieve", "rerank", "generate").mapIndexed { i, name ->
            JsonObject(mapOf("name" to JsonPrimitive(name), "pool" to JsonPrimitive("pool-$i")))
        }
        return change("l$index", ResourceKind.PIPELINE, "pipeline-$index", mapOf("stages" to JsonArray(stages)))
    }

    private fun change(
        id: String,
        kind: ResourceKind,
        name: String,
        spec: Map<String, kotlinx.serialization.json.JsonElement>,
    ) = ConfigurationRecord.Change(id, "capacity", kind, name, 0, JsonObject(spec))

    /** Returns the processor time of [work] in microseconds. A first run, for JIT compilation, is not measured. */
    private fun cpuMicrosOf(work: () -> Unit): Double {
        work()
        val before = threadMetrics.currentThreadCpuTime
        work()
        return (threadMetrics.currentThreadCpuTime - before) / NANOS_PER_MICRO
    }

    /** Returns the heap in bytes that the result of [create] retains. */
    private fun retainedHeapOf(create: () -> Any): Double {
        val before = usedHeap()
        val retained = create()
        val after = usedHeap()
        // Keeps the result reachable until the heap has been measured.
        check(retained.hashCode() != Int.MIN_VALUE + 1)
        return maxOf(0L, after - before).toDouble()
    }

    private fun usedHeap(): Long {
        repeat(3) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private companion object {
        const val FIRST_PORT = 10_000
        const val POOL_COUNT = 6
        const val HTTP_OVERHEAD_BYTES = 230

        /** Maximum number of targets of a pool that are polled. */
        const val MAX_POLLED = 24
        const val POLL_BYTES = 500.0
        const val POLL_BYTES_PER_SECOND = 2_048.0
        const val TICKS_PER_SECOND = 10
        const val TARGET_LEDGER_KEYS = 100_000
    }
}
