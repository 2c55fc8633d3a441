/*
 * The queue in front of a pool. Organisations share the pool by weight with start-time fair queueing, so an idle
 * organisation accumulates no credit. Within an organisation, requests are ordered by rank (lowest first), then by
 * latest start. Shares take precedence over ranks, so that urgent work of one organisation cannot use up the share of
 * another.
 */
package org.sesamerouter.admission

import java.util.TreeSet

/**
 * A queued stage of a request.
 *
 * @property latestStartMs time after which the request is not expected to meet its deadline.
 * @property costMs expected service time on a target, charged to the organisation's share.
 */
data class QueueEntry(
    val id: String,
    val organisation: String,
    val weight: Int,
    val rank: Int,
    val latestStartMs: Long,
    val costMs: Long,
)

/** A weighted fair queue whose operations take logarithmic time. Not thread-safe. */
class FairQueue {
    private val organisations = HashMap<String, OrganisationQueue>()
    private val active = TreeSet<OrganisationQueue>(compareBy({ it.virtualTime }, { it.name }))
    private val queued = HashMap<String, SequencedEntry>()
    private var virtualTime = 0.0
    private var sequence = 0L

    val size: Int get() = queued.size

    /** Adds [entry]; an entry with the same id is replaced. */
    fun add(entry: QueueEntry) {
        remove(entry.id)
        val sequenced = SequencedEntry(entry, sequence++)
        queued[entry.id] = sequenced
        val queue = organisations.getOrPut(entry.organisation) { OrganisationQueue(entry.organisation) }
        if (queue.entries.isEmpty()) {
            queue.virtualTime = maxOf(queue.virtualTime, virtualTime)
            active.add(queue)
        }
        queue.entries.add(sequenced)
    }

    /** Removes the entry with [id]; returns whether it was queued. */
    fun remove(id: String): Boolean {
        val sequenced = queued.remove(id) ?: return false
        val queue = organisations.getValue(sequenced.entry.organisation)
        queue.entries.remove(sequenced)
        if (queue.entries.isEmpty()) active.remove(queue)
        return true
    }

    /** Returns the next entry without removing it, or null when the queue is empty. */
    fun peek(): QueueEntry? = if (active.isEmpty()) null else active.first().entries.first().entry

    /** Removes the next entry and charges its cost to its organisation; returns null when the queue is empty. */
    fun poll(): QueueEntry? {
        val queue = active.pollFirst() ?: return null
        val sequenced = checkNotNull(queue.entries.pollFirst())
        queued.remove(sequenced.entry.id)
        virtualTime = queue.virtualTime
        queue.virtualTime += sequenced.entry.costMs.toDouble() / sequenced.entry.weight
        if (queue.entries.isNotEmpty()) active.add(queue)
        return sequenced.entry
    }

    /** Returns the ids of all entries. */
    fun ids(): Set<String> = queued.keys.toSet()
}

private class SequencedEntry(val entry: QueueEntry, val sequence: Long)

private class OrganisationQueue(val name: String) {
    var virtualTime = 0.0
    val entries = TreeSet<SequencedEntry>(compareBy({ it.entry.rank }, { it.entry.latestStartMs }, { it.sequence }))
}
