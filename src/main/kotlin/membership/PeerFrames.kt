/*
 * Encodes and decodes the frames and datagrams of the link between hosts.
 */
package org.sesamerouter.membership

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.sesamerouter.propagation.compress
import org.sesamerouter.propagation.decompress
import java.io.IOException

internal const val FRAME_VERSION: Byte = 3
internal const val COMPRESSED_FRAME_VERSION: Byte = 4
internal const val FRAME_HEADER_BYTES = 5
private const val MIN_COMPRESSED_BYTES = 1_024 // smaller frames fit into one packet anyway

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    ignoreUnknownKeys = true
    preferCborLabelsOverNames = true
}

/** Encodes [message] as the payload of a datagram. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeProbe(message: ProbeMessage): ByteArray = cbor.encodeToByteArray(ProbeMessage.serializer(), message)

@OptIn(ExperimentalSerializationApi::class)
internal fun decodeProbe(bytes: ByteArray): ProbeMessage? = decodeOrNull {
    cbor.decodeFromByteArray(ProbeMessage.serializer(), bytes)
}

/**
 * Encodes [frame] with its header; a large one is compressed if that makes it smaller. Returns null if it has over
 * [maxBytes], also before it is compressed.
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(frame: PeerFrame, maxBytes: Int = Int.MAX_VALUE): ByteBuf? {
    val bytes = cbor.encodeToByteArray(PeerFrame.serializer(), frame)
    if (bytes.size > maxBytes) return null
    val compressed = if (bytes.size >= MIN_COMPRESSED_BYTES) compress(bytes).takeIf { it.size < bytes.size } else null
    val version = if (compressed == null) FRAME_VERSION else COMPRESSED_FRAME_VERSION
    val content = compressed ?: bytes
    val header = Unpooled.buffer(FRAME_HEADER_BYTES).writeByte(version.toInt()).writeInt(content.size)
    return Unpooled.wrappedBuffer(header, Unpooled.wrappedBuffer(content))
}

/** Decodes the content [bytes] of a frame of [version] with up to [maxBytes]; null if it is none. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeFrame(version: Byte, bytes: ByteArray, maxBytes: Int): PeerFrame? {
    val content = if (version == COMPRESSED_FRAME_VERSION) decompress(bytes, maxBytes) else bytes
    return content?.let { decodeOrNull { cbor.decodeFromByteArray(PeerFrame.serializer(), it) } }
}

/** Decodes untrusted bytes. Any exception that the codec throws means that they are not a valid message. */
private fun <T> decodeOrNull(decode: () -> T): T? = try {
    decode()
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
} catch (_: IllegalStateException) {
    null
} catch (_: IndexOutOfBoundsException) {
    null
} catch (_: IOException) {
    null
}
