/*
 * Runs a front host, which forwards requests on the platform, until the process is signalled to stop.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import org.sesamerouter.front.FrontHost
import org.sesamerouter.front.startFrontHost
import org.sesamerouter.platform.SETTINGS_VARIABLE
import org.sesamerouter.platform.parsePlatformSettings
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.io.File
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

// Upper bound on the delay until a change of the file takes effect without a signal.
private const val RELOAD_INTERVAL_MS = 2_000L

internal class FrontCommand : CliktCommand("front") {
    private val logger = LoggerFactory.getLogger(FrontCommand::class.java)
    private val metricsPort by option("--metrics-port", help = "port for metrics; none by default").int()

    override fun help(context: Context) =
        "Runs a host that forwards requests on the platform, with the settings file that $SETTINGS_VARIABLE names."

    override fun run() {
        configureFrontLogs()
        val path = System.getenv(SETTINGS_VARIABLE)
            ?: throw CliktError("$SETTINGS_VARIABLE is not set; set it to the settings file.", statusCode = 2)
        val file = File(path)
        val settings = parsePlatformSettings(file.readText()).getOrElse {
            throw CliktError("$path: ${it.message}", statusCode = INVALID_INPUT_STATUS)
        }
        val host = startFrontHost(settings, metricsPort)
        Signal.handle(Signal("HUP")) { reload(host, file) }
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread { stopAndExit(host, stopped) })
        while (!stopped.await(RELOAD_INTERVAL_MS, TimeUnit.MILLISECONDS)) reload(host, file)
    }

    /** Reloads the file, which may change with or without a signal; an unusable file keeps the current settings. */
    private fun reload(host: FrontHost, file: File) {
        try {
            parsePlatformSettings(file.readText()).onOk(host::reload)
                .onErr { logger.warn("{} is invalid, keeping the current settings: {}", file, it.message) }
        } catch (e: IOException) {
            logger.warn("{} cannot be read, keeping the current settings: {}", file, e.message)
        }
    }

    /** Exits with status 0 after a graceful shutdown, whichever signal requested it. */
    private fun stopAndExit(host: FrontHost, stopped: CountDownLatch) {
        host.stop()
        stopped.countDown()
        Runtime.getRuntime().halt(0)
    }
}
