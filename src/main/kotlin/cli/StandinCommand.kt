/*
 * Runs one stand-in of the platform or of a target as a separate process.
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
import org.sesamerouter.experiment.newEventLoopGroup
import org.sesamerouter.standin.HostListStandin
import org.sesamerouter.standin.LogBehaviour
import org.sesamerouter.standin.LogStandin
import org.sesamerouter.standin.TargetBehaviour
import org.sesamerouter.standin.TargetStandin
import java.util.concurrent.CountDownLatch

private const val THREADS = 2
private const val ADDRESS_HELP = "IP:PORT to listen on"

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

private fun awaitForever() = CountDownLatch(1).await()

internal class LogStandinCommand : CliktCommand("log") {
    private val listen by option("--listen", help = ADDRESS_HELP).required()
    private val latencyMs by option("--latency-ms").long().default(1)
    private val lostReplyShare by option(
        "--lost-reply-share",
        help = "share of appends whose reply is lost",
    ).double().default(0.0)
    private val retained by option("--retained", help = "records kept in each stream").int().default(Int.MAX_VALUE)
    private val down by option("--down", help = "do not respond").flag()

    override fun help(context: Context) = "Stand-in for the platform's append-only log."

    override fun run() {
        val log = LogStandin(listen, newEventLoopGroup(THREADS))
        log.behaviour = LogBehaviour(latencyMs, down, lostReplyShare, retained)
        echo("log at ${log.address}")
        awaitForever()
    }
}

internal class HostsStandinCommand : CliktCommand("hosts") {
    private val listen by option("--listen", help = ADDRESS_HELP).required()
    private val lagMs by option("--lag-ms", help = "delay until a change becomes visible").long().default(500)

    override fun help(context: Context) = "Stand-in for the platform's host list; PUT /hosts sets it."

    override fun run() {
        val hosts = HostListStandin(listen, newEventLoopGroup(THREADS), lagMs)
        echo("host list at ${hosts.address}")
        awaitForever()
    }
}

internal class TargetStandinCommand(
    private val label: String,
    private val helpText: String,
    private val generates: Boolean,
) : CliktCommand(label) {
    private val listen by option("--listen", help = ADDRESS_HELP).required()
    private val slots by option("--slots", help = "concurrent requests").int().default(8)
    private val serviceMs by option("--service-ms", help = "time before the first output").long().default(15)
    private val tokenMs by option("--token-ms", help = "time between tokens").long().default(4)
    private val slowdown by option("--slowdown", help = "factor applied to all times").double().default(1.0)
    private val errorShare by option("--error-share", help = "share of requests that fail").double().default(0.0)
    private val cutShare by option("--cut-share", help = "share of streams that are cut off").double().default(0.0)
    private val leaving by option("--leaving", help = "refuse new work").flag()
    private val ignoresFencing by option("--ignores-fencing", help = "accept orders with an old fencing number").flag()

    override fun help(context: Context) = helpText

    override fun run() {
        val behaviour = TargetBehaviour(
            slots = slots,
            serviceMs = serviceMs,
            tokenMs = tokenMs,
            slowdown = slowdown,
            leaving = leaving,
            errorShare = errorShare,
            cutShare = cutShare,
            cachesPrefixes = generates,
            checksFencing = !ignoresFencing,
            generates = generates,
        )
        val target = TargetStandin(
            "$label-${listen.substringAfterLast(':')}",
            listen,
            newEventLoopGroup(THREADS),
            behaviour,
        )
        echo("$label at ${target.address}")
        awaitForever()
    }
}
