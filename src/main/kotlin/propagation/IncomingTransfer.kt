/*
 * The parts of a configuration that have arrived so far, from one host or several.
 */
package org.sesamerouter.propagation

import java.io.ByteArrayOutputStream

private const val MAX_TRANSFER_BYTES = 8 * 1024 * 1024

internal class IncomingTransfer {
    private val bytes = ByteArrayOutputStream()
    private var size = 0

    /** The transfer that has begun; null if none has. */
    var id: TransferId? = null
        private set

    /** Version that the transfer is the difference to, -1 for none. */
    var base = -1L
        private set

    /** Number of bytes that have arrived. */
    val received: Int get() = bytes.size()

    /** Whether all parts have arrived. */
    val isWhole: Boolean get() = id != null && received == size

    /** Adds [part], which continues the transfer or begins another one; returns whether it fits. */
    fun add(part: ConfigurationReply.Part): Boolean {
        if (part.transfer != id) reset(part)
        val isNext = part.offset == received && part.bytes.isNotEmpty()
        val fits = isNext && part.size == size && size <= MAX_TRANSFER_BYTES && received + part.bytes.size <= size
        if (fits) bytes.writeBytes(part.bytes)
        return fits
    }

    /** Returns the bytes of the whole transfer and ends it. */
    fun take(): ByteArray = bytes.toByteArray().also { clear() }

    /** Drops what has arrived. */
    fun clear() {
        id = null
        bytes.reset()
    }

    private fun reset(part: ConfigurationReply.Part) {
        id = part.transfer
        base = part.base
        size = part.size
        bytes.reset()
    }
}
