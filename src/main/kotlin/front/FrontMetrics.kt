/*
 * Counters, gauges and latency histograms of a host that forwards requests, in the Prometheus text format.
 */
package org.sesamerouter.front

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.sesamerouter.quarantine.PartChangeKind
import org.sesamerouter.retry.RepeatReason
import org.sesamerouter.web.UnusedKind

private val LATENCY_BUCKETS_MS = doubleArrayOf(50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0)

internal class FrontMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    val arrived: Counter = registry.counter("sesamerouter.forward.arrived")
    val refused: Counter = registry.counter("sesamerouter.forward.refused")
    val sends: Counter = registry.counter("sesamerouter.forward.sends")
    val stageCalls: Counter = registry.counter("sesamerouter.stage.calls")
    val stagePieces: Counter = registry.counter("sesamerouter.stage.pieces")
    val targetDeaths: Counter = registry.counter("sesamerouter.target.deaths")
    val invalidLoads: Counter = registry.counter("sesamerouter.targets.loads.invalid")

    /** What the memory budget had no room for: requests rejected, and connections closed. */
    val noRoom: Counter = registry.counter("sesamerouter.memory.no.room")
    val firstByteMs: DistributionSummary = latency("sesamerouter.forward.first.byte.ms")
    val answerMs: DistributionSummary = latency("sesamerouter.forward.answer.ms")

    /** Time from the first host that has a configuration version in force to this one. */
    val configurationLagMs: DistributionSummary = latency("sesamerouter.configuration.lag.ms")

    /** Counts a request that ended with [outcome]. */
    fun countEnded(outcome: String) = registry.counter("sesamerouter.forward.ended", "outcome", outcome).increment()

    /** Counts a response of a target by its [outcome], complete or broken off, and by what ended it. */
    fun countResponse(outcome: String, endedBy: String) =
        registry.counter("sesamerouter.forward.responses", "outcome", outcome, "ended.by", endedBy).increment()

    /** Counts a response that its target did not complete, by whether it had begun. */
    fun countLost(isBegun: Boolean) =
        registry.counter("sesamerouter.forward.lost", "begun", isBegun.toString()).increment()

    /** Counts a request that its [service] gets again for [reason]. */
    fun countRepeat(service: String, reason: RepeatReason) =
        registry.counter("sesamerouter.forward.repeats", "service", service, "reason", reason.name).increment()

    /** Counts a request that was sent again without a pass for it: a fault of this program. */
    fun countUnpaidRepeat(service: String) =
        registry.counter("sesamerouter.forward.repeats.unpaid", "service", service).increment()

    /** Counts an answer that ended no call. */
    fun countUnusedAnswer(kind: UnusedKind) =
        registry.counter("sesamerouter.forward.answers.unused", "kind", kind.name).increment()

    /** Counts a change of what this host believes about a part of prompts. */
    fun countPartChange(kind: PartChangeKind) =
        registry.counter("sesamerouter.quarantine.part.changes", "kind", kind.name).increment()

    fun gauge(name: String, vararg tags: String, supplier: () -> Number) {
        Gauge.builder("sesamerouter.$name") { supplier() }.tags(*tags).register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun latency(name: String) =
        DistributionSummary.builder(name).serviceLevelObjectives(*LATENCY_BUCKETS_MS).register(registry)
}
