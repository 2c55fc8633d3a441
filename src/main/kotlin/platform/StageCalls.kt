/*
 * Encodes calls to stage targets and decodes their replies.
 */
package org.sesamerouter.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.sesamerouter.batching.CallItem
import org.sesamerouter.batching.PieceOutcome
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.web.ConnectionSharing
import org.sesamerouter.web.OutgoingRequest

private const val BYTES_PER_MB = 1_000_000.0

@Serializable
private data class WireItem(
    val id: String,
    val stage: Int,
    val piece: Int,
    @SerialName("left-ms") val leftMs: Long,
    val key: String? = null,
    val inputs: List<String>? = null,
)

@Serializable
private data class WireItems(val items: List<WireItem>)

@Serializable
private data class WirePieceResult(val handle: String? = null, val reason: String? = null)

@Serializable
private data class WirePieceResults(val items: List<WirePieceResult>)

@Serializable
private data class WireReport(@SerialName("free-mb") val freeMb: Double? = null)

@Serializable
private data class WireHandles(val handles: List<String>)

/** Encodes the call that runs [items] at [target]. */
fun encodeStageRun(target: TargetEntry, items: List<CallItem>): OutgoingRequest {
    val wire = items.map { item ->
        val piece = item.piece
        val inputs = piece.inputs.ifEmpty { null }
        WireItem(item.request, item.stage, piece.number, item.leftMs, piece.key, inputs)
    }
    val body = platformJson.encodeToString(WireItems.serializer(), WireItems(wire))
    return post(target, "/v1/stage-run", body, ConnectionSharing.SHARED)
}

/** Encodes the call that frees [handles] at [target]. */
fun encodeStageFree(target: TargetEntry, handles: List<String>): OutgoingRequest {
    val body = platformJson.encodeToString(WireHandles.serializer(), WireHandles(handles))
    return post(target, "/v1/stage-free", body, ConnectionSharing.UNREAD)
}

/** Encodes the call that asks [target] for its free space. */
fun encodeSpaceReport(target: TargetEntry): OutgoingRequest =
    OutgoingRequest("GET", "/v1/report", encodeTargetCall(target.address, target.id), ByteArray(0))

/** Decodes the reply to such a call into bytes; returns null if it tells no free space. */
fun decodeSpaceReport(text: String): Long? {
    val freeMb = decodeDocument(WireReport.serializer(), text)?.freeMb ?: return null
    return (freeMb * BYTES_PER_MB).toLong().takeIf { freeMb.isFinite() && freeMb >= 0 }
}

private fun post(target: TargetEntry, uri: String, body: String, sharing: ConnectionSharing): OutgoingRequest {
    val headers = encodeTargetCall(target.address, target.id)
    return OutgoingRequest("POST", uri, headers, body.toByteArray(), sharing = sharing)
}

/**
 * Decodes the reply to a call of [count] items at [target]; returns null if it is not a reply to that call. A handle
 * starts with the address of the target that created it, so a handle of another target belongs to another call.
 */
fun decodeStageRun(target: TargetEntry, count: Int, text: String): List<PieceOutcome>? {
    val items = decodeDocument(WirePieceResults.serializer(), text)?.items ?: return null
    if (items.size != count) return null
    return items.map { item ->
        when {
            item.handle != null -> {
                if (!item.handle.startsWith("${target.address}/")) return null
                PieceOutcome.Made(item.handle)
            }

            item.reason == "late" -> PieceOutcome.Late

            item.reason == "gone" -> PieceOutcome.InputGone

            item.reason == "room" -> PieceOutcome.NoRoom

            else -> PieceOutcome.Failed
        }
    }
}
