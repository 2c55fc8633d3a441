/*
 * What one entry host adds to a call: the same target called directly and through the host, turn by turn; then the
 * largest stated rate of a pipeline of four stages through one host.
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

private const val PAIRED_RATE = 300
private const val PIPELINE_RATE = 1_200.0
private const val SECONDS = 8
private const val WARM_UP_SECONDS = 5
private const val DIGITS = 3
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val MICROS_PER_MS = 1_000.0
private const val SLOT_SHARE = 8.0
private const val DRAIN_SECONDS = 10L

/** The figures of the hot path in milliseconds, and the attainment at [PIPELINE_RATE]. */
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
    /** What the promises bound. */
    val judgements: List<Judgement> get() = listOf(
        Judgement("added at the median, ms", throughMedianMs - directMedianMs, 1.0, isCeiling = true),
        Judgement("added at the 99th percentile, ms", throughP99Ms - directP99Ms, 5.0, isCeiling = true),
        Judgement("attainment at 1,200 requests/s of 4 stages", pipelineAttainment, 0.99),
    )
}

/** Measures the hot path with one entry host. */
fun measureHotPath(seed: Long): HotPathReport {
    val example = fastExample()
    val options = DeploymentOptions(hosts = 1, seed = seed, slotShare = SLOT_SHARE)
    Deployment(example, options).use { deployment ->
        deployment.apply()
        val checker = HistoryChecker()
        val driver = LoadDriver(example.traffic, listOf("krakow-a"), seed, checker)
        val context = driver.contextOf(deployment)
        pairedCalls(deployment, context, WARM_UP_SECONDS)
        val (direct, through) = pairedCalls(deployment, context, SECONDS)
        val plan = example.traffic.mix.first { it.name == "fitting-plan" }
        val tweak = { call: PlannedCall, _: Int -> call.copy(entry = plan) }
        val warmUp = LoadDriver(example.traffic, listOf("krakow-a"), seed + 1, HistoryChecker())
        warmUp.run(context, listOf(LoadPhase(WARM_UP_SECONDS.toDouble(), PIPELINE_RATE / 2, tweak)))
        warmUp.close()
        driver.run(context, listOf(LoadPhase(SECONDS.toDouble(), PIPELINE_RATE, tweak)))
        driver.close()
        val report = groupReport("pipeline", checker.calls())
        return HotPathReport(
            direct.quantileMs(50.0),
            direct.quantileMs(99.0),
            through.quantileMs(50.0),
            through.quantileMs(99.0),
            report.attainment,
            report.medianMs,
            report.p99Ms,
        )
    }
}

/** The example with targets that answer at once, so that the host's part shows. */
private fun fastExample(): Example {
    val example = readExample("krakow")
    val fast = example.traffic.pools.mapValues { (_, b) -> b.copy(serviceMs = 1, tokenMs = 1, networkMs = 0) }
    val mix = example.traffic.mix.map { if (it.tokens > 0) it.copy(tokens = 4, stream = false) else it }
    return example.copy(traffic = example.traffic.copy(pools = fast, mix = mix))
}

private data class PairedTimes(val direct: Histogram, val through: Histogram)

private fun pairedCalls(deployment: Deployment, context: CallerContext, seconds: Int): PairedTimes {
    val times = PairedTimes(Histogram(DIGITS), Histogram(DIGITS))
    val entry = deployment.example.traffic.mix.first { it.name == "stock-count" }
    val target = deployment.targets.getValue(entry.service).first().address
    val runner = AttemptRunner(deployment.client)
    val count = 2 * PAIRED_RATE * seconds
    val latch = CountDownLatch(count)
    val start = System.nanoTime()
    repeat(count) { i ->
        val at = start + i * NANOS_PER_SECOND / (2 * PAIRED_RATE)
        while (System.nanoTime() < at) LockSupport.parkNanos(at - System.nanoTime())
        val call = PlannedCall("h$seconds-$i", "h$seconds-$i", entry, "wspolnota", "krakow-a")
        if (i % 2 == 0) {
            callDirectly(runner, target, call) { micros -> times.direct.record(micros, latch) }
        } else {
            Caller(context, call) { times.through.record((it.latencyMs * MICROS_PER_MS).toLong(), latch) }.start()
        }
    }
    latch.await(DRAIN_SECONDS, TimeUnit.SECONDS)
    return times
}

private fun callDirectly(runner: AttemptRunner, target: String, call: PlannedCall, done: (Long) -> Unit) {
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

        override fun onAnswer(line: TargetLine) = done((System.nanoTime() - start) / 1_000)

        override fun onRefused(leaving: Boolean) = error("the target refused; give it more slots")

        override fun onError() = error("the target failed")

        override fun onCut(sent: Boolean) = error("the connection to the target was cut")
    }
    runner.start(target, run, once = false, listener)
}

private fun Histogram.record(micros: Long, latch: CountDownLatch) {
    synchronized(this) { recordValue(micros) }
    latch.countDown()
}

private fun Histogram.quantileMs(percentile: Double): Double = getValueAtPercentile(percentile) / MICROS_PER_MS
