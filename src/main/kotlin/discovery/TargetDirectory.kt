/*
 * Target discovery, based on the entries that targets write into the platform's store. Entries that expire during an
 * outage of the store stay in use until some time after its recovery, since their targets could not renew them. Hosts
 * pass changes on to each other; the era and the offset decide which change is newer. This is a state machine without
 * I/O.
 *
 * When the store is restored from a copy, its era rises and its newest records are lost until their writers write them
 * again. The records of the copy are then older than what is known here: they do not bring back a target that was
 * removed or is draining, and a target that they lack is kept for a while.
 */
package org.sesamerouter.discovery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

private const val STORE_OUTAGE_AFTER_MS = 1_300L // three consecutive reads are missing
private const val RECOVERY_HOLD_MS = 2_200L // targets renew their entries within about 2 s after the store recovers
private const val RECOVERY_WINDOW_MS = 1_500L // removals read this soon after a recovery happened during the outage
private const val NEW_ERA_MS = 10_000L // by then each target has renewed its entry several times

/**
 * The discovery entry of a target.
 *
 * @property startTimeMs start time of the target's process on its own clock; a different value is another incarnation.
 * @property coldLeftMs how much longer the target stays cold, from when it wrote the entry.
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
    val coldLeftMs: Long = 0,
)

/** One incarnation of a target. */
@Serializable
data class TargetIncarnation(val id: String, val startTimeMs: Long)

/** A change at [offset] of the store's stream; [entry] is null if it was removed or describes no usable target. */
@Serializable
data class EntryChange(val id: String, val offset: Long, val entry: TargetEntry?)

/**
 * What was read of the stream. A host that knows all changes before [from] knows all before [end] once it has applied
 * [changes], which may hold some later ones too; [end] never claims more. A [full] read lists all existing entries and
 * holds for any host. Of other reads, a host passes on what its own knowledge at [from] lacked: a host that knew of
 * another change meanwhile cannot go on from them.
 *
 * @property unreadable targets whose newest record, of another writer, is none; what was known of them holds.
 * @property latest offset before which a full read may have left out targets that were removed at [end] or later.
 */
@Serializable
data class EntryRead(
    val from: Long,
    val end: Long,
    val full: Boolean,
    val changes: List<EntryChange>,
    val era: Long = 0,
    val latest: Long = end,
    @Transient val unreadable: Set<String> = emptySet(),
)

/**
 * What a read meant for a host.
 *
 * @property altering the changes that altered an entry of this host; most records only renew an entry.
 * @property forPeers the changes that other hosts may not know.
 * @property knownFrom the offset from which [forPeers] has all changes.
 */
data class ReadResult(val altering: List<EntryChange>, val forPeers: List<EntryChange>, val knownFrom: Long)

/** The targets known to one host. Not thread-safe. */
class TargetDirectory {
    private class KnownEntry(
        var entry: TargetEntry?,
        var position: StreamPosition,
        val firstPosition: StreamPosition = position,
    ) {
        /** Start time of the target, also after its entry was removed. */
        val startTimeMs = entry?.startTimeMs
    }

    private val known = HashMap<String, KnownEntry>()
    private val removalTimes = HashMap<String, Long>()

    /** Start times by id of the targets that announced in a response that they are leaving. */
    private val leavingSince = HashMap<String, Long>()

    /** End of the stream when this host first saw [era]: records at lower offsets may stem from the restored copy. */
    private var eraStart = 0L
    private var eraSeenAtMs = Long.MIN_VALUE / 2

    /** Targets whose record in the restored copy was not believed; a renewed entry shows whether they live. */
    private val doubtful = HashSet<String>()
    private var outageSinceMs = -1L
    private var holdUntilMs = Long.MIN_VALUE / 2
    private var recoveredAtMs = Long.MIN_VALUE / 2

    /** Newest known era of the store. */
    var era = 0L
        private set

    /** Offset up to which the stream of [era] is known; -1 before a full read. */
    var position = -1L
        private set

    /** Offset up to which the stream was known before the position was reset, -1 if it was not. */
    private var lastPosition = -1L

    /**
     * Offset before which this host may have left out removed targets that it knew nothing else of. Only from there on
     * it can tell other hosts what a list changed.
     */
    private var completeFrom = 0L

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

    /** Whether this host has to read the stream itself, since other hosts do not pass renewed entries on. */
    val needsRenewals: Boolean get() = doubtful.isNotEmpty()

