/*
 * Reads the settings file that the platform writes for each process: one NAME=VALUE pair per line.
 */
package org.sesamerouter.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.StringReader
import java.util.Properties

/** The environment variable that holds the path of the settings file. */
const val SETTINGS_VARIABLE = "SESAMEROUTER_SETTINGS"

/**
 * The settings of one host.
 *
 * @property linkAddress the address at which other hosts reach this one; its port is the first of the port range.
 * @property seedAddresses link addresses of some hosts, which may be outdated.
 * @property graceMs time from SIGTERM to SIGKILL.
 * @property retryShare limits the retries of all hosts together, with [retrySlack], in any [retryWindowMs].
 * @property coldOver limits the requests of all hosts to a cold target in any second to so many times its rate, with
 *   [coldSlack] more.
 * @property regions the region of each data centre; empty if the deployment has none.
 * @property processorShare processor time that this host may use, 1 for one core of the usual speed.
 */
data class FrontSettings(
    val name: String,
    val ip: String,
    val dataCentre: String,
    val requestAddress: String,
    val readyAddress: String,
    val directoryAddress: String,
    val linkAddress: String,
    val seedAddresses: List<String>,
    val storeAddress: String,
    val graceMs: Long,
    val addressTtlMs: Long,
    val retryShare: Double,
    val retrySlack: Double,
    val processorShare: Double = 1.0,
    val retryWindowMs: Long = (DEFAULT_RETRY_WINDOW_S * MS_PER_S).toLong(),
    val coldOver: Double = DEFAULT_COLD_OVER,
    val coldSlack: Double = DEFAULT_COLD_SLACK,
    val regions: Map<String, String> = emptyMap(),
)

/** An invalid settings file; [message] says how to fix it. */
data class SettingsError(val message: String)

private const val DEFAULT_GRACE_S = 8.0
private const val DEFAULT_ADDRESS_TTL_S = 5.0
private const val MAX_ADDRESS_TTL_MS = 2_000L // callers follow a change of hosts within this time
private const val DEFAULT_RETRY_SHARE = 0.1
private const val DEFAULT_RETRY_SLACK = 10.0
private const val DEFAULT_RETRY_WINDOW_S = 10.0
private const val DEFAULT_COLD_OVER = 1.0 // without a stated bound, no more than the rate itself
private const val DEFAULT_COLD_SLACK = 0.0
private const val MS_PER_S = 1_000
private const val MAX_PORT = 65_535
private const val REGION_PREFIX = "zones."
private val NUMBERS = listOf(
    "bounds.grace-s",
    "bounds.ttl_max_s",
    "bounds.retry-ratio",
    "bounds.retry-slack",
    "bounds.retry-window-s",
    "bounds.cold-over",
    "bounds.cold-slack",
    "limits.cpu-share",
    "limits.cores",
)

private fun isValidNumber(text: String): Boolean = text.toDoubleOrNull()?.let { it >= 0 && it.isFinite() } ?: false

/** Returns the first port of the range [text]; null if it is not a range of ports. */
private fun firstPort(text: String): Int? {
    val ports = text.split(',').map { it.trim().toIntOrNull() ?: return null }
    val isRange = ports.size == 2 && ports[0] <= ports[1] && ports.all { it in 1..MAX_PORT }
    return if (isRange) ports[0] else null
}

/** Parses the settings in [text]. */
fun parsePlatformSettings(text: String): Result<FrontSettings, SettingsError> {
    val values = try {
        Properties().apply { load(StringReader(text)) }
    } catch (e: IllegalArgumentException) {
        return Err(SettingsError("the settings cannot be read: ${e.message} Write \\\\ for a backslash"))
    }

    fun value(name: String): String? = values.getProperty(name)?.trim()?.takeIf { it.isNotEmpty() }
    val requiredNames = listOf(
        "node",
        "ip",
        "zone",
        "listen.front",
        "listen.ready",
        "listen.directory",
        "port-range",
        "platform.address",
    )
    val missing = requiredNames.filter { value(it) == null }
    if (missing.isNotEmpty()) {
        return Err(SettingsError("missing settings: ${missing.joinToString()}; add them to the settings file"))
    }

    val invalid = NUMBERS.filter { name -> value(name)?.let { !isValidNumber(it) } ?: false }
    if (invalid.isNotEmpty()) {
        return Err(SettingsError("invalid settings: ${invalid.joinToString()}; expected numbers of at least 0"))
    }

    fun number(name: String, default: Double): Double = value(name)?.toDouble() ?: default
    fun durationMs(name: String, defaultS: Double): Long = (number(name, defaultS) * MS_PER_S).toLong()
    fun required(name: String): String = checkNotNull(value(name))
    val port = firstPort(required("port-range"))
        ?: return Err(SettingsError("invalid port-range; expected FIRST,LAST with ports from 1 to $MAX_PORT"))
    val ttlS = value("bounds.ttl_max_s")?.toDouble() ?: DEFAULT_ADDRESS_TTL_S
    return Ok(
        FrontSettings(
            name = required("node"),
            ip = required("ip"),
            dataCentre = required("zone"),
            requestAddress = required("listen.front"),
            readyAddress = required("listen.ready"),
            directoryAddress = required("listen.directory"),
            linkAddress = "${required("ip")}:$port",
            seedAddresses = value("seeds").orEmpty().split(',').filter { ':' in it }
                .map { "${it.substringBefore(':').trim()}:$port" },
            storeAddress = required("platform.address"),
            graceMs = durationMs("bounds.grace-s", DEFAULT_GRACE_S),
            addressTtlMs = minOf((ttlS * MS_PER_S).toLong(), MAX_ADDRESS_TTL_MS),
            retryShare = number("bounds.retry-ratio", DEFAULT_RETRY_SHARE),
            retrySlack = number("bounds.retry-slack", DEFAULT_RETRY_SLACK),
            processorShare = number("limits.cpu-share", 1.0) * number("limits.cores", 1.0),
            retryWindowMs = durationMs("bounds.retry-window-s", DEFAULT_RETRY_WINDOW_S),
            coldOver = number("bounds.cold-over", DEFAULT_COLD_OVER),
            coldSlack = number("bounds.cold-slack", DEFAULT_COLD_SLACK),
            regions = values.stringPropertyNames().filter { it.startsWith(REGION_PREFIX) }
                .mapNotNull { name -> value(name)?.let { name.removePrefix(REGION_PREFIX) to it } }.toMap() +
                listOfNotNull(value("region")?.let { required("zone") to it }),
        ),
    )
}
