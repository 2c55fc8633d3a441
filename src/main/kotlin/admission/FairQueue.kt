/*
 * The queue before a pool. Organisations share by weight (start-time fair queueing, so an idle organisation keeps no
 * credit); within an organisation lower ranks go first, then the request that has to start earliest. Shares come before
 * ranks, so that the urgent work of one organisation does not take the share of another.
 */
package org.sesamerouter.admission

import java.util.TreeSet

/**
 * A queued stage of a request.
 *
 * @property latestStartMs time after which starting is of no use.
 * @property costMs expected target time, charged to the organisation's share.
 */
data class QueueEntry(
    val id: String,
    val organisation: String,
    val weight: Int,
    val rank: Int,
    val latestStartMs: Long,
    val costMs: Long,
)

/** A fair queue whose operations take logarithmic time. Not thread-safe. */
class FairQueue {
    private val organisations = HashMap<String, OrganisationQueue>()
    private val active = TreeSet<OrganisationQueue>(compareBy({ it.virtualTime }, { it.name }))
    private val queued = HashMap<String, Slot>()
    private var virtualTime = 0.0
    private var sequence = 0L

    val size: Int get() = queued.size

    /** Adds [entry]; an entry with the same id is replaced. */
    fun add(entry: QueueEntry) {
        remove(entry.id)
        val slot = Slot(entry, sequence++)
        queued[entry.id] = slot
        val queue = organisations.getOrPut(entry.organisation) { OrganisationQueue(entry.organisation) }
        if (queue.slots.isEmpty()) {
            queue.virtualTime = maxOf(queue.virtualTime, virtualTime)
            active.add(queue)
        }
        queue.slots.add(slot)
    }

    /** Removes the entry with [id] and tells whether it was queued. */
    fun remove(id: String): Boolean {
        val slot = queued.remove(id) ?: return false
        val queue = organisations.getValue(slot.entry.organisation)
        queue.slots.remove(slot)
        if (queue.slots.isEmpty()) active.remove(queue)
        return true
    }

    /** Returns the next entry and leaves it queued, or null when nothing is queued. */
    fun peek(): QueueEntry? = if (active.isEmpty()) null else active.first().slots.first().entry

    /** Takes the next entry and charges its cost to its organisation, or returns null when nothing is queued. */
    fun poll(): QueueEntry? {
        val queue = active.pollFirst() ?: return null
        val slot = checkNotNull(queue.slots.pollFirst())
        queued.remove(slot.entry.id)
        virtualTime = queue.virtualTime
        queue.virtualTime += slot.entry.costMs.toDouble() / slot.entry.weight
        if (queue.slots.isNotEmpty()) active.add(queue)
        return slot.entry
    }

    /** Returns the ids of all entries, in no order. */
    fun ids(): Set<String> = queued.keys.toSet()
}

private class Slot(val entry: QueueEntry, val sequence: Long)

private class OrganisationQueue(val name: String) {
    var virtualTime = 0.0
    val slots = TreeSet<Slot>(compareBy({ it.entry.rank }, { it.entry.latestStartMs }, { it.sequence }))
}