    /** Applies a read made [ageMs] ago by this host or a peer. */
    fun onRead(read: EntryRead, ageMs: Long, now: Long): ReadResult {
        if (read.era < era) return ReadResult(emptyList(), emptyList(), read.end)
        recordStoreRead(now - ageMs, now)
        if (read.era > era) startEra(read, now)
        val knownFrom = if (read.full) knownFromOf(read) else read.from
        val isContiguous = read.full || (position in read.from..read.end && !contradicts(read))
        val forPeers = read.changes.filterNot { isKnownRenewal(it, read.copy(from = knownFrom), now) } +
            (if (read.full) removedSince(knownFrom, read) else emptyList())
        val altering = read.changes.filter { isNewer(it, read.era) }.filter { applyChange(it, read.era, now) }
        val removed = if (read.full) removeMissing(read, now) else emptyList()
        if (isContiguous) {
            position = maxOf(position, read.end)
            if (read.full) completeFrom = maxOf(completeFrom, read.latest)
            isReady = true
            lastContiguousReadMs = maxOf(lastContiguousReadMs, now - ageMs)
        }
        updateTargets(now)
        return ReadResult(altering + removed, forPeers + removed, knownFrom)
    }

    /** The newest offset from which this host can tell others what a list changed; -1 if there is none. */
    private val completePosition: Long
        get() = if (position >= completeFrom) maxOf(position, lastPosition) else lastPosition

    /** Returns the offset from which this host can tell others what the list [read] changed. */
    private fun knownFromOf(read: EntryRead): Long =
        if (completePosition < 0) read.end else minOf(completePosition, read.end)

    /** Returns the removals from offset [from] on that this host knew before it read the list [read]. */
    private fun removedSince(from: Long, read: EntryRead): List<EntryChange> {
        val listed = read.changes.mapTo(HashSet()) { it.id }
        return known.filter { (id, record) ->
            record.entry == null && id !in listed && record.position.era == read.era && record.position.offset >= from
        }.map { (id, record) -> EntryChange(id, record.position.offset, null) }
    }

    /**
     * Whether [read] has no word of a change within it that this host knows. Its reader did not know of that change and
     * took what followed for a renewal of what it knew.
     */
    private fun contradicts(read: EntryRead): Boolean {
        if (read.from >= read.end) return false // most reads: nothing was written since the last one
        val unnamed = known.filter { (id, record) -> changedAt(id, record, read.era) in read.from until read.end }.keys
        return unnamed.isNotEmpty() && !read.changes.mapTo(HashSet()) { it.id }.containsAll(unnamed)
    }

    /** The offset of the last change of [record] that was no renewal; -1 if it was not in [era]. */
    private fun changedAt(id: String, record: KnownEntry, era: Long): Long {
        val isRemoved = record.entry == null || id in removalTimes
        val changed = if (isRemoved) record.position else record.firstPosition
        return if (changed.era == era) changed.offset else -1
    }

    /**
     * Whether all hosts that know the stream up to the start of [read] know the entry that [change] renews. Of one that
     * was removed and is held, they know the removal.
     */
    private fun isKnownRenewal(change: EntryChange, read: EntryRead, now: Long): Boolean {
        val entry = change.entry?.takeIf { change.id !in removalTimes } ?: return false
        val previous = known[change.id] ?: return false
        val isOld = previous.firstPosition.era == read.era && previous.firstPosition.offset < read.from
        return isOld && !entry.isDraining && previous.entry == entry && now - eraSeenAtMs >= NEW_ERA_MS
    }

    /** Whether [read] ends after the part of the stream that this host knows. */
    fun isBehind(read: EntryRead): Boolean = read.era > era || (read.era == era && read.end > position)

    /** The targets that announced in a response that they are leaving. */
    val leaving: List<TargetIncarnation> get() = leavingSince.map { TargetIncarnation(it.key, it.value) }

    /**
     * Records that [target] announced in a response that it is leaving. This holds until it starts anew. Returns
     * whether it was in use until now.
     */
    fun onLeaving(target: TargetIncarnation, now: Long): Boolean {
        val entry = targets[target.id] ?: return false
        if (entry.startTimeMs != target.startTimeMs || entry.isDraining) return false
        leavingSince[target.id] = target.startTimeMs
        updateTargets(now)
        return true
    }

