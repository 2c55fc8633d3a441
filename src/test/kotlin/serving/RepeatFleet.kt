/*
 * A model of a fleet before failing targets. It drives the real decisions of each host on a virtual clock and counts
 * what arrives at the targets: repeats of requests, and requests, over sliding windows. Hosts learn late of each
 * other, are killed together, cut off, join and leave.
 */
package org.sesamerouter.serving

import org.sesamerouter.batching.JobFailure
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.routing.ServiceTargets
import org.sesamerouter.web.RequestLimits
import java.util.PriorityQueue
import kotlin.random.Random

/** The window of the users' rule on repeats, `retry-window-s` of their deployments. */
internal const val RETRY_WINDOW_MS = 10_000L

private const val SERVICE = "model"
private const val NEW_SERVICE = "new-model"
private const val POOL = "stock"
private const val TICK_MS = 50L
private const val WARM_UP_MS = 15_000L // traffic starts so long after the hosts do
private const val DEATH_KNOWN_MS = 5_000L // a host that does not answer is declared dead
private const val RESTART_MS = 1_000L
private const val DEADLINE_MS = 8_000L
private const val SILENCE_MS = 700L
private const val CHECK_STEP_MS = 250L
internal const val SLOW_STAGE_MS = 5_000L
private const val SLOW_CONNECT_SHARE = 0.2 // of the sends
private const val SLOW_CONNECT_MS = 700L

/** How a target answers a request. Only INPUTS_GONE fails stages as well. */
internal enum class Answer { SERVED, ERROR, REJECTED, RESET, SILENT, INPUTS_GONE, INPUTS_UNREACHABLE, REFUSED }

/** From [fromMs] to [toMs], [share] of the requests, and of the stage jobs, fail in one of the ways [answers]. */
internal data class Trouble(val fromMs: Long, val toMs: Long, val share: Double, val answers: List<Answer>)

/** Requests of the whole fleet come [factor] times as often from [fromMs] to [toMs]. */
internal data class Burst(val fromMs: Long, val toMs: Long, val factor: Double)

/**
 * @property ratio repeats allowed for each request, for all hosts together, and [slack] besides.
 * @property killsAtMs when all hosts are killed; they start again within a second.
 * @property cutFromMs from when the first [cutHosts] hosts are cut off from each other and from all others.
 * @property joinsAtMs when another host joins.
 * @property leavesAtMs when a host ends for good.
 * @property movesAtMs from when on requests go to another service.
 * @property slowStagesToMs stage jobs that start earlier take up to [SLOW_STAGE_MS].
 */
internal data class RepeatSpec(
    val seed: Long,
    val hosts: Int,
    val requestsPerS: Double = 5.0 * hosts,
    val ratio: Double = 0.2,
    val slack: Double = 6.0 * hosts,
    val troubles: List<Trouble> = emptyList(),
    val bursts: List<Burst> = emptyList(),
    val killsAtMs: List<Long> = emptyList(),
    val cutFromMs: Long = Long.MAX_VALUE,
    val cutHosts: Int = 1,
    val joinsAtMs: List<Long> = emptyList(),
    val leavesAtMs: List<Long> = emptyList(),
    val movesAtMs: Long = Long.MAX_VALUE,
    val slowStagesToMs: Long = Long.MIN_VALUE,
    val lastsMs: Long = 45_000,
)

/** What a host of the fleet believes about the hosts, as far as its share of the repeats depends on it. */
internal interface HostBeliefs {
    /** When the process of the host started. */
    val startedMs: Long

    /** Number of hosts that it counts as live, itself included. */
    val liveHosts: Int

    /** Number of hosts that it knows, those that it counts as dead included, or that had registered at its start. */
    val knownHosts: Int
}

/** Creates the decisions of a host of the fleet. */
internal fun interface FlowsFactory {
    fun create(spec: RepeatSpec, beliefs: HostBeliefs, context: FlowContext): RequestFlows
}

/** The largest number of repeats in a window, beside what is allowed there. */
internal data class WorstWindow(val fromMs: Long, val repeats: Int, val allowed: Double) {
    val share: Double get() = repeats / allowed
}

internal class RepeatFleet(private val spec: RepeatSpec, private val factory: FlowsFactory) {
    private val random = Random(spec.seed)
    private val queue = PriorityQueue<Scheduled>(compareBy({ it.atMs }, { it.number }))
    private var number = 0L
    private var flowNumber = 0L
    private var resultNumber = 0L
    private val hosts = ArrayList<ModelHost>()
    private val requestTimes = HashMap<String, MutableList<Long>>()
    private val repeatTimes = HashMap<String, MutableList<Long>>()
    private val arrived = HashSet<Long>()
    private val targets = listOf(SERVICE, NEW_SERVICE).associateWith { service ->
        List(8) { target("$service$it", service) }
    }
    private val route = route(RouteKind.STREAM, resumable = true, attempts = 3, stages = listOf(POOL_STAGE))
        .copy(timeoutMs = DEADLINE_MS)

