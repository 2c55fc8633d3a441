/*
 * Target discovery, based on the entries that targets write into the platform's store. Entries that expire during an
 * outage of the store stay in use until some time after its recovery, since their targets could not renew them. Hosts
 * pass changes on to each other; the offset decides which change is newer. This is a state machine without I/O.
 */
package org.sesamerouter.discovery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

private const val STORE_OUTAGE_AFTER_MS = 1_300L // three consecutive reads are missing
private const val RECOVERY_HOLD_MS = 2_200L // targets renew their entries within about 2 s after the store recovers
private const val RECOVERY_WINDOW_MS = 1_500L // removals read this soon after a recovery happened during the outage

/**
 * The discovery entry of a target.
 *
 * @property startTimeMs start time of the target's process on its own clock; a different value is another incarnation.
 */
@Serializable
data class TargetEntry(
    val id: String,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val isDraining: Boolean,
    @SerialName("bornMs") val startTimeMs: Long,
)

/** A change at [offset] of the store's stream; [entry] is null if it was removed or describes no usable target. */
@Serializable
data class EntryChange(val id: String, val offset: Long, val entry: TargetEntry?)

/** A read of the stream from offset [from] to [end] (exclusive); a [full] one lists all existing entries. */
@Serializable
data class EntryRead(val from: Long, val end: Long, val full: Boolean, val changes: List<EntryChange>)

/** The targets known to one host. Not thread-safe. */
class TargetDirectory {
    private class KnownEntry(var entry: TargetEntry?, var offset: Long)

    private val known = HashMap<String, KnownEntry>()
    private val removalTimes = HashMap<String, Long>()
    private var outageSinceMs = -1L
    private var holdUntilMs = Long.MIN_VALUE / 2
    private var recoveredAtMs = Long.MIN_VALUE / 2

    /** Offset up to which the stream is known; -1 before a full read. */
    var position = -1L
        private set

    /** Time of the newest read that left no gap after the known part of the stream. */
    var lastContiguousReadMs = Long.MIN_VALUE / 2
        private set

    /** Time of the last successful read of the store by any host. */
    private var lastStoreReadMs = Long.MIN_VALUE / 2

    /** All targets by id, including draining ones. */
    var targets: Map<String, TargetEntry> = emptyMap()
        private set

    /** Whether a full read was ever received. */
    var isReady = false
        private set

    /** Applies a read made [ageMs] ago by this host or a peer. Returns the changes that were new to this host. */
    fun onRead(read: EntryRead, ageMs: Long, now: Long): List<EntryChange> {
        recordStoreRead(now - ageMs, now)
        val newer = read.changes.filter { isNewer(it) }
        newer.forEach { applyChange(it, now) }
        val removed = if (read.full) removeMissing(read, now) else emptyList()
        if (read.full || (position in read.from..read.end)) {
            position = maxOf(position, read.end)
            isReady = true
            lastContiguousReadMs = maxOf(lastContiguousReadMs, now - ageMs)
        }
        updateTargets(now)
        return newer + removed
    }

    /** Returns all targets as a full read, for hosts that cannot read the store; null without a known position. */
    fun snapshot(): EntryRead? {
        if (position < 0) return null
        val changes = known.mapNotNull { (id, record) -> record.entry?.let { EntryChange(id, record.offset, it) } }
        return EntryRead(0, position, full = true, changes)
    }

    /** Resets the position, so that the next read is a full one. */
    fun resetPosition() {
        position = -1
    }

    /** Detects outages of the store and removes entries whose hold expired; returns true if the targets changed. */
    fun onTick(now: Long): Boolean {
        if (isReady && outageSinceMs < 0 && now - lastStoreReadMs >= STORE_OUTAGE_AFTER_MS) outageSinceMs = now
        if (removalTimes.isEmpty()) return false
        val expired = removalTimes.filterValues { it <= now }.keys
        expired.forEach { id ->
            removalTimes.remove(id)
            known[id]?.entry = null
        }
        if (expired.isNotEmpty()) updateTargets(now)
        return expired.isNotEmpty()
    }

    private fun recordStoreRead(readMs: Long, now: Long) {
        if (readMs <= lastStoreReadMs) return
        if (outageSinceMs in 0..readMs) {
            outageSinceMs = -1
            recoveredAtMs = now
            holdUntilMs = now + RECOVERY_HOLD_MS
        }
        lastStoreReadMs = readMs
    }

    private fun isNewer(change: EntryChange): Boolean {
        val previous = known[change.id] ?: return change.entry != null
        return change.offset > previous.offset
    }

    private fun applyChange(change: EntryChange, now: Long) {
        val previous = known[change.id]
        if (change.entry != null || previous == null) {
            known[change.id] = KnownEntry(change.entry, change.offset)
            removalTimes.remove(change.id)
            return
        }
        previous.offset = change.offset
        remove(change.id, previous, now)
    }

    private fun remove(id: String, previous: KnownEntry, now: Long) {
        val mayBeRenewed = outageSinceMs >= 0 || now - recoveredAtMs < RECOVERY_WINDOW_MS
        if (mayBeRenewed && previous.entry?.isDraining == false) {
            removalTimes.putIfAbsent(id, maxOf(holdUntilMs, now))
        } else {
            previous.entry = null
            removalTimes.remove(id)
        }
    }

    private fun removeMissing(read: EntryRead, now: Long): List<EntryChange> {
        val listed = read.changes.mapTo(HashSet()) { it.id }
        val removed = known.filter { (id, record) -> id !in listed && record.entry != null && record.offset < read.end }
        removed.forEach { (id, record) ->
            record.offset = read.end - 1
            remove(id, record, now)
        }
        return removed.map { EntryChange(it.key, read.end - 1, null) }
    }

    private fun updateTargets(now: Long) {
        targets = known.mapNotNull { (id, record) -> record.entry?.let { id to it } }.toMap()
        if (known.size <= MAX_KNOWN_ENTRIES || now - lastStoreReadMs >= STORE_OUTAGE_AFTER_MS) return
        known.values.removeIf { it.entry == null }
    }

    private companion object {
        const val MAX_KNOWN_ENTRIES = 20_000 // removed ids are kept so that older records of them are recognised
    }
}
