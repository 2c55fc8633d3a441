/*
 * Shows the product at work: a whole deployment on loopback under a load with a surge, then what came of it.
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
import org.sesamerouter.experiment.Deployment
import org.sesamerouter.experiment.DeploymentOptions
import org.sesamerouter.experiment.EXAMPLES
import org.sesamerouter.experiment.Ending
import org.sesamerouter.experiment.HistoryChecker
import org.sesamerouter.experiment.LoadDriver
import org.sesamerouter.experiment.LoadPhase
import org.sesamerouter.experiment.capacityOf
import org.sesamerouter.experiment.costTable
import org.sesamerouter.experiment.groupReport
import org.sesamerouter.experiment.groupTable
import org.sesamerouter.experiment.readExample
import org.sesamerouter.experiment.sumCosts
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val CALM_SHARE = 0.5
private const val SURGE_SHARE = 2.0
private const val PROGRESS_MS = 1_000L

internal class DemoCommand : CliktCommand("demo") {
    private val example by option("--example").choice(*EXAMPLES.toTypedArray()).default(EXAMPLES.first())
    private val seconds by option("--seconds", help = "length of the load").int().default(15)
    private val seed by option("--seed").long().default(1)
    private val faults by option("--faults", help = "kill hosts and targets and stop the log meanwhile").flag()

    override fun help(context: Context) =
        "Runs stand-ins and 6 entry hosts on loopback, sends a load with a surge and checks every answer."

    override fun run() {
        val checker = HistoryChecker()
        echo("starting the deployment $example, seed $seed")
        Deployment(readExample(example), DeploymentOptions(seed = seed), checker::onRun).use { deployment ->
            deployment.apply()
            echo("declarations settled on ${deployment.hosts.size} hosts")
            load(deployment, checker)
            report(deployment, checker)
        }
        val breaches = checker.breaches()
        echo(breaches.summary())
        if (breaches.total > 0) throw ProgramResult(1)
    }

    private fun load(deployment: Deployment, checker: HistoryChecker) {
        val dataCentres = deployment.hosts.map { it.settings.host.dataCentre }.distinct()
        val driver = LoadDriver(deployment.example.traffic, dataCentres, seed, checker)
        val capacity = capacityOf(deployment)
        val third = seconds / 3.0
        val phases = listOf(
            LoadPhase(third, capacity * CALM_SHARE),
            LoadPhase(third, capacity * SURGE_SHARE),
            LoadPhase(third, capacity * CALM_SHARE),
        )
        echo(
            "capacity %.0f requests/s; load %.1f of it, then %.1f, then %.1f".format(
                capacity,
                CALM_SHARE,
                SURGE_SHARE,
                CALM_SHARE,
            ),
        )
        val ended = AtomicInteger()
        val attained = AtomicInteger()
        val progress = thread(isDaemon = true) { showProgress(ended, attained) }
        val chaos = if (faults) thread(isDaemon = true) { breakThings(deployment) } else null
        driver.run(driver.contextOf(deployment), phases) { record ->
            ended.incrementAndGet()
            if (record.ending == Ending.ATTAINED) attained.incrementAndGet()
        }
        progress.interrupt()
        chaos?.join()
        driver.close()
    }

    private fun showProgress(ended: AtomicInteger, attained: AtomicInteger) {
        try {
            while (true) {
                Thread.sleep(PROGRESS_MS)
                echo("  ended ${ended.get()}, answered whole in time ${attained.get()}")
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun breakThings(deployment: Deployment) {
        val step = seconds * 1_000L / 8
        val engine = deployment.targets.getValue("engines").last()
        Thread.sleep(step)
        echo("  fault: an engine dies")
        engine.crash()
        Thread.sleep(step)
        echo("  fault: the log is down; the engine is back")
        engine.restart()
        deployment.log.behaviour = deployment.log.behaviour.copy(down = true)
        Thread.sleep(step)
        echo("  fault: an entry host is killed")
        deployment.kill(deployment.hosts.last())
        Thread.sleep(step)
        echo("  the log is back; the host is replaced")
        deployment.log.behaviour = deployment.log.behaviour.copy(down = false)
        deployment.startHost(deployment.hosts.size)
    }

    private fun report(deployment: Deployment, checker: HistoryChecker) {
        val calls = checker.calls()
        val byPipeline = calls.groupBy { it.entry.name }.toSortedMap().map { (name, part) -> groupReport(name, part) }
        val byOrganisation = calls.groupBy {
            it.organisation
        }.toSortedMap().map { (name, part) -> groupReport(name, part) }
        echo("\n" + groupTable(byOrganisation + byPipeline + groupReport("all", calls)))
        echo("\n" + costTable(sumCosts(deployment.hosts.flatMap { it.dump().cost })) + "\n")
    }
}
