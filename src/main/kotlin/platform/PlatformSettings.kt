/*
 * Reads the settings file that the platform writes for each process: one name and value a line.
 */
package org.sesamerouter.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.StringReader
import java.util.Properties

/** The environment variable that names the settings file. */
const val SETTINGS_VARIABLE = "SESAMEROUTER_SETTINGS"

/**
 * What one host is told about itself.
 *
 * @property name the host's name.
 * @property linkAddress where the other hosts reach it; the port is the first that is free for the system.
 * @property seedAddresses link addresses of some hosts, which may be stale.
 * @property graceMs time from SIGTERM to SIGKILL.
 * @property retryShare and [retrySlack] and [retryWindowMs] bound the repeats of all hosts together.
 */
data class FrontSettings(
    val name: String,
    val ip: String,
    val dataCentre: String,
    val requestAddress: String,
    val readyAddress: String,
    val addressAddress: String,
    val linkAddress: String,
    val seedAddresses: List<String>,
    val storeAddress: String,
    val graceMs: Long,
    val addressLifeMs: Long,
    val retryShare: Double,
    val retrySlack: Double,
)

/** A settings file that cannot be used; the message names the remedy. */
data class SettingsFault(val message: String)

private const val DEFAULT_GRACE_S = 8.0
private const val DEFAULT_ADDRESS_LIFE_S = 5L
private const val LONGEST_ADDRESS_LIFE_MS = 2_000L // callers follow a change of hosts within this
private const val DEFAULT_RETRY_RATIO = 0.1
private const val DEFAULT_RETRY_SLACK = 10.0
private const val MS_PER_S = 1_000

/** Reads the settings in [text]. */
fun readPlatformSettings(text: String): Result<FrontSettings, SettingsFault> {
    val values = Properties().apply { load(StringReader(text)) }

    fun value(name: String): String? = values.getProperty(name)?.trim()?.takeIf { it.isNotEmpty() }
    val needed = listOf(
        "node",
        "ip",
        "zone",
        "listen.front",
        "listen.ready",
        "listen.directory",
        "port-range",
        "platform.address",
    )
    val missing = needed.filter { value(it) == null }
    if (missing.isNotEmpty()) {
        return Err(SettingsFault("The settings lack ${missing.joinToString()}; add these names to the file."))
    }

    fun need(name: String): String = checkNotNull(value(name))
    val port = need("port-range").substringBefore(',').toIntOrNull()
        ?: return Err(SettingsFault("port-range has no port; give it as FIRST,LAST."))
    val lifeS = value("bounds.ttl_max_s")?.toLongOrNull() ?: DEFAULT_ADDRESS_LIFE_S
    return Ok(
        FrontSettings(
            name = need("node"),
            ip = need("ip"),
            dataCentre = need("zone"),
            requestAddress = need("listen.front"),
            readyAddress = need("listen.ready"),
            addressAddress = need("listen.directory"),
            linkAddress = "${need("ip")}:$port",
            seedAddresses = value("seeds").orEmpty().split(',').filter { ':' in it }
                .map { "${it.substringBefore(':').trim()}:$port" },
            storeAddress = need("platform.address"),
            graceMs = ((value("bounds.grace-s")?.toDoubleOrNull() ?: DEFAULT_GRACE_S) * MS_PER_S).toLong(),
            addressLifeMs = minOf(lifeS * MS_PER_S, LONGEST_ADDRESS_LIFE_MS),
            retryShare = value("bounds.retry-ratio")?.toDoubleOrNull() ?: DEFAULT_RETRY_RATIO,
            retrySlack = value("bounds.retry-slack")?.toDoubleOrNull() ?: DEFAULT_RETRY_SLACK,
        ),
    )
}