    /**
     * Returns all targets as a full read, for hosts that cannot read the store; null without a known position. Entries
     * that the store lacks or lists in an older state are left out.
     */
    fun snapshot(): EntryRead? {
        if (position < 0) return null
        val changes = known.filter { (id, record) -> record.position.era == era && id !in removalTimes }
            .mapNotNull { (id, record) -> record.entry?.let { EntryChange(id, record.position.offset, it) } }
        val latest = known.values.filter { it.position.era == era }.maxOfOrNull { it.position.offset + 1 } ?: position
        return EntryRead(0, position, full = true, changes, era, maxOf(position, latest))
    }

    /** Resets the position, so that the next read is a full one. */
    fun resetPosition() {
        lastPosition = completePosition
        position = -1
    }

    /** Detects outages of the store and removes entries whose hold expired; returns true if the targets changed. */
    fun onTick(now: Long): Boolean {
        if (isReady && outageSinceMs < 0 && now - lastStoreReadMs >= STORE_OUTAGE_AFTER_MS) outageSinceMs = now
        if (now - eraSeenAtMs >= NEW_ERA_MS) doubtful.clear()
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

    /** Writers need some time to write again what a restored store lost, as they do after an outage. */
    private fun startEra(read: EntryRead, now: Long) {
        era = read.era
        eraStart = read.end
        eraSeenAtMs = now
        doubtful.clear()
        position = -1
        lastPosition = -1
        completeFrom = 0
        recoveredAtMs = now
        holdUntilMs = now + RECOVERY_HOLD_MS
    }

    private fun isNewer(change: EntryChange, era: Long): Boolean {
        // A change that this host knows of without knowing the target was followed by a removal.
        val previous = known[change.id] ?: return change.entry != null && change.offset >= position
        return when {
            previous.position.era == era -> change.offset > previous.position.offset

            change.offset >= eraStart -> true

            isConsistentWithCopy(change, previous) -> true

            else -> {
                doubtful += change.id
                false
            }
        }
    }

    /** Whether a record that may stem from the restored copy is not older than [previous]. */
    private fun isConsistentWithCopy(change: EntryChange, previous: KnownEntry): Boolean {
        val entry = change.entry ?: return true
        val knownStartMs = previous.startTimeMs ?: return true
        if (entry.startTimeMs != knownStartMs) return entry.startTimeMs > knownStartMs
        val known = previous.entry ?: return false
        return entry.isDraining || !known.isDraining
    }

    /** Applies [change]; returns whether it altered the entry. */
    private fun applyChange(change: EntryChange, era: Long, now: Long): Boolean {
        val previous = known[change.id]
        val position = StreamPosition(era, change.offset)
        doubtful -= change.id
        if (change.entry != null || previous == null) {
            val isRenewal = previous != null && previous.entry == change.entry && previous.position.era == era
            val firstPosition = if (isRenewal) checkNotNull(previous).firstPosition else position
            known[change.id] = KnownEntry(change.entry, position, firstPosition)
            val wasHeld = removalTimes.remove(change.id) != null
            return wasHeld || previous?.entry != change.entry
        }
        val existed = previous.entry != null
        previous.position = position
        remove(change.id, previous, now)
        return existed
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
        val listed = read.changes.mapTo(HashSet(read.unreadable)) { it.id }
        val removed = known.filter { (id, record) ->
            val isOlder = record.position.era < read.era || record.position.offset < read.end
            id !in listed && record.entry != null && isOlder
        }
        removed.forEach { (id, record) ->
            record.position = StreamPosition(read.era, read.end - 1)
            remove(id, record, now)
        }
        return removed.map { EntryChange(it.key, read.end - 1, null) }
    }

    private fun updateTargets(now: Long) {
        targets = known.mapNotNull { (id, record) -> record.entry?.let { id to withLeaving(it) } }.toMap()
        leavingSince.keys.retainAll(known.keys)
        if (known.size <= MAX_KNOWN_ENTRIES || now - lastStoreReadMs >= STORE_OUTAGE_AFTER_MS) return
        known.values.removeIf { it.entry == null }
    }

    private fun withLeaving(entry: TargetEntry): TargetEntry =
        if (leavingSince[entry.id] == entry.startTimeMs) entry.copy(isDraining = true) else entry

    private companion object {
        const val MAX_KNOWN_ENTRIES = 20_000 // removed ids are kept so that older records of them are recognised
    }
}
