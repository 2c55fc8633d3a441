/*
 * Sends load to entry hosts that run in other processes on this machine.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable
import org.sesamerouter.api.PrettyJson
import org.sesamerouter.api.WireJson
import org.sesamerouter.configuration.Declaration
import org.sesamerouter.configuration.PipelineSpec
import org.sesamerouter.configuration.PoolSpec
import org.sesamerouter.configuration.ResourceKind
import org.sesamerouter.configuration.parseSpec
import org.sesamerouter.experiment.CallerContext
import org.sesamerouter.experiment.EXAMPLES
import org.sesamerouter.experiment.Example
import org.sesamerouter.experiment.GroupReport
import org.sesamerouter.experiment.HistoryChecker
import org.sesamerouter.experiment.LoadDriver
import org.sesamerouter.experiment.LoadPhase
import org.sesamerouter.experiment.Violations
import org.sesamerouter.experiment.groupReport
import org.sesamerouter.experiment.groupTable
import org.sesamerouter.experiment.newEventLoopGroup
import org.sesamerouter.experiment.readExample
import org.sesamerouter.standin.RUNS_PATH
import org.sesamerouter.standin.RunRecord
import org.sesamerouter.web.ClientRequest
import org.sesamerouter.web.FetchOutcome
import org.sesamerouter.web.HttpClient
import java.util.Random

/** Result of a bench. Duplicate runs and false "not run" refusals are detected from the runs that stand-ins report. */
@Serializable
data class BenchReport(
    val rate: Double,
    val seconds: Double,
    val seed: Long,
    val groups: List<GroupReport>,
    val breaches: Violations,
)

internal class BenchCommand : CliktCommand("bench") {
    private val hosts by option("--hosts", help = "comma-separated addresses of entry hosts").split(",").required()
    private val example by option(
        "--example",
        help = "example whose request mix to send",
    ).choice(*EXAMPLES.toTypedArray()).default(EXAMPLES.first())
    private val rate by option("--rate", help = "requests per second").double().default(50.0)
    private val seconds by option("--seconds").double().default(10.0)
    private val seed by option("--seed").long().default(1)
    private val report by option("--report", help = "file for the JSON report").file()

    override fun help(context: Context) =
        "Sends an example's request mix to running loopback hosts and checks every answer."

    override fun run() {
        if (hosts.any { !it.startsWith("127.") }) {
            throw CliktError(
                "bench sends load to loopback addresses only; pass addresses in 127.0.0.0/8",
                statusCode = INVALID_INPUT_STATUS,
            )
        }
        val loadedExample = readExample(example)
        val pipelines = loadedExample.declarations.filter { it.kind == ResourceKind.PIPELINE }.associate {
            it.name to parseSpec(it.kind, it.name, it.spec).getOrElse { faults -> error(faults) } as PipelineSpec
        }
        val checker = HistoryChecker()
        val driver =
            LoadDriver(
                loadedExample.traffic,
                poolsOf(loadedExample.declarations).flatMap {
                    it.targets
                }.map { it.dataCentre }.distinct(),
                seed,
                checker,
            )
        val group = newEventLoopGroup(2)
        val random = Random(seed)
        val context =
            CallerContext(HttpClient(group), pipelines, driver.timer) {
                synchronized(random) { hosts[random.nextInt(hosts.size)] }
            }
        val run = System.currentTimeMillis().toString(36)
        driver.run(context, listOf(LoadPhase(seconds, rate) { call, _ -> call.inRun(run) }))
        driver.close()
        readRuns(HttpClient(group), loadedExample, checker)
        group.shutdownGracefully()
        printReport(checker)
    }

    private fun readRuns(client: HttpClient, example: Example, checker: HistoryChecker) {
        for (target in poolsOf(example.declarations).flatMap { it.targets }) {
            val outcome = client.fetchBlocking(target.address, ClientRequest("GET", RUNS_PATH))
            val body = (outcome as? FetchOutcome.Replied)?.reply?.body
            if (body ==
                null
            ) {
                echo(
                    "cannot read the runs of ${target.name}: no response at ${target.address}",
                    err = true,
                )
            }
            body?.lines()?.filter { it.isNotEmpty() }?.forEach {
                checker.onRun(WireJson.decodeFromString(RunRecord.serializer(), it))
            }
        }
    }

    private fun poolsOf(items: List<Declaration>): List<PoolSpec> = items
        .filter { it.kind == ResourceKind.POOL }
        .map { parseSpec(it.kind, it.name, it.spec).getOrElse { faults -> error(faults) } as PoolSpec }

    private fun printReport(checker: HistoryChecker) {
        val calls = checker.calls()
        val groups = calls.groupBy { it.entry.name }.toSortedMap().map { (name, group) -> groupReport(name, group) } +
            groupReport("all", calls)
        val result = BenchReport(rate, seconds, seed, groups, checker.violations())
        echo(groupTable(groups))
        echo(result.breaches.summary())
        report?.writeText(PrettyJson.encodeToString(BenchReport.serializer(), result) + "\n")
        if (result.breaches.total > 0) throw ProgramResult(1)
    }
}
