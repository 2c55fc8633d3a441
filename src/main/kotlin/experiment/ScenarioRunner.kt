/*
 * Runs a scenario under one policy and evaluates it. Writes the runs of a scenario as JSON and as a plot.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder
import org.sesamerouter.api.PrettyJson
import org.sesamerouter.cost.StageCost
import java.io.File
import kotlin.concurrent.thread

private const val WARM_UP_SECONDS = 2.0
private const val WARM_UP_LOAD_FACTOR = 0.3
private const val SLOT_FACTOR = 0.25 // lets a small machine generate enough load to overload the targets
private const val CHART_WIDTH = 900
private const val CHART_HEIGHT = 500
private const val NANOS_PER_SECOND = 1_000_000_000L

/** Policies to compare: that of the router, and a naive one as a baseline. */
enum class Policy(val label: String) { OURS("ours"), NAIVE("naive") }

/**
 * Result of one run of a scenario.
 *
 * @property attainmentBySecond attainment of the calls sent in each second of the run.
 * @property breaching the calls that violated a guarantee, as text.
 */
@Serializable
data class RunReport(
    val scenario: String,
    val policy: String,
    val seed: Long,
    val judgements: List<BoundedFigure>,
    val groups: List<GroupReport>,
    val costs: List<StageCost>,
    val breaches: Violations,
    val attainmentBySecond: List<Double>,
    val breaching: List<String>,
) {
    /** Whether every figure is within its bound and no guarantee was violated. */
    val passed: Boolean get() = breaches.total == 0 && judgements.all { it.isWithinBound }

    /** Attainment over all calls. */
    val attainment: Double get() = groups.last().attainment // the last group is that of all calls
}

/** Runs [scenario] under [policy] on a deployment of [example]. */
fun runScenario(scenario: Scenario, example: Example, policy: Policy, seed: Long): RunReport {
    val checker = HistoryChecker()
    val options = DeploymentOptions(useNaivePolicy = policy == Policy.NAIVE, seed = seed, slotFactor = SLOT_FACTOR)
    Deployment(example, options, checker::onRun).use { deployment ->
        deployment.apply()
        val dataCentres = deployment.hosts.map { it.settings.host.dataCentre }.distinct()
        val capacity = saturationRate(deployment)
        warmUp(deployment, dataCentres, capacity, seed)
        val driver = LoadDriver(example.traffic, dataCentres, seed, checker)
        val phases = scenario.phases(capacity, deployment)
        val faults = thread(isDaemon = true) { scenario.faults(deployment) }
        driver.run(driver.contextOf(deployment), phases)
        faults.join()
        driver.close()
        val calls = checker.calls()
        val judgements = scenario.figures(ScenarioOutcome(deployment, calls, phases))
        val costs = sumCosts(deployment.hosts.flatMap { it.dump().cost })
        return RunReport(
            scenario.name,
            policy.label,
            seed,
            judgements,
            calls.groupBy { it.organisation }.toSortedMap().map { (name, group) -> groupReport(name, group) } +
                calls.groupBy { it.entry.name }.toSortedMap().map { (name, group) -> groupReport(name, group) } +
                groupReport("all", calls),
            costs,
            checker.violations(),
            attainmentBySecondOf(calls),
            checker.violatingCalls().map { it.toString() },
        )
    }
}

/** Writes [runs], all of the same scenario, to [directory] as JSON and as a plot of attainment over time. */
fun writeReport(runs: List<RunReport>, directory: File) {
    directory.mkdirs()
    val name = runs.first().scenario
    val json = PrettyJson.encodeToString(kotlinx.serialization.builtins.ListSerializer(RunReport.serializer()), runs)
    File(directory, "$name.json").writeText(json + "\n")
    val chart = XYChartBuilder().width(CHART_WIDTH).height(CHART_HEIGHT).title(name)
        .xAxisTitle("second in which the call was sent").yAxisTitle("attainment").build()
    chart.styler.yAxisMin = 0.0
    chart.styler.yAxisMax = 1.0
    runs.forEachIndexed { i, run ->
        val seconds = run.attainmentBySecond.indices.map { it.toDouble() }
        chart.addSeries("${run.policy} ${i + 1}", seconds, run.attainmentBySecond)
    }
    @Suppress("DEPRECATION")
    File(directory, "$name.png").writeBytes(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
}

private fun warmUp(deployment: Deployment, dataCentres: List<String>, capacity: Double, seed: Long) {
    // Ids of calls contain the seed; another seed keeps those of the warm-up apart from those of the measured load.
    val driver = LoadDriver(deployment.example.traffic, dataCentres, seed + 1_000_000, HistoryChecker())
    driver.run(driver.contextOf(deployment), listOf(LoadPhase(WARM_UP_SECONDS, capacity * WARM_UP_LOAD_FACTOR)))
    driver.close()
}

private fun attainmentBySecondOf(calls: List<CallRecord>): List<Double> {
    val startNanos = calls.minOfOrNull { it.startNanos } ?: return emptyList()
    val callsBySecond = calls.groupBy { ((it.startNanos - startNanos) / NANOS_PER_SECOND).toInt() }
    return (0..(callsBySecond.keys.maxOrNull() ?: 0)).map { attainment(callsBySecond[it].orEmpty()) }
}