    /** Virtual time in ms since traffic started; the hosts start earlier. */
    var now = -WARM_UP_MS
        private set

    /** Share of the requests that were served. */
    val servedShare: Double get() = served.toDouble() / requestTimes.values.sumOf { it.size }

    private var served = 0

    private class Scheduled(val atMs: Long, val number: Long, val action: () -> Unit)

    private inner class Context : FlowContext {
        override val config = ServingConfig(
            1,
            emptyList(),
            targets.mapValues { ServiceSpec(it.key, "/health", 64, null, EngineSpec(64, 600_000)) },
            emptyList(),
            RequestLimits(),
        )
        override val hasOtherHosts get() = true

        override fun targets(service: String) = this@RepeatFleet.targets.getValue(service)

        override fun pauseLeftMs(service: String): Long? = null

        override fun dataCentreOf(address: String): String? = "a"

        override fun maxConnectionsPerTarget(service: String) = 8

        override fun mayTryPart(part: String, overdueMs: Long) = true

        override fun expectedStageMs(service: String, rank: Int, dueMs: Long) = 300.0

        override fun unloadedStageMs(service: String) = 300.0
    }

    /** A host; its process may be replaced by a new one, and its messages reach the others late or not at all. */
    private inner class ModelHost(val index: Int) : HostBeliefs {
        override var startedMs = now
        var process = 0
        var isUp = true
        val isCut: Boolean get() = index < spec.cutHosts && now >= spec.cutFromMs

        /** The hosts that this one knows, with when it declares them dead. */
        val known = HashMap<Int, Long>()
        lateinit var flows: RequestFlows

        override val liveHosts: Int get() = 1 + known.values.count { it > now }
        override val knownHosts: Int get() = maxOf(registeredHosts, 1 + known.size)
        private var registeredHosts = 0

        fun start() {
            startedMs = now
            isUp = true
            process++
            known.clear()
            registeredHosts = hosts.size
            flows = factory.create(spec, this, Context())
            hosts.filter { it !== this && it.isUp }.forEach { other ->
                meet(other, this)
                meet(this, other)
            }
        }

        private fun meet(one: ModelHost, other: ModelHost) {
            val process = other.process
            after(random.nextLong(100, 1_000)) {
                val isReachable = one.isUp && other.isUp && other.process == process && !one.isCut && !other.isCut
                if (isReachable) one.known[other.index] = Long.MAX_VALUE
            }
        }

        fun end() {
            isUp = false
            for (other in hosts) {
                if (other !== this && other.known[index] == Long.MAX_VALUE) other.known[index] = now + DEATH_KNOWN_MS
            }
        }

        fun handle(event: FlowEvent) {
            if (isUp) flows.handle(event, now).forEach { apply(this, it) }
        }
    }

    /** Plays the day; returns its worst window. */
    fun play(): WorstWindow {
        repeat(spec.hosts) { addHost() }
        spec.killsAtMs.forEach { at(it, ::killAll) }
        spec.joinsAtMs.forEach { at(it, ::addHost) }
        spec.leavesAtMs.forEach { time -> at(time) { hosts.lastOrNull { it.isUp }?.end() } }
        if (spec.cutFromMs != Long.MAX_VALUE) at(spec.cutFromMs, ::cut)
        at(0, ::arrive)
        while (true) {
            val next = queue.peek()?.takeIf { it.atMs <= spec.lastsMs } ?: break
            queue.remove()
            now = next.atMs
            next.action()
        }
        return worstWindow()
    }

    private fun after(delayMs: Long, action: () -> Unit) = at(now + delayMs, action)

    private fun at(timeMs: Long, action: () -> Unit) {
        queue += Scheduled(timeMs, number++, action)
    }

    private fun addHost() {
        val host = ModelHost(hosts.size)
        hosts += host
        host.start()
        tick(host)
    }

    private fun tick(host: ModelHost) {
        host.handle(FlowEvent.Tick)
        after(TICK_MS) { tick(host) }
    }

    private fun killAll() = hosts.filter { it.isUp }.forEach { host ->
        host.end()
        after(random.nextLong(RESTART_MS / 2, RESTART_MS)) { host.start() }
    }

    private fun cut() {
        val deadAtMs = now + DEATH_KNOWN_MS
        for (host in hosts) {
            host.known.replaceAll { other, _ ->
                if (host.isCut || hosts[other].isCut) deadAtMs else Long.MAX_VALUE
            }
        }
    }

