/*
 * Measures the latency that one entry host adds to a call.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import org.sesamerouter.experiment.measureHotPath

internal class HotPathCommand : CliktCommand("hot-path") {
    private val seed by option("--seed").long().default(1)

    override fun help(context: Context) =
        "Measures the latency of calls sent alternately directly to a target and through an entry host, " +
            "and then that of a pipeline."

    override fun run() {
        val report = measureHotPath(seed)
        echo("%-10s %10s %10s".format("CALLS", "P50 MS", "P99 MS"))
        echo("%-10s %10.3f %10.3f".format("direct", report.directMedianMs, report.directP99Ms))
        echo("%-10s %10.3f %10.3f".format("through", report.throughMedianMs, report.throughP99Ms))
        echo("%-10s %10.3f %10.3f".format("pipeline", report.pipelineMedianMs, report.pipelineP99Ms))
        report.judgements.forEach {
            val bound = (if (it.isCeiling) "<= " else ">= ") + it.bound
            echo("%-46s %8.4f %8s %s".format(it.name, it.value, bound, if (it.isWithinBound) "holds" else "MISSED"))
        }
        if (report.judgements.any { !it.isWithinBound }) throw ProgramResult(1)
    }
}
