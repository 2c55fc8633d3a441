/*
 * Runs a complete deployment on loopback under load with a surge and prints the results.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.sesamerouter.experiment.CallResult
import org.sesamerouter.experiment.Deployment
import org.sesamerouter.experiment.DeploymentOptions
import org.sesamerouter.experiment.EXAMPLES
import org.sesamerouter.experiment.HistoryChecker
import org.sesamerouter.experiment.LoadDriver
import org.sesamerouter.experiment.LoadPhase
import org.sesamerouter.experiment.costTable
import org.sesamerouter.experiment.groupReport
import org.sesamerouter.experiment.groupTable
import org.sesamerouter.experiment.readExample
import org.sesamerouter.experiment.saturationRate
import org.sesamerouter.experiment.sumCosts
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val BASE_LOAD_FACTOR = 0.5
private const val SURGE_LOAD_FACTOR = 2.0
private const val PROGRESS_INTERVAL_MS = 1_000L

internal class DemoCommand : CliktCommand("demo") {
    private val example by option("--example").choice(*EXAMPLES.toTypedArray()).default(EXAMPLES.first())
    private val seconds by option("--seconds", help = "duration of the load in seconds").int().default(15)
    private val seed by option("--seed").long().default(1)
    private val faults by option("--faults", help = "kill a host and a target and stop the log during the load").flag()

    override fun help(context: Context) =
        "Runs stand-ins and 6 entry hosts on loopback, sends load with a surge and checks every answer."

    override fun run() {
        val checker = HistoryChecker()
        echo("starting the deployment $example, seed $seed")
        Deployment(readExample(example), DeploymentOptions(seed = seed), checker::onRun).use { deployment ->
            deployment.apply()
            echo("declarations settled on ${deployment.hosts.size} hosts")
            runLoad(deployment, checker)
            printReport(deployment, checker)
        }
        val violations = checker.violations()
        echo(violations.summary())
        if (violations.total > 0) throw ProgramResult(1)
    }

    private fun runLoad(deployment: Deployment, checker: HistoryChecker) {
        val dataCentres = deployment.hosts.map { it.settings.host.dataCentre }.distinct()
        val driver = LoadDriver(deployment.example.traffic, dataCentres, seed, checker)
        val capacity = saturationRate(deployment)
        val phaseSeconds = seconds / 3.0
        val phases = listOf(
            LoadPhase(phaseSeconds, capacity * BASE_LOAD_FACTOR),
            LoadPhase(phaseSeconds, capacity * SURGE_LOAD_FACTOR),
            LoadPhase(phaseSeconds, capacity * BASE_LOAD_FACTOR),
        )
        echo(
            "capacity %.0f requests/s; load %.1f of it, then %.1f, then %.1f".format(
                capacity,
                BASE_LOAD_FACTOR,
                SURGE_LOAD_FACTOR,
                BASE_LOAD_FACTOR,
            ),
        )
        val ended = AtomicInteger()
        val attained = AtomicInteger()
        val progress = thread(isDaemon = true) { showProgress(ended, attained) }
        val faultInjection = if (faults) thread(isDaemon = true) { injectFaults(deployment) } else null
        driver.run(driver.contextOf(deployment), phases) { record ->
            ended.incrementAndGet()
            if (record.ending == CallResult.ATTAINED) attained.incrementAndGet()
        }
        progress.interrupt()
        faultInjection?.join()
        driver.close()
    }

    private fun showProgress(ended: AtomicInteger, attained: AtomicInteger) {
        try {
            while (true) {
                Thread.sleep(PROGRESS_INTERVAL_MS)
                echo("  completed ${ended.get()}, answered within the deadline ${attained.get()}")
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun injectFaults(deployment: Deployment) {
        val stepMs = seconds * 1_000L / 8
        val engine = deployment.targets.getValue("engines").last()
        Thread.sleep(stepMs)
        echo("  fault: an engine crashes")
        engine.crash()
        Thread.sleep(stepMs)
        echo("  fault: the log is unavailable; the engine is restarted")
        engine.restart()
        deployment.log.behaviour = deployment.log.behaviour.copy(down = true)
        Thread.sleep(stepMs)
        echo("  fault: an entry host is killed")
        deployment.kill(deployment.hosts.last())
        Thread.sleep(stepMs)
        echo("  the log is available again; a replacement host starts")
        deployment.log.behaviour = deployment.log.behaviour.copy(down = false)
        deployment.startHost(deployment.hosts.size)
    }

    private fun printReport(deployment: Deployment, checker: HistoryChecker) {
        val calls = checker.calls()
        val byPipeline = calls.groupBy { it.entry.name }.toSortedMap().map { (name, part) -> groupReport(name, part) }
        val byOrganisation = calls.groupBy {
            it.organisation
        }.toSortedMap().map { (name, part) -> groupReport(name, part) }
        echo("\n" + groupTable(byOrganisation + byPipeline + groupReport("all", calls)))
        echo("\n" + costTable(sumCosts(deployment.hosts.flatMap { it.dump().cost })) + "\n")
    }
}
