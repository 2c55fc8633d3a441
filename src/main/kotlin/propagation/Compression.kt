/*
 * Compression of what hosts send to each other.
 */
package org.sesamerouter.propagation

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

private const val BUFFER_BYTES = 8 * 1024
private const val MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024

/** Returns [bytes] compressed. */
internal fun compress(bytes: ByteArray): ByteArray {
    val deflater = Deflater(Deflater.BEST_SPEED)
    try {
        deflater.setInput(bytes)
        deflater.finish()
        val out = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (!deflater.finished()) out.write(buffer, 0, deflater.deflate(buffer))
        return out.toByteArray()
    } finally {
        deflater.end()
    }
}

/** Returns the decompressed [bytes]; null if they are invalid, cut or longer than [maxBytes]. */
internal fun decompress(bytes: ByteArray, maxBytes: Int = MAX_DECOMPRESSED_BYTES): ByteArray? {
    val inflater = Inflater()
    try {
        inflater.setInput(bytes)
        val out = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (!inflater.finished()) {
            val count = inflater.inflate(buffer)
            if (count == 0 && !inflater.finished()) return null
            out.write(buffer, 0, count)
            if (out.size() > maxBytes) return null
        }
        return out.toByteArray()
    } catch (_: DataFormatException) {
        return null
    } finally {
        inflater.end()
    }
}
