/*
 * Entry point of a front host without the command line's parser, whose classes would take a good part of the time that
 * a small host needs to start. `sesamerouter front` runs the same host.
 */
package org.sesamerouter.cli

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import org.sesamerouter.front.FrontHost
import org.sesamerouter.front.frontHost
import org.sesamerouter.platform.SETTINGS_VARIABLE
import org.sesamerouter.platform.parsePlatformSettings
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.io.File
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

// Upper bound on the delay until a change of the file takes effect without a signal.
private const val RELOAD_INTERVAL_MS = 2_000L
private const val USAGE_STATUS = 2
private const val METRICS_OPTION = "--metrics-port"

// Part of Netty's ids of connections, which are not used here. Without it, Netty looks for a hardware address
// and warns in plain text if there is none.
private const val MACHINE_ID_PROPERTY = "io.netty.machineId"
private const val MACHINE_ID = "00:00:00:00:00:00:00:01"

/** A host that cannot be started; [message] says how to fix it, [status] is the exit status of the process. */
internal class FrontStartException(message: String, val status: Int) : Exception(message)

/** Runs a front host until the process is signalled to stop; it serves its metrics at [metricsPort], if set. */
internal fun runFrontHost(metricsPort: Int?) {
    System.setProperty(MACHINE_ID_PROPERTY, MACHINE_ID)
    configureFrontLogs()
    val path = System.getenv(SETTINGS_VARIABLE)
        ?: throw FrontStartException("$SETTINGS_VARIABLE is not set; set it to the settings file.", USAGE_STATUS)
    val file = File(path)
    val settings = parsePlatformSettings(file.readText())
        .getOrElse { throw FrontStartException("$path: ${it.message}", INVALID_INPUT_STATUS) }
    val host = frontHost(settings, metricsPort)
    // Signals are handled before the first request can arrive; without a handler, SIGHUP ends the process.
    Signal.handle(Signal("HUP")) { reload(host, file) }
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(Thread { stopAndExit(host, stopped) })
    host.start()
    while (!stopped.await(RELOAD_INTERVAL_MS, TimeUnit.MILLISECONDS)) reload(host, file)
}

/** Reloads the file, which may change with or without a signal; an unusable file keeps the current settings. */
private fun reload(host: FrontHost, file: File) {
    val logger = LoggerFactory.getLogger(FrontHost::class.java)
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

/** Runs a front host. Arguments: none, or `--metrics-port PORT`. */
fun main(args: Array<String>) {
    try {
        runFrontHost(parseMetricsPort(args))
    } catch (e: FrontStartException) {
        System.err.println(e.message)
        exitProcess(e.status)
    }
}

private fun parseMetricsPort(args: Array<String>): Int? {
    if (args.isEmpty()) return null
    val port = args.getOrNull(1)?.toIntOrNull()
    if (args.size != 2 || args[0] != METRICS_OPTION || port == null) {
        throw FrontStartException("unknown arguments; expected none or $METRICS_OPTION PORT", USAGE_STATUS)
    }
    return port
}
