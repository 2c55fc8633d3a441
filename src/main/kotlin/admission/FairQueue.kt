/*
 * The queue before a pool. Ranks are strict; within a rank organisations share by weight (start-time fair queueing,
 * so an idle organisation keeps no credit); within an organisation the request that has to start earliest goes first.
 */
package org.sesamerouter.admission

import java.util.TreeMap
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
    private val ranks = TreeMap<Int, RankQueue>()
    private val queued = HashMap<String, Slot>()
    private var sequence = 0L

    val size: Int get() = queued.size

    /** Adds [entry]; an entry with the same id is replaced. */
    fun add(entry: QueueEntry) {
        remove(entry.id)
        val slot = Slot(entry, sequence++)
        queued[entry.id] = slot
        ranks.getOrPut(entry.rank) { RankQueue() }.add(slot)
    }

    /** Removes the entry with [id] and tells whether it was queued. */
    fun remove(id: String): Boolean {
        val slot = queued.remove(id) ?: return false
        ranks.getValue(slot.entry.rank).remove(slot)
        return true
    }

    /** Takes the next entry and charges its cost to its organisation, or returns null when nothing is queued. */
    fun poll(): QueueEntry? {
        val rank = ranks.values.firstOrNull { it.isNotEmpty() } ?: return null
        val slot = rank.poll()
        queued.remove(slot.entry.id)
        return slot.entry
    }

    /** Returns the ids of all entries, in no order. */
    fun ids(): Set<String> = queued.keys.toSet()
}

private class Slot(val entry: QueueEntry, val sequence: Long)

private class OrganisationQueue(val name: String) {
    var virtualTime = 0.0
    val slots = TreeSet<Slot>(compareBy({ it.entry.latestStartMs }, { it.sequence }))
}

private class RankQueue {
    private val organisations = HashMap<String, OrganisationQueue>()
    private val active = TreeSet<OrganisationQueue>(compareBy({ it.virtualTime }, { it.name }))
    private var virtualTime = 0.0

    fun isNotEmpty() = active.isNotEmpty()

    fun add(slot: Slot) {
        val queue = organisations.getOrPut(slot.entry.organisation) { OrganisationQueue(slot.entry.organisation) }
        if (queue.slots.isEmpty()) {
            queue.virtualTime = maxOf(queue.virtualTime, virtualTime)
            active.add(queue)
        }
        queue.slots.add(slot)
    }

    fun remove(slot: Slot) {
        val queue = organisations.getValue(slot.entry.organisation)
        queue.slots.remove(slot)
        if (queue.slots.isEmpty()) active.remove(queue)
    }

    fun poll(): Slot {
        val queue = active.first()
        active.remove(queue)
        val slot = checkNotNull(queue.slots.pollFirst())
        virtualTime = queue.virtualTime
        queue.virtualTime += slot.entry.costMs.toDouble() / slot.entry.weight
        if (queue.slots.isNotEmpty()) active.add(queue)
        return slot
    }
}
