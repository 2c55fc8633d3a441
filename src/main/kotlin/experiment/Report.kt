/*
 * Aggregates calls and costs into reports, as JSON and as text tables.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.sesamerouter.cost.StageCost

private const val SIGNIFICANT_DIGITS = 3
private const val MICROS_PER_MS = 1_000.0

/**
 * Statistics of one group of calls.
 *
 * @property attainment fraction of calls that received a complete answer within their deadline.
 * @property medianMs median latency of the answered calls, late ones included; likewise the other percentiles.
 */
@Serializable
data class GroupReport(
    val group: String,
    val calls: Int,
    val attained: Int,
    val attainment: Double,
    val late: Int,
    val notRun: Int,
    val failed: Int,
    val unknown: Int,
    val medianMs: Double,
    val p95Ms: Double,
    val p99Ms: Double,
)

/** Returns the statistics of [calls] as a group named [group]. */
fun groupReport(group: String, calls: List<CallRecord>): GroupReport {
    val latencies = Histogram(SIGNIFICANT_DIGITS)
    val answered = calls.filter { it.ending == CallResult.ATTAINED || it.ending == CallResult.LATE }
    answered.forEach { latencies.recordValue((it.latencyMs * MICROS_PER_MS).toLong()) }
    val attained = calls.count { it.ending == CallResult.ATTAINED }
    return GroupReport(
        group,
        calls.size,
        attained,
        if (calls.isEmpty()) 1.0 else attained.toDouble() / calls.size,
        calls.count { it.ending == CallResult.LATE },
        calls.count { it.ending == CallResult.NOT_RUN },
        calls.count { it.ending == CallResult.FAILED },
        calls.count { it.ending == CallResult.UNKNOWN },
        latencies.getValueAtPercentile(50.0) / MICROS_PER_MS,
        latencies.getValueAtPercentile(95.0) / MICROS_PER_MS,
        latencies.getValueAtPercentile(99.0) / MICROS_PER_MS,
    )
}

/** Formats [reports] as a text table. */
fun groupTable(reports: List<GroupReport>): String {
    val header = "%-28s %6s %8s %6s %7s %7s %7s %9s %9s %9s".format(
        "GROUP", "CALLS", "ATTAINED", "LATE", "NOT RUN", "FAILED", "UNKNOWN", "P50 MS", "P95 MS", "P99 MS",
    )
    val rows = reports.map {
        "%-28s %6d %8.4f %6d %7d %7d %7d %9.1f %9.1f %9.1f".format(
            it.group,
            it.calls,
            it.attainment,
            it.late,
            it.notRun,
            it.failed,
            it.unknown,
            it.medianMs,
            it.p95Ms,
            it.p99Ms,
        )
    }
    return (listOf(header) + rows).joinToString("\n")
}

/** Formats [costs] as a text table. */
fun costTable(costs: List<StageCost>): String {
    val header = "%-18s %-10s %8s %12s %11s %10s %12s %9s".format(
        "PLAN",
        "STAGE",
        "ATTEMPTS",
        "ANSWERS MS",
        "HEDGES MS",
        "FAILED MS",
        "ABANDONED MS",
        "TOKENS",
    )
    val rows = costs.map {
        "%-18s %-10s %8d %12d %11d %10d %12d %9d".format(
            it.plan,
            it.stage,
            it.attempts,
            it.answerMs,
            it.hedgeLostMs,
            it.failedMs,
            it.abandonedMs,
            it.tokens,
        )
    }
    return (listOf(header) + rows).joinToString("\n")
}

/** Sums [costs] of several hosts by plan and stage. */
fun sumCosts(costs: List<StageCost>): List<StageCost> = costs.groupBy { it.plan to it.stage }.map { (key, hostCosts) ->
    StageCost(
        key.first,
        key.second,
        hostCosts.sumOf { it.attempts },
        hostCosts.sumOf { it.answerMs },
        hostCosts.sumOf { it.hedgeLostMs },
        hostCosts.sumOf { it.failedMs },
        hostCosts.sumOf { it.abandonedMs },
        hostCosts.sumOf { it.tokens },
    )
}.sortedWith(compareBy({ it.plan }, { it.stage }))
