/*
 * Requests that can no longer meet their objective wait here, beside the pools, until these have room to spare. They
 * hold no results while they wait, and none waits for long: it is better told when to come back.
 */
package org.sesamerouter.serving

/** A request that waits; after [latestStartMs] it is let go. */
data class LaneEntry(val flow: Long, val rank: Int, val latestStartMs: Long, val sinceMs: Long)

/** The waiting requests of one host, at most [capacity]. Not thread-safe. */
class LateLane(private val capacity: Int) {
    private val entries = LinkedHashMap<Long, LaneEntry>()

    val isEmpty: Boolean get() = entries.isEmpty()

    /** Returns the waiting requests. */
    fun all(): List<Long> = entries.keys.toList()

    /** Adds [entry]. */
    fun add(entry: LaneEntry) {
        entries[entry.flow] = entry
    }

    /** Removes the request [flow], if it waits here. */
    fun remove(flow: Long) {
        entries.remove(flow)
    }

    /** Takes out what cannot start in time or is too much; the lowest rank goes first, of that the newest. */
    fun overflow(now: Long): List<Long> {
        val out = expired(now).toMutableList()
        while (entries.size > capacity) {
            val last = entries.values.maxWith(compareBy({ it.rank }, { it.sinceMs }, { it.flow }))
            entries.remove(last.flow)
            out += last.flow
        }
        return out
    }

    /** Takes out the requests that have waited for too long. */
    fun expired(now: Long): List<Long> {
        val out = entries.values.filter { it.latestStartMs < now }.map { it.flow }
        out.forEach(entries::remove)
        return out
    }

    /** Returns the most urgent request that [accepts], by rank and then by age. */
    fun firstThat(accepts: (Long) -> Boolean): Long? =
        entries.values.sortedWith(compareBy({ it.rank }, { it.sinceMs })).firstOrNull { accepts(it.flow) }?.flow
}
