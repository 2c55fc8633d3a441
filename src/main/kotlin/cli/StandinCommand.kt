/*
 * Runs one stand-in of the platform or of a target as a process of its own.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.sesamerouter.experiment.newGroup
import org.sesamerouter.standin.HostListStandin
import org.sesamerouter.standin.LogBehaviour
import org.sesamerouter.standin.LogStandin
import org.sesamerouter.standin.TargetBehaviour
import org.sesamerouter.standin.TargetStandin
import java.util.concurrent.CountDownLatch

private const val THREADS = 2
private const val ADDRESS_HELP = "IP:PORT to listen at"

internal class StandinCommand : CliktCommand("standin") {
    init {
        subcommands(
            LogStandinCommand(),
            HostsStandinCommand(),
            TargetStandinCommand("engine", "Stand-in for a model engine: generates tokens.", generates = true),
            TargetStandinCommand("pool", "Stand-in for an encoder, retriever or reranker.", generates = false),
            TargetStandinCommand("service", "Stand-in for a plain service.", generates = false),
        )
    }

    override fun help(context: Context) = "Runs a stand-in of the platform or of a target."

    override fun run() = Unit
}

private fun runForever() = CountDownLatch(1).await()

internal class LogStandinCommand : CliktCommand("log") {
    private val listen by option("--listen", help = ADDRESS_HELP).required()
    private val latency by option("--latency-ms").long().default(1)
    private val lostReplies by option(
        "--lost-reply-share",
        help = "share of appends whose reply is lost",
    ).double().default(0.0)
    private val retained by option("--retained", help = "records kept in each stream").int().default(Int.MAX_VALUE)
    private val down by option("--down", help = "answer nothing").flag()

    override fun help(context: Context) = "Stand-in for the platform's append-only log."

    override fun run() {
        val log = LogStandin(listen, newGroup(THREADS))
        log.behaviour = LogBehaviour(latency, down, lostReplies, retained)
        echo("log at ${log.address}")
        runForever()
    }
}

internal class HostsStandinCommand : CliktCommand("hosts") {
    private val listen by option("--listen", help = ADDRESS_HELP).required()
    private val lag by option("--lag-ms", help = "time until a change shows").long().default(500)

    override fun help(context: Context) = "Stand-in for the platform's host list; PUT /hosts sets it."

    override fun run() {
        val hosts = HostListStandin(listen, newGroup(THREADS), lag)
        echo("host list at ${hosts.address}")
        runForever()
    }
}

internal class TargetStandinCommand(
    private val label: String,
    private val text: String,
    private val generates: Boolean,
) : CliktCommand(label) {
    private val listen by option("--listen", help = ADDRESS_HELP).required()
    private val slots by option("--slots", help = "requests side by side").int().default(8)
    private val service by option("--service-ms", help = "time before the first output").long().default(15)
    private val token by option("--token-ms", help = "time between tokens").long().default(4)
    private val slowdown by option("--slowdown", help = "factor on all times").double().default(1.0)
    private val errors by option("--error-share", help = "share of requests that fail").double().default(0.0)
    private val cuts by option("--cut-share", help = "share of streams that are cut").double().default(0.0)
    private val leaving by option("--leaving", help = "refuse new work").flag()
    private val ignoresFencing by option("--ignores-fencing", help = "take orders with an old fencing number").flag()

    override fun help(context: Context) = text

    override fun run() {
        val behaviour = TargetBehaviour(
            slots = slots,
            serviceMs = service,
            tokenMs = token,
            slowdown = slowdown,
            leaving = leaving,
            errorShare = errors,
            cutShare = cuts,
            cachesPrefixes = generates,
            checksFencing = !ignoresFencing,
            generates = generates,
        )
        val target = TargetStandin("$label-${listen.substringAfterLast(':')}", listen, newGroup(THREADS), behaviour)
        echo("$label at ${target.address}")
        runForever()
    }
}
