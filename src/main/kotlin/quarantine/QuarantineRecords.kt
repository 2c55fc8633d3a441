/*
 * Keeps what is held back in the platform's log, since all hosts that know of it may end together. One host of the
 * fleet, by an order that all hosts share, writes each record; a host that starts reads them before it is ready. A
 * state machine without I/O.
 */
package org.sesamerouter.quarantine

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import net.openhft.hashing.LongHashFunction

private const val RETRY_MS = 1_000L
private const val MAX_KEY_BYTES = 255
private val HASH_SEEDS = listOf(0L, 1L) // 128 bits, so that no two requests share a record
private const val MAX_KEPT_CHARACTERS = 32 // of at most four bytes each, for those who read the log
private const val MAX_RECORDS = 512 // twice the parts that a starting host is told

/** A request that is quarantined since its [crashes]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class QuarantinedRequest(@CborLabel(1) val fingerprint: String, @CborLabel(2) val crashes: List<String>)

/** Something that is held back: a part of prompts or a request. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class QuarantineRecord(
    @CborLabel(1) val part: HeldPart? = null,
    @CborLabel(2) val request: QuarantinedRequest? = null,
) {
    internal val key: String get() = part?.let { keyOf("part", it.part) }
        ?: keyOf("request", request?.fingerprint.orEmpty())

    /** Rises with what the record has to tell; a record of the same revision is not written again. */
    internal val revision: Int get() = part?.trials ?: 0
}

/** Returns the key of a record; a long [text], which callers choose, is hashed: keys of the log have 255 bytes. */
private fun keyOf(kind: String, text: String): String {
    val key = "$kind $text"
    val bytes = key.toByteArray()
    if (bytes.size <= MAX_KEY_BYTES) return key // as hosts of an earlier version wrote it
    val hash = HASH_SEEDS.joinToString(".") { LongHashFunction.xx3(it).hashBytes(bytes).toULong().toString() }
    return "$kind ${text.take(MAX_KEPT_CHARACTERS)} #$hash"
}

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    preferCborLabelsOverNames = true
    ignoreUnknownKeys = true
}

/** Returns [record] as bytes for the platform's log. */
@OptIn(ExperimentalSerializationApi::class)
fun encodeQuarantineRecord(record: QuarantineRecord): ByteArray =
    cbor.encodeToByteArray(QuarantineRecord.serializer(), record)

/** Returns the record in [bytes]; null if they are none, for example those of another writer. */
@OptIn(ExperimentalSerializationApi::class)
fun decodeQuarantineRecord(bytes: ByteArray): QuarantineRecord? = try {
    cbor.decodeFromByteArray(QuarantineRecord.serializer(), bytes).takeIf { it.part != null || it.request != null }
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}

/** A write of the record [key]; without a [record], what it told of is no longer held back. */
data class QuarantineWrite(val key: String, val record: QuarantineRecord?)

/** The records of what [quarantine] holds back. Not thread-safe. */
class QuarantineRecords(private val quarantine: Quarantine) {
    /** The revision of each record, as far as this host knows. */
    private val recorded = HashMap<String, Int>()
    private val writing = HashSet<String>()
    private var nextTryMs = Long.MIN_VALUE

    /** Whether this host knows what was held back before it started. */
    var areKnown = false
        private set

    /** Number of records that this host knows of. */
    val size: Int get() = recorded.size

    /** Applies the records [read] from the log. */
    fun onRead(read: List<QuarantineRecord>, now: Long) {
        areKnown = true
        for (record in read.take(MAX_RECORDS)) {
            recorded[record.key] = record.revision
            record.part?.let { quarantine.parts.onRecorded(it, now) }
            record.request?.let { quarantine.onRecorded(it, now) }
        }
    }

    /** Handles the state of a host that knows the records. */
    fun onPeerState() {
        areKnown = true
    }

    /** Handles that the log may have lost its newest records. */
    fun onLogRestored() = recorded.clear()

    /**
     * Returns the records to write now. Each one has one host that [isResponsible] for it; another one may have been so
     * before, so a record may be written again, which changes nothing.
     */
    fun takeWrites(now: Long, isResponsible: (String) -> Boolean): List<QuarantineWrite> {
        if (now < nextTryMs || (recorded.isEmpty() && quarantine.isEmpty)) return emptyList()
        val held = heldBack(now).associateBy { it.key }
        val changed = held.values.filter { recorded[it.key] != it.revision }.map { QuarantineWrite(it.key, it) }
        val ended = recorded.keys.filter { it !in held }.map { QuarantineWrite(it, null) }
        val (own, others) = (changed + ended).filter { it.key !in writing }.partition { isResponsible(it.key) }
        others.forEach(::onWritten)
        own.forEach { writing += it.key }
        return own
    }

    private fun heldBack(now: Long) = quarantine.parts.heldParts(now).map { QuarantineRecord(part = it) } +
        quarantine.quarantined(now).map { QuarantineRecord(request = it) }

    /** Handles that [write] was done, by this host or by the one that is responsible for it. */
    fun onWritten(write: QuarantineWrite) {
        writing -= write.key
        if (write.record == null) recorded -= write.key else recorded[write.key] = write.record.revision
    }

    /** Handles that [write] may not have been done. */
    fun onFailed(write: QuarantineWrite, now: Long) {
        writing -= write.key
        nextTryMs = now + RETRY_MS
    }
}
