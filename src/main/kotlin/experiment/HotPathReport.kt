/*
 * Measures the latency that one entry host adds to a call by calling the same target alternately directly and through
 * the host. Then measures a pipeline of four stages through one host at the highest rate that the requirements state.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.sesamerouter.target.AttemptListener
import org.sesamerouter.target.AttemptRunner
import org.sesamerouter.target.TargetLine
import org.sesamerouter.target.TargetRun
import org.sesamerouter.web.ClientCall
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

private const val PAIRED_CALLS_PER_SECOND = 300
private const val PIPELINE_REQUESTS_PER_SECOND = 1_200.0
private const val MEASURE_SECONDS = 8
private const val WARM_UP_SECONDS = 5
private const val SIGNIFICANT_DIGITS = 3
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val MICROS_PER_MS = 1_000.0
private const val SLOT_FACTOR = 8.0
private const val DRAIN_TIMEOUT_SECONDS = 10L

/** Latencies on the hot path in milliseconds, and the attainment of the pipeline at [PIPELINE_REQUESTS_PER_SECOND]. */
@Serializable
data class HotPathReport(
    val directMedianMs: Double,
    val directP99Ms: Double,
    val throughMedianMs: Double,
    val throughP99Ms: Double,
    val pipelineAttainment: Double,
    val pipelineMedianMs: Double,
    val pipelineP99Ms: Double,
) {
    /** Figures with their guaranteed bounds. */
    val judgements: List<BoundedFigure> get() = listOf(
        BoundedFigure("added at the median, ms", throughMedianMs - directMedianMs, 1.0, isCeiling = true),
        BoundedFigure("added at the 99th percentile, ms", throughP99Ms - directP99Ms, 5.0, isCeiling = true),
        BoundedFigure("attainment at 1,200 requests/s of 4 stages", pipelineAttainment, 0.99),
    )
}

/** Measures the hot path on a deployment with one entry host. */
fun measureHotPath(seed: Long): HotPathReport {
    val example = lowLatencyExample()
    val options = DeploymentOptions(hosts = 1, seed = seed, slotFactor = SLOT_FACTOR)
    Deployment(example, options).use { deployment ->
        deployment.apply()
        val checker = HistoryChecker()
        val driver = LoadDriver(example.traffic, listOf("krakow-a"), seed, checker)
        val context = driver.contextOf(deployment)
        measurePairs(deployment, context, WARM_UP_SECONDS)
        val (direct, through) = measurePairs(deployment, context, MEASURE_SECONDS)
        val pipelineEntry = example.traffic.mix.first { it.name == "fitting-plan" }
        val transform = { call: PlannedCall, _: Int -> call.copy(entry = pipelineEntry) }
        val warmUp = LoadDriver(example.traffic, listOf("krakow-a"), seed + 1, HistoryChecker())
        warmUp.run(context, listOf(LoadPhase(WARM_UP_SECONDS.toDouble(), PIPELINE_REQUESTS_PER_SECOND / 2, transform)))
        warmUp.close()
        driver.run(context, listOf(LoadPhase(MEASURE_SECONDS.toDouble(), PIPELINE_REQUESTS_PER_SECOND, transform)))
        driver.close()
        val report = groupReport("pipeline", checker.calls())
        return HotPathReport(
            direct.percentileMs(50.0),
            direct.percentileMs(99.0),
            through.percentileMs(50.0),
            through.percentileMs(99.0),
            report.attainment,
            report.medianMs,
            report.p99Ms,
        )
    }
}

/** Returns an example with very fast targets, so that the latency added by the host is visible. */
private fun lowLatencyExample(): Example {
    val example = readExample("krakow")
    val fastPools = example.traffic.pools.mapValues { (_, behaviour) ->
        behaviour.copy(serviceMs = 1, tokenMs = 1, networkMs = 0)
    }
    val mix = example.traffic.mix.map { if (it.tokens > 0) it.copy(tokens = 4, stream = false) else it }
    return example.copy(traffic = example.traffic.copy(pools = fastPools, mix = mix))
}

private data class PairedLatencies(val direct: Histogram, val through: Histogram)

private fun measurePairs(deployment: Deployment, context: CallerContext, seconds: Int): PairedLatencies {
    val latencies = PairedLatencies(Histogram(SIGNIFICANT_DIGITS), Histogram(SIGNIFICANT_DIGITS))
    val entry = deployment.example.traffic.mix.first { it.name == "stock-count" }
    val target = deployment.targets.getValue(entry.service).first().address
    val runner = AttemptRunner(deployment.client)
    val count = 2 * PAIRED_CALLS_PER_SECOND * seconds
    val pending = CountDownLatch(count)
    val start = System.nanoTime()
    repeat(count) { i ->
        val startAt = start + i * NANOS_PER_SECOND / (2 * PAIRED_CALLS_PER_SECOND)
        while (System.nanoTime() < startAt) LockSupport.parkNanos(startAt - System.nanoTime())
        val call = PlannedCall("h$seconds-$i", "h$seconds-$i", entry, "wspolnota", "krakow-a")
        if (i % 2 == 0) {
            callDirectly(runner, target, call) { micros -> latencies.direct.record(micros, pending) }
        } else {
            Caller(context, call) { latencies.through.record((it.latencyMs * MICROS_PER_MS).toLong(), pending) }.start()
        }
    }
    pending.await(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    return latencies
}

private fun callDirectly(runner: AttemptRunner, target: String, call: PlannedCall, onDone: (Long) -> Unit) {
    val start = System.nanoTime()
    val run =
        TargetRun(
            call.id,
            1,
            call.organisation,
            call.entry.operation,
            0,
            operation = call.entry.operation,
            input = call.input,
        )
    val listener = object : AttemptListener {
        override fun onToken(call: ClientCall, position: Int, token: String) = true

        override fun onAnswer(line: TargetLine) = onDone((System.nanoTime() - start) / 1_000)

        override fun onRefused(leaving: Boolean) = error("target $target refused the call; raise its number of slots")

        override fun onError() = error("target $target failed to run the call")

        override fun onConnectionFailed(sent: Boolean) =
            error("connection to target $target closed before the answer was complete")
    }
    runner.start(target, run, nonIdempotent = false, listener)
}

private fun Histogram.record(micros: Long, pending: CountDownLatch) {
    synchronized(this) { recordValue(micros) }
    pending.countDown()
}

private fun Histogram.percentileMs(percentile: Double): Double = getValueAtPercentile(percentile) / MICROS_PER_MS
