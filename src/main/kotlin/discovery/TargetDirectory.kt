/*
 * Which targets there are, from the entries that targets write into the platform's store. Entries that lapse while the
 * store is away stay in use until it has been back for a while, since their targets could not renew them. Hosts pass
 * changes to each other; offsets decide which is newer. A state machine without I/O.
 */
package org.sesamerouter.discovery

import kotlinx.serialization.Serializable

private const val STORE_AWAY_MS = 1_300L // three reads in a row went missing
private const val RETURN_HOLD_MS = 2_200L // targets renew their entries within about 2 s of the store's return
private const val RETURN_WINDOW_MS = 1_500L // removals that were read this soon after a return happened before it

/**
 * One target.
 *
 * @property bornMs start of the target's process on its own clock; another value is another incarnation.
 */
@Serializable
data class TargetEntry(
    val id: String,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val isDraining: Boolean,
    val bornMs: Long,
)

/** A change at [offset] of the store's stream; without [entry] the target's entry went or names no usable target. */
@Serializable
data class EntryChange(val id: String, val offset: Long, val entry: TargetEntry?)

/** A read of the stream from offset [from] up to [end]; a [full] one lists every entry that there is. */
@Serializable
data class EntryRead(val from: Long, val end: Long, val full: Boolean, val changes: List<EntryChange>)

/** The targets that one host knows. Not thread-safe. */
class TargetDirectory {
    private class Known(var entry: TargetEntry?, var offset: Long)

    private val known = HashMap<String, Known>()
    private val lapsed = HashMap<String, Long>()
    private var awaySinceMs = -1L
    private var holdUntilMs = Long.MIN_VALUE / 2
    private var returnedMs = Long.MIN_VALUE / 2

    /** Offset up to which the stream is known; -1 before the first full read. */
    var position = -1L
        private set

    /** When the newest read was made that left nothing out here. */
    var freshMs = Long.MIN_VALUE / 2
        private set

    /** When any host read the store last. */
    private var storeSeenMs = Long.MIN_VALUE / 2

    /** All targets by id, draining ones included. */
    var targets: Map<String, TargetEntry> = emptyMap()
        private set

    /** Whether a full read was ever known. */
    var isReady = false
        private set

    /** Takes in a read made [ageMs] ago, by this host or a peer. Returns the changes that were news here. */
    fun onRead(read: EntryRead, ageMs: Long, now: Long): List<EntryChange> {
        noteStore(now - ageMs, now)
        val news = read.changes.filter { isNews(it) }
        news.forEach { apply(it, now) }
        val gone = if (read.full) dropMissing(read, now) else emptyList()
        if (read.full || (position in read.from..read.end)) {
            position = maxOf(position, read.end)
            isReady = true
            freshMs = maxOf(freshMs, now - ageMs)
        }
        publish(now)
        return news + gone
    }

    /** Returns all targets as a full read, for a host that cannot read the store; null before the first full read. */
    fun snapshot(): EntryRead? {
        if (position < 0) return null
        val changes = known.mapNotNull { (id, of) -> of.entry?.let { EntryChange(id, of.offset, it) } }
        return EntryRead(0, position, full = true, changes)
    }

    /** Forgets the position, so that the next read is a full one. */
    fun onHistoryLost() {
        position = -1
    }

    /** Lets time go on; returns true when the targets changed. */
    fun onTick(now: Long): Boolean {
        if (isReady && awaySinceMs < 0 && now - storeSeenMs >= STORE_AWAY_MS) awaySinceMs = now
        if (lapsed.isEmpty()) return false
        val ended = lapsed.filterValues { it <= now }.keys
        ended.forEach { id ->
            lapsed.remove(id)
            known[id]?.entry = null
        }
        if (ended.isNotEmpty()) publish(now)
        return ended.isNotEmpty()
    }

    private fun noteStore(readMs: Long, now: Long) {
        if (readMs <= storeSeenMs) return
        if (awaySinceMs in 0..readMs) {
            awaySinceMs = -1
            returnedMs = now
            holdUntilMs = now + RETURN_HOLD_MS
        }
        storeSeenMs = readMs
    }

    private fun isNews(change: EntryChange): Boolean {
        val old = known[change.id] ?: return change.entry != null
        return change.offset > old.offset
    }

    private fun apply(change: EntryChange, now: Long) {
        val old = known[change.id]
        if (change.entry != null || old == null) {
            known[change.id] = Known(change.entry, change.offset)
            lapsed.remove(change.id)
            return
        }
        old.offset = change.offset
        remove(change.id, old, now)
    }

    private fun remove(id: String, old: Known, now: Long) {
        val mayReturn = awaySinceMs >= 0 || now - returnedMs < RETURN_WINDOW_MS
        if (mayReturn && old.entry?.isDraining == false) {
            lapsed.putIfAbsent(id, maxOf(holdUntilMs, now))
        } else {
            old.entry = null
            lapsed.remove(id)
        }
    }

    private fun dropMissing(read: EntryRead, now: Long): List<EntryChange> {
        val listed = read.changes.mapTo(HashSet()) { it.id }
        val gone = known.filter { (id, of) -> id !in listed && of.entry != null && of.offset < read.end }
        gone.forEach { (id, of) ->
            of.offset = read.end - 1
            remove(id, of, now)
        }
        return gone.map { EntryChange(it.key, read.end - 1, null) }
    }

    private fun publish(now: Long) {
        targets = known.mapNotNull { (id, of) -> of.entry?.let { id to it } }.toMap()
        if (known.size <= MAX_REMEMBERED || now - storeSeenMs >= STORE_AWAY_MS) return
        known.values.removeIf { it.entry == null }
    }

    private companion object {
        const val MAX_REMEMBERED = 20_000 // ids of targets that went, kept so that an older record is known for old
    }
}
