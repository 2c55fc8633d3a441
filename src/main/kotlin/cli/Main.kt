/*
 * Entry point of the command line: server, operator commands, stand-ins and measurements.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.sesamerouter.settings.LogSettings

internal class SesamerouterCommand : CliktCommand("sesamerouter") {
    override fun help(context: Context) = "Serves multi-stage model pipelines. See docs/OPERATIONS.md."

    override fun run() = configureLogs(LogSettings(level = "warn"))
}

/** Runs the command line with [args]. */
fun main(args: Array<String>) {
    SesamerouterCommand()
        .subcommands(
            ServeCommand(),
            FrontCommand(),
            CheckCommand(),
            ApplyCommand(),
            GetCommand(),
            WatchCommand(),
            DeleteCommand(),
            DumpCommand(),
            StandinCommand(),
            DemoCommand(),
            BenchCommand(),
            ExperimentCommand(),
            CapacityCommand(),
            HotPathCommand(),
        )
        .main(args)
}
