/*
 * Runs a front host, which forwards requests on the platform, until the process is signalled to stop, and measures how
 * much processor time its start takes.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import org.sesamerouter.platform.SETTINGS_VARIABLE

internal class FrontCommand : CliktCommand("front") {
    private val metricsPort by option("--metrics-port", help = "port for metrics; none by default").int()

    override fun help(context: Context) =
        "Runs a host that forwards requests on the platform, with the settings file that $SETTINGS_VARIABLE names."

    override fun run() = try {
        runFrontHost(metricsPort)
    } catch (e: FrontStartException) {
        throw CliktError(e.message, statusCode = e.status)
    }
}
