/*
 * Runs a scenario under the product's policy and under a naive one, and compares the figures with their bounds.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.sesamerouter.experiment.BoundedFigure
import org.sesamerouter.experiment.EXAMPLES
import org.sesamerouter.experiment.Policy
import org.sesamerouter.experiment.RunReport
import org.sesamerouter.experiment.SCENARIOS
import org.sesamerouter.experiment.costTable
import org.sesamerouter.experiment.groupTable
import org.sesamerouter.experiment.readExample
import org.sesamerouter.experiment.runScenario
import org.sesamerouter.experiment.writeReport
import org.sesamerouter.settings.LogSettings

private const val MIN_SURGE_RATIO = 1.5
private const val MAX_SHOWN_VIOLATIONS = 10

internal class ExperimentCommand : CliktCommand("experiment") {
    private val scenario by option("--scenario").choice(*SCENARIOS.map { it.name }.toTypedArray()).required()
    private val policy by option(
        "--policy",
        help = "run one policy only; default: both in turn",
    ).choice("ours", "naive")
    private val example by option("--example").choice(*EXAMPLES.toTypedArray()).default(EXAMPLES.first())
    private val seed by option("--seed").long().default(1)
    private val rounds by option("--rounds", help = "runs of each policy, in turn").int().default(1)
    private val report by option("--report", help = "directory for the JSON report and the plot").file()
    private val details by option("--details", help = "print groups and costs of every run").flag()

    override fun help(context: Context) =
        "Runs a scenario with stand-ins on real sockets and checks the measured figures against their bounds."

    override fun run() {
        configureLogs(LogSettings(level = "error"))
        val selected = SCENARIOS.first { it.name == scenario }
        val policies = Policy.entries.filter { policy == null || it.label == policy }
        val runs = List(rounds) { round ->
            policies.map { runScenario(selected, readExample(example), it, seed + round) }
        }.flatten()
        if (details) runs.forEach(::printDetails)
        printTable(runs)
        runs.forEach { run -> run.breaching.take(MAX_SHOWN_VIOLATIONS).forEach { echo("${run.policy}: $it") } }
        report?.let { writeReport(runs, it) }
        val ours = runs.filter { it.policy == Policy.OURS.label }
        val isMissed = ours.any { !it.passed } || !ratioHolds(runs)
        if (isMissed) throw ProgramResult(1)
    }

    private fun printDetails(run: RunReport) {
        echo("${run.policy}, seed ${run.seed}")
        echo(groupTable(run.groups))
        echo(costTable(run.costs) + "\n")
    }

    private fun printTable(runs: List<RunReport>) {
        echo("scenario $scenario on $example, seed $seed, $rounds round(s)")
        echo("%-52s %10s %10s %7s %10s".format("FIGURE", "OURS", "NAIVE", "RATIO", "BOUND"))
        printRow("attainment", null, runs) { it.attainment }
        runs.first().judgements.forEachIndexed { i, figure ->
            printRow(figure.name, figure, runs) { it.judgements[i].value }
        }
        printRow("breaches (lost, doubled, crossed, cut, untrue)", BoundedFigure("", 0.0, 0.0, true), runs) {
            it.breaches.total.toDouble()
        }
    }

    private fun printRow(name: String, figure: BoundedFigure?, runs: List<RunReport>, value: (RunReport) -> Double) {
        val ours = mean(runs, Policy.OURS, value)
        val naive = mean(runs, Policy.NAIVE, value)
        val bound = figure?.let { (if (it.isCeiling) "<= " else ">= ") + it.bound }.orEmpty()
        val ratio = if (ours == null || naive == null || naive == 0.0) "" else "%.2f".format(ours / naive)
        echo("%-52s %10s %10s %7s %10s".format(name, formatFigure(ours), formatFigure(naive), ratio, bound))
    }

    private fun mean(runs: List<RunReport>, policy: Policy, value: (RunReport) -> Double): Double? =
        runs.filter { it.policy == policy.label }.map(value).takeIf { it.isNotEmpty() }?.average()

    private fun formatFigure(value: Double?): String = value?.let { "%.4f".format(it) }.orEmpty()

    /** In the surge scenario, the product's attainment must be at least [MIN_SURGE_RATIO] times the naive one. */
    private fun ratioHolds(runs: List<RunReport>): Boolean {
        if (scenario != "surge") return true
        val ours = mean(runs, Policy.OURS) { it.attainment } ?: return true
        val naive = mean(runs, Policy.NAIVE) { it.attainment } ?: return true
        return ours >= MIN_SURGE_RATIO * naive
    }
}