    private fun arrive() {
        val factor = spec.bursts.filter { now in it.fromMs..it.toMs }.maxOfOrNull { it.factor } ?: 1.0
        val meanMs = 1_000 / (spec.requestsPerS * factor)
        after((meanMs * random.nextDouble(0.5, 1.5)).toLong().coerceAtLeast(1), ::arrive)
        val flow = ++flowNumber
        val service = if (now < spec.movesAtMs) SERVICE else NEW_SERVICE
        requestTimes.getOrPut(service) { ArrayList() } += now
        val host = hosts.filter { it.isUp }.randomOrNull(random) ?: return
        host.handle(
            FlowEvent.Arrived(
                ForwardRequest(
                    flow, "id$flow", route, service, 1, now, now + DEADLINE_MS, DEADLINE_MS, listOf(1), "key",
                    fingerprint = "f$flow",
                ),
            ),
        )
    }

    private fun apply(host: ModelHost, effect: FlowEffect) {
        val process = host.process
        fun later(delayMs: Long, event: () -> FlowEvent) = after(delayMs) {
            if (host.process == process) host.handle(event())
        }
        when (effect) {
            is FlowEffect.RunStage ->
                later(
                    random.nextLong(
                        50,
                        if (now <
                            spec.slowStagesToMs
                        ) {
                            SLOW_STAGE_MS
                        } else {
                            300
                        },
                    ),
                ) {
                    FlowEvent.StageEnded(effect.job.job, outcomeOf(effect.job.pieces.size))
                }

            is FlowEffect.Send -> {
                val isSlow = random.nextDouble() < SLOW_CONNECT_SHARE
                val delayMs = if (isSlow) random.nextLong(SLOW_CONNECT_MS) else random.nextLong(1, 10)
                after(delayMs) { if (host.process == process && host.isUp) reach(effect, ::later) }
            }

            else -> Unit
        }
    }

    private fun outcomeOf(pieces: Int): JobOutcome = if (answer() == Answer.INPUTS_GONE) {
        JobOutcome(failure = JobFailure.INPUT_GONE)
    } else {
        JobOutcome(List(pieces) { "10.0.0.9:80/${resultNumber++}" })
    }

    private fun answer(): Answer {
        val trouble = spec.troubles.filter { now in it.fromMs..it.toMs }.randomOrNull(random) ?: return Answer.SERVED
        return if (random.nextDouble() < trouble.share) trouble.answers.random(random) else Answer.SERVED
    }

    private fun reach(effect: FlowEffect.Send, later: (Long, () -> FlowEvent) -> Unit) {
        val answer = answer()
        if (answer == Answer.REFUSED) {
            later(2) { FlowEvent.SendFailed(effect.send, SendFailure.NotSent("refused")) }
            return
        }
        if (!arrived.add(effect.send.flow)) repeatTimes.getOrPut(effect.target.service) { ArrayList() } += now
        val delayMs = random.nextLong(2, 60)
        when (answer) {
            Answer.SERVED -> later(delayMs) {
                served++
                FlowEvent.ResponseCompleted(effect.send, 200)
            }

            Answer.ERROR -> later(delayMs) { failed(effect, SendFailure.FailedAnswer(500)) }

            Answer.REJECTED -> later(delayMs) { failed(effect, SendFailure.NotRun(503)) }

            Answer.INPUTS_GONE, Answer.INPUTS_UNREACHABLE -> later(delayMs) { failed(effect, SendFailure.NotRun(409)) }

            Answer.SILENT -> later(SILENCE_MS) { failed(effect, SendFailure.Lost("silent")) }

            else -> later(delayMs) { failed(effect, SendFailure.Lost("reset")) }
        }
    }

    private fun failed(effect: FlowEffect.Send, failure: SendFailure) = FlowEvent.SendFailed(effect.send, failure)

    /** Counts as the users' rule does: requests are those of the window, the one before or half a window before. */
    private fun worstWindow(): WorstWindow = requestTimes.flatMap { (service, times) ->
        val repeats = repeatTimes[service].orEmpty()
        ((0..spec.lastsMs step CHECK_STEP_MS) + repeats).map { from ->
            val requests = listOf(0L, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS).maxOf { times.countFrom(from - it) }
            WorstWindow(from, repeats.countFrom(from), spec.ratio * requests + spec.slack)
        }
    }.maxBy { it.share }

    private fun List<Long>.countFrom(fromMs: Long): Int = indexOfTime(fromMs + RETRY_WINDOW_MS) - indexOfTime(fromMs)

    /** Index of the first of these ordered times that is at least [timeMs]. */
    private fun List<Long>.indexOfTime(timeMs: Long): Int = binarySearch { if (it < timeMs) -1 else 1 }.let { -it - 1 }

    private companion object {
        val POOL_STAGE = StageSpec(POOL, emptyList(), 8_000)
    }
}
