/*
 * Runs a host that forwards requests on the platform until it is asked to stop.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.michaelbull.result.getOrElse
import org.sesamerouter.front.FrontHost
import org.sesamerouter.front.startFrontHost
import org.sesamerouter.platform.SETTINGS_VARIABLE
import org.sesamerouter.platform.readPlatformSettings
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.io.File
import java.util.concurrent.CountDownLatch

internal class FrontCommand : CliktCommand("front") {
    private val logger = LoggerFactory.getLogger(FrontCommand::class.java)
    private val metricsPort by option("--metrics-port", help = "Port for metrics; none by default").int()

    override fun help(context: Context) =
        "Runs a host that forwards requests on the platform, with the settings file that $SETTINGS_VARIABLE names."

    override fun run() {
        configureFrontLogs()
        val path = System.getenv(SETTINGS_VARIABLE)
            ?: throw CliktError("$SETTINGS_VARIABLE is not set; set it to the settings file.", statusCode = 2)
        val settings = readPlatformSettings(File(path).readText()).getOrElse {
            throw CliktError("$path: ${it.message}", statusCode = INVALID_INPUT_STATUS)
        }
        val host = startFrontHost(settings, metricsPort)
        Signal.handle(Signal("HUP")) { logger.info("the settings may have changed; those of a start stay in force") }
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread { stopOnce(host, stopped) })
        stopped.await()
    }

    /** The process ends with status 0 after a planned stop, whatever signal asked for it. */
    private fun stopOnce(host: FrontHost, stopped: CountDownLatch) {
        host.stop()
        stopped.countDown()
        Runtime.getRuntime().halt(0)
    }
}
