/*
 * Decodes the operator's declarations and the discovery entries of targets from the platform's JSON.
 */
package org.sesamerouter.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec
import org.sesamerouter.serving.CallerOrganisation
import org.sesamerouter.serving.ColdStart
import org.sesamerouter.serving.EngineSpec
import org.sesamerouter.serving.Route
import org.sesamerouter.serving.RouteKind
import org.sesamerouter.serving.ServiceShare
import org.sesamerouter.serving.ServiceSpec
import org.sesamerouter.serving.ServingConfig
import org.sesamerouter.serving.StageSpec
import org.sesamerouter.web.RequestLimits

private const val BYTES_PER_MB = 1_000_000.0
private const val MS_PER_S = 1_000.0
private const val DEFAULT_RANK = 5.0
private const val MAX_ADDRESS_BYTE = 255
private const val MAX_PORT = 65_535
private const val DEFAULT_CONNECTIONS = 64.0
private const val MAX_DECLARED_COUNT = 1_000_000_000 // sums of two are still an Int
private const val MAX_DECLARED_MS = 1e12 // 30 years; sums of times do not overflow
private const val MAX_DECLARED_BYTES = 1_000_000_000_000_000L // sums over all targets do not overflow
internal const val MAX_COLD_MS = 60_000.0 // a longer time is more likely a fault of the writer

@Serializable
private data class WireConfig(
    val version: Long,
    val routes: List<WireRoute>,
    val services: List<WireService>,
    val tenants: List<WireTenant> = emptyList(),
    val limits: WireLimits = WireLimits(),
)

@Serializable
private data class WireRoute(
    val name: String,
    val host: String,
    @SerialName("path-prefix") val pathPrefix: String,
    val kind: String,
    @SerialName("timeout-ms") val timeoutMs: Double,
    @SerialName("target-latency-ms") val targetLatencyMs: Double = 0.0,
    val priority: Double = DEFAULT_RANK,
    val service: String? = null,
    val split: List<WireShare> = emptyList(),
    @SerialName("max-attempts") val maxAttempts: Double = 1.0,
    val stages: List<WireStage> = emptyList(),
    val public: Boolean = false,
    val resumable: Boolean = false,
    @SerialName("gap-aim-ms") val gapAimMs: Double = 0.0,
    @SerialName("allowed-regions") val allowedRegions: List<String>? = null,
)

@Serializable
private data class WireShare(val service: String, val weight: Double)

@Serializable
private data class WireStage(val service: String, val after: List<Int> = emptyList(), val bytes: Double = 0.0)

@Serializable
private data class WireService(
    val name: String,
    @SerialName("health-path") val healthPath: String = "/health",
    @SerialName("max-conns") val maxConns: Double = DEFAULT_CONNECTIONS,
    val pieces: WirePieces? = null,
    val engine: WireEngine? = null,
    @SerialName("cold-start-s") val coldStartS: Double = 0.0,
    @SerialName("cold-per-s") val coldPerS: Double = 0.0,
)

@Serializable
private data class WirePieces(
    val slots: Double = 1.0,
    val batch: Double = 1.0,
    @SerialName("call-ms") val callMs: Double = 0.0,
    @SerialName("item-ms") val itemMs: Double = 0.0,
    @SerialName("headroom-mb") val headroomMb: Double = 0.0,
    @SerialName("handle-s") val handleS: Double = 60.0,
)

@Serializable
private data class WireEngine(val slots: Double = 1.0, @SerialName("kv-capacity") val kvCapacity: Double = 0.0)

@Serializable
private data class WireTenant(
    val name: String,
    @SerialName("api-keys") val apiKeys: List<String> = emptyList(),
    val priority: Double? = null,
    @SerialName("allowed-regions") val allowedRegions: List<String>? = null,
)

@Serializable
private data class WireLimits(
    @SerialName("max-header-bytes") val maxHeaderBytes: Double = 16_384.0,
    @SerialName("max-body-bytes") val maxBodyBytes: Double = 4.0 * 1024 * 1024,
    @SerialName("max-header-lines") val maxHeaderLines: Double? = null,
    @SerialName("header-timeout-ms") val headerTimeoutMs: Double = 10_000.0,
    @SerialName("idle-timeout-ms") val idleTimeoutMs: Double = 60_000.0,
)

/** Decodes the declarations in [text]; returns null if it is not a valid configuration. */
fun decodeServingConfig(text: String): ServingConfig? = decodeDocument(WireConfig.serializer(), text)?.toModel()

private fun WireConfig.toModel() = ServingConfig(
    version,
    routes.map { it.toModel() },
    services.associate { it.name to it.toModel() },
    tenants.map {
        CallerOrganisation(it.name, it.priority?.toInt(), it.apiKeys.toSet(), it.allowedRegions.toRegions())
    },
    RequestLimits(
        limits.maxHeaderBytes.toCount(0),
        limits.maxBodyBytes.toCount(0),
        limits.headerTimeoutMs.coerceIn(0.0, MAX_DECLARED_MS).toLong(),
        limits.idleTimeoutMs.coerceIn(0.0, MAX_DECLARED_MS).toLong(),
    ).run { copy(maxHeaderLines = limits.maxHeaderLines?.toCount(0) ?: maxHeaderLines) },
)

