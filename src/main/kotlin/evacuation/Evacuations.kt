/*
 * The data centres that the operator has evacuated: no host sends requests or pieces to their targets. Some hosts read
 * the operator's records from the store and pass them on; the newer record of a data centre holds. After the store was
 * restored from a copy, a record may be older than one that was lost. Where it cannot be told which is newer, the
 * evacuation holds. This is a state machine without I/O.
 */
package org.sesamerouter.evacuation

import kotlinx.serialization.Serializable

/**
 * What the operator wrote last about [dataCentre], at [offset] of the store's stream in [era].
 *
 * @property isAfterRestore whether it was certainly written in this era, and is not a record of the restored copy.
 */
@Serializable
data class EvacuationRecord(
    val dataCentre: String,
    val era: Long,
    val offset: Long,
    val isInForce: Boolean,
    val isAfterRestore: Boolean = false,
) {
    /** Whether this record holds in place of [other] about the same data centre. */
    fun supersedes(other: EvacuationRecord): Boolean = when {
        era == other.era -> offset > other.offset

        // The copy has the records of the era before up to some offset, where new ones follow.
        era > other.era -> isInForce || isAfterRestore || offset > other.offset

        else -> !other.supersedes(this)
    }
}

/**
 * What a host knows: its [records], and that there were no others before [end] of the stream in [era]; [end] is -1 if
 * it does not know that, as in a message about changes.
 */
@Serializable
data class EvacuationState(val records: List<EvacuationRecord>, val era: Long = 0, val end: Long = -1)

/** The record of one data centre in a read; it is evacuated if the key [hasValue]. */
data class EvacuationKey(val dataCentre: String, val offset: Long, val hasValue: Boolean)

/** A read of the operator's keys up to [end] (exclusive); a [full] one has all that exist. */
data class EvacuationRead(val keys: List<EvacuationKey>, val end: Long, val era: Long, val full: Boolean)

/** The evacuations known to one host. Not thread-safe. */
class Evacuations {
    private val records = HashMap<String, EvacuationRecord>()
    private var era = -1L

    /** End of the stream when this host first read it in [era]. */
    private var eraStart = Long.MAX_VALUE

    /** Era and end of the newest full read of this host or a peer: records before it that it lacks do not hold. */
    private var fullEra = -1L
    private var fullEnd = -1L

    /** Whether this host or a peer has read all keys since this host started. */
    val areKnown: Boolean get() = fullEnd >= 0

    /** The data centres that are evacuated. */
    @Volatile
    var inForce: Set<String> = emptySet()
        private set

    /** What this host knows, for other hosts. */
    val state: EvacuationState get() = EvacuationState(records.values.toList(), fullEra, fullEnd)

    /** Applies a read of the store by this host. Returns the records that are new to it. */
    fun onRead(read: EvacuationRead): List<EvacuationRecord> {
        if (read.era < era) return emptyList()
        if (read.era > era) {
            // On the first read of all, nothing is known that the records could be newer than.
            era = read.era
            eraStart = read.end
        }
        val found = read.keys.map {
            EvacuationRecord(it.dataCentre, era, it.offset, it.hasValue, isAfterRestore = it.offset >= eraStart)
        }
        return if (read.full) onPeer(EvacuationState(found, read.era, read.end)) else apply(found)
    }

    /** Applies what another host knows or has just read. Returns the records that are new to this one. */
    fun onPeer(received: EvacuationState): List<EvacuationRecord> {
        val isNewer = received.era > fullEra || (received.era == fullEra && received.end > fullEnd)
        if (received.end < 0 || !isNewer) return apply(received.records.filterNot(::isObsolete))
        val changes = apply(received.records.filterNot(::isObsolete) + missing(received))
        fullEra = received.era
        fullEnd = received.end
        return changes
    }

    /** Whether a record of a peer was replaced before the newest full read, which may lack what replaced it. */
    private fun isObsolete(record: EvacuationRecord) = record.era == fullEra && record.offset < fullEnd

    /** A key that a full read lacks was removed, unless the restored store has lost it. */
    private fun missing(read: EvacuationState): List<EvacuationRecord> {
        val listed = read.records.associate { it.dataCentre to it.offset }
        return records.values
            .filter { it.isInForce && it.era == read.era && it.offset < read.end }
            .filter { record -> listed[record.dataCentre].let { it == null || it < record.offset } }
            .map { it.copy(offset = read.end - 1, isInForce = false) }
    }

    private fun apply(received: List<EvacuationRecord>): List<EvacuationRecord> {
        val newer = received.filter { record ->
            val isNewer = records[record.dataCentre]?.let { record.supersedes(it) } ?: true
            if (isNewer) records[record.dataCentre] = record
            isNewer
        }
        if (newer.isNotEmpty()) inForce = records.values.filter { it.isInForce }.mapTo(HashSet()) { it.dataCentre }
        return newer
    }
}
