/*
 * Settings of one entry host, read from TOML once at startup. All other configuration is declared through resources.
 */
package org.sesamerouter.settings

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.sesamerouter.configuration.SpecFault
import org.sesamerouter.configuration.addressFault
import org.sesamerouter.configuration.rangeFault

/** Settings of one entry host. Addresses have the form IP:PORT; with port 0 the operating system assigns a port. */
@Serializable
data class Settings(
    val host: HostSettings,
    val listen: ListenSettings = ListenSettings(),
    val platform: PlatformSettings,
    val limits: LimitSettings = LimitSettings(),
    val timing: TimingSettings = TimingSettings(),
    val logs: LogSettings = LogSettings(),
)

/** Identity of this host. */
@Serializable
data class HostSettings(val id: String, @SerialName("data_centre") val dataCentre: String)

/** Listen addresses and threads of this host. */
@Serializable
data class ListenSettings(
    val http: String = "127.0.0.1:0",
    val peer: String = "127.0.0.1:0",
    @SerialName("traffic_threads") val trafficThreads: Int = 2,
)

/** Addresses of the platform's services and of peers. */
@Serializable
data class PlatformSettings(
    val log: String,
    @SerialName("host_list") val hostList: String = "",
    val peers: List<String> = emptyList(),
)

/** Limits on what this host stores and reads. */
@Serializable
data class LimitSettings(
    @SerialName("max_body_bytes") val maxBodyBytes: Int = 1_048_576,
    @SerialName("max_answer_bytes") val maxAnswerBytes: Int = 8_388_608,
    @SerialName("max_keys") val maxKeys: Int = 200_000,
    @SerialName("max_suspects") val maxSuspects: Int = 4_096,
)

/** Periods and timeouts in milliseconds. */
@Serializable
data class TimingSettings(
    @SerialName("address_lifetime_ms") val addressLifetimeMs: Long = 10_000,
    @SerialName("grace_ms") val graceMs: Long = 600_000,
    @SerialName("probe_interval_ms") val probeIntervalMs: Long = 1_000,
    @SerialName("load_poll_ms") val loadPollMs: Long = 1_000,
    @SerialName("host_list_poll_ms") val hostListPollMs: Long = 1_000,
    @SerialName("epoch_ms") val epochMs: Long = 300_000,
    @SerialName("snapshot_interval_ms") val snapshotIntervalMs: Long = 600_000,
    @SerialName("isolated_refusal_ms") val isolatedRefusalMs: Long = 9_000,
    @SerialName("quarantine_ms") val quarantineMs: Long = 600_000,
    @SerialName("key_lifetime_ms") val keyLifetimeMs: Long = 3_600_000,
    @SerialName("lease_ms") val leaseMs: Long = 15_000,
)

/** Format and level of the logs. */
@Serializable
data class LogSettings(val format: String = "text", val level: String = "info")

/** Parses settings from [toml], or returns all faults that can be found in one pass. */
fun parseSettings(toml: String): Result<Settings, List<SpecFault>> {
    val settings = try {
        Toml.decodeFromString(Settings.serializer(), toml)
    } catch (e: TomlDecodingException) {
        return Err(listOf(parseFault(e)))
    } catch (e: SerializationException) {
        return Err(listOf(parseFault(e)))
    }
    val faults = settings.faults()
    return if (faults.isEmpty()) Ok(settings) else Err(faults)
}

private fun parseFault(e: Exception) =
    SpecFault("settings", e.message.orEmpty().lineSequence().first(), "correct the key, see docs/SETTINGS.md")

/** A numeric setting and its valid range. */
internal class NumberSetting(val path: String, val range: LongRange, val read: (Settings) -> Long)

internal val NUMBER_SETTINGS: List<NumberSetting> = listOf(
    NumberSetting("listen.traffic_threads", 1L..64L) { it.listen.trafficThreads.toLong() },
    NumberSetting("limits.max_body_bytes", 1_024L..67_108_864L) { it.limits.maxBodyBytes.toLong() },
    NumberSetting("limits.max_answer_bytes", 1_024L..268_435_456L) { it.limits.maxAnswerBytes.toLong() },
    NumberSetting("limits.max_keys", 1L..10_000_000L) { it.limits.maxKeys.toLong() },
    NumberSetting("limits.max_suspects", 1L..1_000_000L) { it.limits.maxSuspects.toLong() },
    NumberSetting("timing.address_lifetime_ms", 0L..600_000L) { it.timing.addressLifetimeMs },
    NumberSetting("timing.grace_ms", 1_000L..3_600_000L) { it.timing.graceMs },
    NumberSetting("timing.probe_interval_ms", 20L..60_000L) { it.timing.probeIntervalMs },
    NumberSetting("timing.load_poll_ms", 20L..60_000L) { it.timing.loadPollMs },
    NumberSetting("timing.host_list_poll_ms", 20L..60_000L) { it.timing.hostListPollMs },
    NumberSetting("timing.epoch_ms", 1_000L..86_400_000L) { it.timing.epochMs },
    NumberSetting("timing.snapshot_interval_ms", 1_000L..86_400_000L) { it.timing.snapshotIntervalMs },
    NumberSetting("timing.isolated_refusal_ms", 1_000L..3_600_000L) { it.timing.isolatedRefusalMs },
    NumberSetting("timing.quarantine_ms", 1_000L..86_400_000L) { it.timing.quarantineMs },
    NumberSetting("timing.key_lifetime_ms", 1_000L..86_400_000L) { it.timing.keyLifetimeMs },
    NumberSetting("timing.lease_ms", 1_000L..600_000L) { it.timing.leaseMs },
)

private fun Settings.faults(): List<SpecFault> {
    val names = listOfNotNull(nameFault("host.id", host.id), nameFault("host.data_centre", host.dataCentre))
    val numbers = NUMBER_SETTINGS.mapNotNull { rangeFault(it.path, it.read(this), it.range) }
    val choices = listOfNotNull(
        choiceFault("logs.format", logs.format, listOf("text", "json")),
        choiceFault("logs.level", logs.level, listOf("debug", "info", "warn", "error")),
    )
    return names + addressFaults() + numbers + choices
}

private fun Settings.addressFaults(): List<SpecFault> {
    val required = listOf("listen.http" to listen.http, "listen.peer" to listen.peer, "platform.log" to platform.log)
    val optional = listOf("platform.host_list" to platform.hostList).filter { it.second.isNotEmpty() }
    val peers = platform.peers.mapIndexed { i, peer -> "platform.peers[$i]" to peer }
    return (required + optional + peers).mapNotNull { (path, address) -> addressFault(path, address) }
}

private fun nameFault(path: String, name: String): SpecFault? {
    if (name.isNotEmpty() && name.all { it.isLetterOrDigit() || it == '-' }) return null
    return SpecFault(path, "'$name' is not a valid name", "use letters, digits and '-'")
}

private fun choiceFault(path: String, value: String, choices: List<String>): SpecFault? {
    if (value in choices) return null
    return SpecFault(path, "'$value' is not a valid value", "use one of ${choices.joinToString()}")
}