private fun WireRoute.toModel() = Route(
    name = name,
    authority = host,
    pathPrefix = pathPrefix,
    kind = when (kind) {
        "safe" -> RouteKind.SAFE
        "streaming" -> RouteKind.STREAM
        else -> RouteKind.UNSAFE
    },
    isResumable = resumable && kind == "streaming",
    timeoutMs = timeoutMs.coerceIn(0.0, MAX_DECLARED_MS).toLong(),
    objectiveMs = targetLatencyMs.coerceIn(0.0, MAX_DECLARED_MS).toLong(),
    rank = priority.toInt(),
    shares = split.map {
        ServiceShare(it.service, it.weight.toCount(0))
    }.ifEmpty { listOfNotNull(service?.let(::fullShare)) },
    maxAttempts = maxAttempts.toCount(1),
    stages = stages.map { StageSpec(it.service, it.after, it.bytes.toLong().coerceIn(0, MAX_DECLARED_BYTES)) },
    isPublic = public,
    gapObjectiveMs = gapAimMs.coerceIn(0.0, MAX_DECLARED_MS).toLong(),
    allowedRegions = allowedRegions.toRegions(),
)

/** Returns a declared count as an Int from [least] on; one that is too large for an Int means no bound. */
private fun Double.toCount(least: Int): Int = toInt().coerceIn(least, MAX_DECLARED_COUNT)

/** An empty list states nothing: a route without any region would be of no use. */
private fun List<String>?.toRegions(): Set<String>? = this?.toSet()?.takeIf { it.isNotEmpty() }

private fun fullShare(service: String) = ServiceShare(service, 1)

private fun WireService.toModel() = ServiceSpec(
    name,
    healthPath,
    maxConns.toCount(1),
    // Despite its name, 'headroom' is the whole space for results.
    pieces?.let {
        BatchSpec(
            it.slots.toCount(1),
            it.batch.toCount(1),
            it.callMs.coerceIn(0.0, MAX_DECLARED_MS),
            it.itemMs.coerceIn(0.0, MAX_DECLARED_MS),
            (it.headroomMb * BYTES_PER_MB).toLong().coerceIn(0, MAX_DECLARED_BYTES),
            (it.handleS * MS_PER_S).coerceIn(0.0, MAX_DECLARED_MS).toLong(),
        )
    },
    engine?.let { EngineSpec(it.slots.toCount(1), it.kvCapacity.toLong().coerceIn(0, MAX_DECLARED_BYTES)) },
    // Without a rate, targets take their full load from the start.
    if (coldPerS > 0) ColdStart((maxOf(0.0, coldStartS) * MS_PER_S).toLong(), coldPerS) else null,
)

/**
 * Decodes the discovery entry of the target [id]; returns null if it names no target. One that lacks a field of the
 * platform's list, or has one of another type, is that of another writer, whatever its other fields say.
 */
fun decodeTargetEntry(id: String, text: String): TargetEntry? {
    val fields = decodeDocument(JsonElement.serializer(), text) as? JsonObject ?: return null
    val state = fields.text("state")
    if (state !in setOf("ready", "draining")) return null
    if (fields.text("version") == null || fields.number("seq-no")?.longOrNull == null) return null
    return TargetEntry(
        id = id,
        service = fields.text("service") ?: return null,
        address = fields.text("address")?.takeIf(::isAddress) ?: return null,
        dataCentre = fields.text("zone") ?: return null,
        slots = fields.number("slots")?.intOrNull ?: return null,
        isDraining = state == "draining",
        // 'born' is the start time of the process. The list of fields and the platform's example do not have it.
        startTimeMs = if ("born" in fields) fields.number("born")?.longOrNull ?: return null else 0,
        coldLeftMs = fields.number("cold-left-ms")?.doubleOrNull?.coerceIn(0.0, MAX_COLD_MS)?.toLong() ?: return null,
    )
}

/** Whether [text] is an entry at all, be it one that names no target. */
fun isReadableEntry(text: String): Boolean = decodeDocument(JsonElement.serializer(), text) is JsonObject

/** Whether [text] is an address and port that a connection can be opened to. */
fun isAddress(text: String): Boolean {
    val numbers = ADDRESS.matchEntire(text)?.destructured?.toList()?.map { it.toInt() } ?: return false
    return numbers.dropLast(1).all { it in 0..MAX_ADDRESS_BYTE } && numbers.last() in 1..MAX_PORT
}

private val ADDRESS = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")

private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun JsonObject.number(name: String): JsonPrimitive? = this[name].asNumber()

private fun JsonElement?.asNumber(): JsonPrimitive? =
    (this as? JsonPrimitive)?.takeIf { !it.isString && it.booleanOrNull == null }
