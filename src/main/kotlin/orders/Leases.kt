/*
 * Leases stored in the platform's log. The fencing number of a lease is the offset of the record that acquired it, so
 * later holders always have higher numbers. Clocks of different hosts are never compared: each host measures a lease
 * from the time it folded the record, which is after the holder wrote it; the holder measures it from before
 * its append.
 */
package org.sesamerouter.orders

import kotlinx.serialization.Serializable
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.ledger.Holder

/**
 * A record of the leases stream.
 *
 * @property previous offset of the latest lease record that the writer saw for [resource], -1 if none. The record takes
 *   effect only if that one is still the latest.
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
 * The latest lease of a resource, which may have expired.
 *
 * @property id id of its latest record.
 * @property fence fencing number, the offset of its first record.
 * @property offset offset of its latest record.
 * @property foldedMs time at which this host folded the latest record.
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

    /** Returns the latest lease of [resource], even if it has expired. */
    fun lease(resource: String): Lease? = leases[resource]

    /** Returns the latest holder of each resource. */
    fun holders(): Map<String, Holder> = leases.mapValues { it.value.holder }

    /** Folds the record at [offset]. Returns the resulting lease, or null if the record has no effect. */
    fun fold(offset: Long, payload: String, now: Long): Lease? {
        if (offset <= revision) return null
        revision = offset
        val record = WireJson.decodeOrNull(LeaseRecord.serializer(), payload) ?: return null
        val current = leases[record.resource]
        if ((current?.offset ?: -1) != record.previous) return null
        val isRenewal = current != null && current.holder == record.holder
        val fence = if (isRenewal) checkNotNull(current).fence else offset
        val lease = Lease(record.id, record.resource, record.holder, fence, offset, record.durationMs, now)
        leases[record.resource] = lease
        return lease
    }
}
