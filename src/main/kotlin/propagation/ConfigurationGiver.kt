/*
 * Gives the configuration in force to other hosts, as the difference to what they have, in parts. What a host gives is
 * limited in bytes a second, so that hosts that ask at the same time do not all wait for one: the others are sent on.
 */
package org.sesamerouter.propagation

import java.util.ArrayDeque

private const val PART_BYTES = 16 * 1024
private const val GIVEN_BYTES_PER_MS = 600L // half of a link of 10 Mbit/s
private const val BURST_BYTES = 256L * 1024
private const val KEPT_VERSIONS = 6
private const val MAX_KEPT_CHARACTERS = 4 * 1024 * 1024
private const val KEPT_TRANSFERS = 8
private const val MAX_PUSHED_BYTES = 4 * 1024

/** The bytes that lead from the version [base] to another; -1 for none. */
private class Transfer(val id: TransferId, val base: Long, val bytes: ByteArray)

/** A version that was in force; the text is kept as a base of differences. */
private class KeptVersion(val version: Long, val checksum: Long, val text: String)

/** Gives configurations on one host. Not thread-safe. */
class ConfigurationGiver {
    private val kept = ArrayDeque<KeptVersion>()
    private val transfers = ArrayDeque<Transfer>()
    private var text = ""
    private var allowanceBytes = BURST_BYTES
    private var allowanceMs = 0L

    /** Version in force, -1 if none. */
    var version = -1L
        private set

    /** Checksum of the text in force. */
    var checksum = 0L
        private set

    /** The text in force, null if there is none. */
    val textInForce: String? get() = text.takeIf { version >= 0 }

    /** Records that [text], the configuration [version], is in force. */
    fun onInForce(version: Long, text: String) {
        if (this.version >= 0) {
            kept += KeptVersion(this.version, checksum, this.text)
            while (kept.size > KEPT_VERSIONS ||
                (kept.size > 1 && kept.sumOf { it.text.length } > MAX_KEPT_CHARACTERS)
            ) {
                kept.removeFirst()
            }
        }
        this.version = version
        this.text = text
        checksum = checksumOf(text.toByteArray())
    }

    /** Returns the difference from the version before, if it is small enough to be sent to all hosts. */
    fun deltaToSend(): ConfigurationDelta? {
        val previous = kept.peekLast() ?: return null
        val transfer = transferFrom(previous)
        if (transfer.bytes.size > MAX_PUSHED_BYTES) return null
        return ConfigurationDelta(previous.version, version, transfer.bytes)
    }

    /** Returns the reply to [request]. */
    fun reply(request: ConfigurationRequest, now: Long): ConfigurationReply {
        if (version <= request.version) return ConfigurationReply.NothingNewer(version)
        val begun = transfers.firstOrNull { it.id == request.transfer && request.offset in it.bytes.indices }
        val transfer = begun ?: transferFor(request)
        val offset = if (begun == null) 0 else request.offset
        val end = minOf(offset + PART_BYTES, transfer.bytes.size)
        val waitMs = withdraw(end - offset, now)
        if (waitMs > 0) return ConfigurationReply.Busy(waitMs)
        val bytes = transfer.bytes.copyOfRange(offset, end)
        return ConfigurationReply.Part(transfer.id, transfer.base, transfer.bytes.size, offset, bytes)
    }

    private fun transferFor(request: ConfigurationRequest): Transfer =
        transferFrom(kept.firstOrNull { it.version == request.version && it.checksum == request.checksum })

    private fun transferFrom(base: KeptVersion?): Transfer {
        val baseVersion = base?.version ?: -1
        transfers.firstOrNull { it.id.version == version && it.base == baseVersion }?.let { return it }
        val bytes = encodeDelta(base?.text, text)
        val transfer = Transfer(TransferId(version, checksumOf(bytes)), baseVersion, bytes)
        transfers += transfer
        if (transfers.size > KEPT_TRANSFERS) transfers.removeFirst()
        return transfer
    }

    /** Takes [bytes] from the allowance; returns the time until there will be enough, 0 if there was. */
    private fun withdraw(bytes: Int, now: Long): Long {
        allowanceBytes = minOf(BURST_BYTES, allowanceBytes + (now - allowanceMs) * GIVEN_BYTES_PER_MS)
        allowanceMs = now
        if (allowanceBytes < bytes) return (bytes - allowanceBytes) / GIVEN_BYTES_PER_MS + 1
        allowanceBytes -= bytes
        return 0
    }
}
