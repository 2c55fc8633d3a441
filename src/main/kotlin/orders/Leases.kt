/*
 * Leases kept in the platform's log. The offset of the winning record is the fencing number, so a later holder always
 * has a higher one. Time is never compared between hosts: each host counts a lease from when it folded the record,
 * which is later than when the holder wrote it, and the holder counts from before its append.
 */
package org.sesamerouter.orders

import kotlinx.serialization.Serializable
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.ledger.Holder

/**
 * A record of the leases stream.
 *
 * @property previous offset of the lease that this one follows, -1 for none; it wins only if that one still stands.
 */
@Serializable
data class LeaseRecord(
    val id: String,
    val resource: String,
    val holder: Holder,
    val durationMs: Long,
    val previous: Long,
)

/**
 * A lease that stands.
 *
 * @property id of its latest record.
 * @property fence offset of its first record; [offset] is that of its latest renewal.
 */
data class Lease(
    val id: String,
    val resource: String,
    val holder: Holder,
    val fence: Long,
    val offset: Long,
    val durationMs: Long,
    val foldedMs: Long,
)

/** The fold of the leases stream. Not thread-safe. */
class LeaseTable {
    private val leases = HashMap<String, Lease>()

    /** Offset of the last folded record. */
    var revision = -1L
        private set

    val size: Int get() = leases.size

    /** Returns the latest lease of [resource], whether it has lapsed or not. */
    fun lease(resource: String): Lease? = leases[resource]

    /** Returns who held each resource last. */
    fun holders(): Map<String, Holder> = leases.mapValues { it.value.holder }

    /** Folds the record at [offset]; returns the lease that it made, or null when it lost. */
    fun fold(offset: Long, payload: String, now: Long): Lease? {
        if (offset <= revision) return null
        revision = offset
        val record = WireJson.decodeOrNull(LeaseRecord.serializer(), payload) ?: return null
        val current = leases[record.resource]
        if ((current?.offset ?: -1) != record.previous) return null
        val renewed = current != null && current.holder == record.holder
        val fence = if (renewed) checkNotNull(current).fence else offset
        val lease = Lease(record.id, record.resource, record.holder, fence, offset, record.durationMs, now)
        leases[record.resource] = lease
        return lease
    }
}
