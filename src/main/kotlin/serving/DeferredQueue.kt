/*
 * Requests that cannot meet their latency objective are deferred here until the pools have spare capacity. They hold no
 * results while they wait. The wait is short: a caller is better served by an early rejection with a retry time.
 */
package org.sesamerouter.serving

/** A deferred request, which is rejected when it has not started by [latestStartMs]. */
data class DeferredRequest(
    val flow: Long,
    val rank: Int,
    val latestStartMs: Long,
    val deferredAtMs: Long,
    val organisation: String = "",
)

/** The deferred requests of one host, at most [capacity]. Not thread-safe. */
class DeferredQueue(private val capacity: Int) {
    private val entries = LinkedHashMap<Long, DeferredRequest>()

    val isEmpty: Boolean get() = entries.isEmpty()

    /** Returns the ids of all deferred requests. */
    fun flowIds(): List<Long> = entries.keys.toList()

    fun add(entry: DeferredRequest) {
        entries[entry.flow] = entry
    }

    /** Removes [flow] if it is deferred. */
    fun remove(flow: Long) {
        entries.remove(flow)
    }

    /**
     * Removes and returns the requests that cannot start in time or exceed the capacity: the least urgent rank first,
     * within a rank those of the organisation with most of them, the newest first.
     */
    fun takeExcess(now: Long): List<Long> {
        val removed = takeExpired(now).toMutableList()
        while (entries.size > capacity) {
            val rank = entries.values.maxOf { it.rank }
            val byOrganisation = entries.values.filter { it.rank == rank }.groupBy { it.organisation }.values
            val largest = byOrganisation.maxWith(compareBy({ it.size }, { of -> of.maxOf { it.deferredAtMs } }))
            val last = largest.maxWith(compareBy({ it.deferredAtMs }, { it.flow }))
            entries.remove(last.flow)
            removed += last.flow
        }
        return removed
    }

    /** Removes and returns the requests whose latest start has passed. */
    fun takeExpired(now: Long): List<Long> {
        val removed = entries.values.filter { it.latestStartMs < now }.map { it.flow }
        removed.forEach(entries::remove)
        return removed
    }

    /** Returns the most urgent request that matches [predicate], by rank and then by age. */
    fun firstMatching(predicate: (Long) -> Boolean): Long? =
        entries.values.sortedWith(compareBy({ it.rank }, { it.deferredAtMs })).firstOrNull { predicate(it.flow) }?.flow
}
