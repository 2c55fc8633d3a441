/*
 * Sums calls up for people and programs.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import org.sesamerouter.cost.StageCost

private const val DIGITS = 3
private const val MICROS_PER_MS = 1_000.0

/** Attainment of one group of calls. [attainment] is the share answered whole within the deadline. */
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

/** Returns the report of [calls] under the name [group]. */
fun groupReport(group: String, calls: List<CallRecord>): GroupReport {
    val times = Histogram(DIGITS)
    val answered = calls.filter { it.ending == Ending.ATTAINED || it.ending == Ending.LATE }
    answered.forEach { times.recordValue((it.latencyMs * MICROS_PER_MS).toLong()) }
    val attained = calls.count { it.ending == Ending.ATTAINED }
    return GroupReport(
        group,
        calls.size,
        attained,
        if (calls.isEmpty()) 1.0 else attained.toDouble() / calls.size,
        calls.count { it.ending == Ending.LATE },
        calls.count { it.ending == Ending.NOT_RUN },
        calls.count { it.ending == Ending.FAILED },
        calls.count { it.ending == Ending.UNKNOWN },
        times.getValueAtPercentile(50.0) / MICROS_PER_MS,
        times.getValueAtPercentile(95.0) / MICROS_PER_MS,
        times.getValueAtPercentile(99.0) / MICROS_PER_MS,
    )
}

/** Returns the table of [reports]. */
fun groupTable(reports: List<GroupReport>): String {
    val head = "%-28s %6s %8s %6s %7s %7s %7s %9s %9s %9s".format(
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
    return (listOf(head) + rows).joinToString("\n")
}

/** Returns the table of [costs]. */
fun costTable(costs: List<StageCost>): String {
    val head = "%-18s %-10s %8s %12s %11s %10s %12s %9s".format(
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
    return (listOf(head) + rows).joinToString("\n")
}

/** Returns the sum of the costs that several hosts report. */
fun sumCosts(costs: List<StageCost>): List<StageCost> = costs.groupBy { it.plan to it.stage }.map { (key, parts) ->
    StageCost(
        key.first,
        key.second,
        parts.sumOf { it.attempts },
        parts.sumOf { it.answerMs },
        parts.sumOf { it.hedgeLostMs },
        parts.sumOf { it.failedMs },
        parts.sumOf { it.abandonedMs },
        parts.sumOf { it.tokens },
    )
}.sortedWith(compareBy({ it.plan }, { it.stage }))
