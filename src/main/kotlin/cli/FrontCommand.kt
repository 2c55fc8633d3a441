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
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import org.sesamerouter.front.FrontHost
import org.sesamerouter.front.startFrontHost
import org.sesamerouter.platform.SETTINGS_VARIABLE
import org.sesamerouter.platform.readPlatformSettings
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.io.File
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val RELOAD_EVERY_MS = 2_000L // changes without a signal are in force within this

internal class FrontCommand : CliktCommand("front") {
    private val logger = LoggerFactory.getLogger(FrontCommand::class.java)
    private val metricsPort by option("--metrics-port", help = "Port for metrics; none by default").int()

    override fun help(context: Context) =
        "Runs a host that forwards requests on the platform, with the settings file that $SETTINGS_VARIABLE names."

    override fun run() {
        configureFrontLogs()
        val path = System.getenv(SETTINGS_VARIABLE)
            ?: throw CliktError("$SETTINGS_VARIABLE is not set; set it to the settings file.", statusCode = 2)
        val file = File(path)
        val settings = readPlatformSettings(file.readText()).getOrElse {
            throw CliktError("$path: ${it.message}", statusCode = INVALID_INPUT_STATUS)
        }
        val host = startFrontHost(settings, metricsPort)
        Signal.handle(Signal("HUP")) { reload(host, file) }
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread { stopOnce(host, stopped) })
        while (!stopped.await(RELOAD_EVERY_MS, TimeUnit.MILLISECONDS)) reload(host, file)
    }

    /** The file may change with or without a signal; one that cannot be used leaves the settings as they are. */
    private fun reload(host: FrontHost, file: File) {
        try {
            readPlatformSettings(file.readText()).onOk(host::reload)
                .onErr { logger.warn("{} is not taken over: {}", file, it.message) }
        } catch (e: IOException) {
            logger.warn("{} cannot be read, the settings stay as they are: {}", file, e.message)
        }
    }

    /** The process ends with status 0 after a planned stop, whatever signal asked for it. */
    private fun stopOnce(host: FrontHost, stopped: CountDownLatch) {
        host.stop()
        stopped.countDown()
        Runtime.getRuntime().halt(0)
    }
}
