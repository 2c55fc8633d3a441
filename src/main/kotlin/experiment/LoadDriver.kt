/*
 * Open-loop load generator: every call starts at its planned time, whether earlier calls have finished or not, so that
 * a slow system does not reduce the offered load. The plan is determined by the seed.
 */
package org.sesamerouter.experiment

import java.util.Random
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.math.ln

private const val TIMER_THREADS = 1
private const val DRAIN_TIMEOUT_MS = 20_000L
private const val MS_PER_SECOND = 1_000.0

/** A period of load at a constant mean rate. [transform] may modify each planned call, given its index in the phase. */
data class LoadPhase(
    val seconds: Double,
    val requestsPerSecond: Double,
    val transform: (PlannedCall, Int) -> PlannedCall = { call, _ -> call },
)

/** Generates load and records every call in [checker]. */
class LoadDriver(
    private val traffic: ExampleTraffic,
    private val dataCentres: List<String>,
    private val seed: Long,
    private val checker: HistoryChecker,
) {
    private val random = Random(seed)
    internal val timer: ScheduledExecutorService = Executors.newScheduledThreadPool(TIMER_THREADS) { task ->
        Thread(task, "load-timer").apply { isDaemon = true }
    }
    private var plannedCount = 0

    /** Returns a context in which callers contact random hosts of [deployment]. */
    fun contextOf(deployment: Deployment): CallerContext {
        val hostRandom = Random(seed + 1)
        return CallerContext(deployment.client, deployment.pipelines, timer) {
            val hosts = deployment.hosts
            synchronized(hostRandom) { hosts[hostRandom.nextInt(hosts.size)] }.httpAddress
        }
    }

    /** Runs [phases] in order and then waits up to [DRAIN_TIMEOUT_MS] for all calls to finish. */
    fun run(context: CallerContext, phases: List<LoadPhase>, onProgress: (CallRecord) -> Unit = {}) {
        val calls = phases.flatMapIndexed { i, phase -> planCalls(phase, phases.take(i).sumOf { it.seconds }) }
        val unfinished = CountDownLatch(calls.size)
        val start = System.nanoTime()
        for ((atNanos, call) in calls) {
            parkUntil(start + atNanos)
            Caller(context, call) { record ->
                checker.onCall(record)
                onProgress(record)
                unfinished.countDown()
            }.start()
        }
        unfinished.await(DRAIN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    /** Stops the timer of the driver. */
    fun close() {
        timer.shutdownNow()
    }

    private data class TimedCall(val atNanos: Long, val call: PlannedCall)

    private fun planCalls(phase: LoadPhase, startSeconds: Double): List<TimedCall> {
        val calls = ArrayList<TimedCall>()
        var offsetSeconds = 0.0
        while (true) {
            offsetSeconds += -ln(1.0 - random.nextDouble()) / phase.requestsPerSecond
            if (offsetSeconds >= phase.seconds) return calls
            val call = phase.transform(nextCall(), calls.size)
            calls += TimedCall(((startSeconds + offsetSeconds) * 1e9).toLong(), call)
        }
    }

    private fun nextCall(): PlannedCall {
        val entry = pickWeighted(traffic.mix) { it.share }
        val organisation = pickWeighted(traffic.organisations.entries.toList()) { it.value }.key
        val dataCentre = dataCentres[random.nextInt(dataCentres.size)]
        val id = "u$seed-${plannedCount++}"
        return PlannedCall(id, id, entry, organisation, dataCentre)
    }

    private fun <T> pickWeighted(options: List<T>, share: (T) -> Int): T {
        var remaining = random.nextInt(options.sumOf(share))
        return options.first { option ->
            remaining -= share(option)
            remaining < 0
        }
    }

    private fun parkUntil(deadlineNanos: Long) {
        while (true) {
            val remainingNanos = deadlineNanos - System.nanoTime()
            if (remainingNanos <= 0) return
            LockSupport.parkNanos(remainingNanos)
        }
    }
}

/** Returns the rate of the example's mix, in requests per second, at which its busiest pool is fully utilised. */
fun saturationRate(deployment: Deployment): Double =
    1.0 / poolUtilisation(deployment, requestsPerSecond = 1.0).values.max()

/** Returns the utilisation of the slots of each pool at an offered load of [requestsPerSecond] of the mix. */
fun poolUtilisation(deployment: Deployment, requestsPerSecond: Double): Map<String, Double> {
    val traffic = deployment.example.traffic
    val total = traffic.mix.sumOf { it.share }.toDouble()
    val busyMsPerRequest = HashMap<String, Double>()
    for (entry in traffic.mix) {
        val pools = deployment.pipelines[entry.pipeline]?.stages?.map { it.pool } ?: listOf(entry.service)
        for (pool in pools) {
            val behaviour = traffic.pools.getValue(pool)
            val ms = behaviour.serviceMs + if (behaviour.generates) behaviour.tokenMs * entry.tokens else 0
            busyMsPerRequest.merge(pool, ms * entry.share / total, Double::plus)
        }
    }
    return busyMsPerRequest.mapValues { (pool, ms) ->
        requestsPerSecond * ms / (deployment.targets.getValue(pool).sumOf { it.behaviour.slots } * MS_PER_SECOND)
    }
}
