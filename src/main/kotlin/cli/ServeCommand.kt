/*
 * Runs an entry host until the process is signalled to stop.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getOrElse
import org.sesamerouter.configuration.SpecFault
import org.sesamerouter.host.startEntryHost
import org.sesamerouter.settings.Settings
import org.sesamerouter.settings.parseSettings
import org.slf4j.LoggerFactory
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

internal const val INVALID_INPUT_STATUS = 2
private const val FAILED_STOP_STATUS = 1

internal class ServeCommand : CliktCommand("serve") {
    private val logger = LoggerFactory.getLogger(ServeCommand::class.java)
    private val settings by option("--settings", help = "TOML settings of this host")
        .file(mustExist = true, canBeDir = false)
        .required()

    override fun help(context: Context) =
        "Runs an entry host. SIGTERM stops it gracefully: its address is no longer given to " +
            "callers, and it completes running requests."

    override fun run() {
        val loaded = loadSettings(settings)
        configureLogs(loaded.logs)
        val host = startEntryHost(loaded)
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread { stopAndExit(host::stop, loaded.timing.graceMs, stopped) })
        stopped.await()
    }

    /**
     * Exits with status 0 after a graceful shutdown, and with 1 when it failed or has not ended within [graceMs].
     * Without the halt, the JVM would exit with the status of the signal that requested the shutdown.
     */
    private fun stopAndExit(stop: () -> Unit, graceMs: Long, stopped: CountDownLatch) {
        val stopping = CompletableFuture.runAsync(stop) { Thread(it, "stop").apply { isDaemon = true }.start() }
        val status = try {
            stopping.get(graceMs, TimeUnit.MILLISECONDS)
            0
        } catch (e: Exception) {
            logger.error("the host did not stop gracefully within {} ms", graceMs, e)
            FAILED_STOP_STATUS
        }
        stopped.countDown()
        Runtime.getRuntime().halt(status)
    }
}

/** Reads the settings, or fails the command with every fault found. */
internal fun loadSettings(file: File): Settings =
    parseSettings(file.readText()).getOrElse { faults -> throw validationError(faults.map { "${file.path}: $it" }) }

internal fun validationError(lines: List<String>) =
    CliktError(lines.joinToString("\n"), statusCode = INVALID_INPUT_STATUS)

internal fun formatFaults(file: File, faults: List<SpecFault>): List<String> = faults.map { "${file.path}: $it" }
