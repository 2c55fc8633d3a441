/*
 * Load against entry hosts that run elsewhere on this machine.
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
import org.sesamerouter.configuration.readSpec
import org.sesamerouter.experiment.Breaches
import org.sesamerouter.experiment.CallerContext
import org.sesamerouter.experiment.EXAMPLES
import org.sesamerouter.experiment.Example
import org.sesamerouter.experiment.GroupReport
import org.sesamerouter.experiment.HistoryChecker
import org.sesamerouter.experiment.LoadDriver
import org.sesamerouter.experiment.LoadPhase
import org.sesamerouter.experiment.groupReport
import org.sesamerouter.experiment.groupTable
import org.sesamerouter.experiment.newGroup
import org.sesamerouter.experiment.readExample
import org.sesamerouter.standin.RUNS_PATH
import org.sesamerouter.standin.RunRecord
import org.sesamerouter.web.ClientRequest
import org.sesamerouter.web.FetchOutcome
import org.sesamerouter.web.HttpClient
import java.util.Random

/** What a bench measured; doubled and untrue "not run" are judged by the runs that the stand-ins tell. */
@Serializable
data class BenchReport(
    val rate: Double,
    val seconds: Double,
    val seed: Long,
    val groups: List<GroupReport>,
    val breaches: Breaches,
)

internal class BenchCommand : CliktCommand("bench") {
    private val hosts by option("--hosts", help = "addresses of entry hosts, with commas").split(",").required()
    private val example by option(
        "--example",
        help = "whose mix to send",
    ).choice(*EXAMPLES.toTypedArray()).default(EXAMPLES.first())
    private val rate by option("--rate", help = "requests a second").double().default(50.0)
    private val seconds by option("--seconds").double().default(10.0)
    private val seed by option("--seed").long().default(1)
    private val report by option("--report", help = "file for the JSON report").file()

    override fun help(context: Context) = "Sends an example's mix to running hosts on loopback and checks every answer."

    override fun run() {
        if (hosts.any { !it.startsWith("127.") }) {
            throw CliktError(
                "bench sends load to loopback only; pass addresses of 127.0.0.0/8",
                statusCode = INVALID_INPUT_STATUS,
            )
        }
        val read = readExample(example)
        val pipelines = read.declarations.filter { it.kind == ResourceKind.PIPELINE }.associate {
            it.name to readSpec(it.kind, it.name, it.spec).getOrElse { f -> error(f) } as PipelineSpec
        }
        val checker = HistoryChecker()
        val driver =
            LoadDriver(
                read.traffic,
                poolsOf(read.declarations).flatMap {
                    it.targets
                }.map { it.dataCentre }.distinct(),
                seed,
                checker,
            )
        val group = newGroup(2)
        val random = Random(seed)
        val context =
            CallerContext(HttpClient(group), pipelines, driver.timer) {
                synchronized(random) { hosts[random.nextInt(hosts.size)] }
            }
        driver.run(context, listOf(LoadPhase(seconds, rate)))
        driver.close()
        readRuns(HttpClient(group), read, checker)
        group.shutdownGracefully()
        show(checker)
    }

    private fun readRuns(client: HttpClient, example: Example, checker: HistoryChecker) {
        for (target in poolsOf(example.declarations).flatMap { it.targets }) {
            val outcome = client.fetchBlocking(target.address, ClientRequest("GET", RUNS_PATH))
            val body = (outcome as? FetchOutcome.Replied)?.reply?.body
            if (body ==
                null
            ) {
                echo(
                    "the runs of ${target.name} are not known: it does not answer at ${target.address}",
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
        .map { readSpec(it.kind, it.name, it.spec).getOrElse { faults -> error(faults) } as PoolSpec }

    private fun show(checker: HistoryChecker) {
        val calls = checker.calls()
        val groups = calls.groupBy { it.entry.name }.toSortedMap().map { (name, part) -> groupReport(name, part) } +
            groupReport("all", calls)
        val result = BenchReport(rate, seconds, seed, groups, checker.breaches())
        echo(groupTable(groups))
        echo(result.breaches.summary())
        report?.writeText(PrettyJson.encodeToString(BenchReport.serializer(), result) + "\n")
        if (result.breaches.total > 0) throw ProgramResult(1)
    }
}
