/*
 * The results that the calls of one queue made, with the space that they take up at their targets. A result counts
 * until its target has freed it; it is freed when its request has ended at the latest, so that a lost message about it
 * does not take up space for good.
 */
package org.sesamerouter.batching

import java.util.PriorityQueue

/** The results of one queue. [nextId] numbers the releases. Not thread-safe. */
internal class StoredResults(private val nextId: () -> Long) {
    private class Result(
        val handle: String,
        val target: PoolTarget,
        val bytes: Long,
        val job: String,
        val endMs: Long,
    ) {
        var isFetched = false
    }

    private class Release(val target: PoolTarget, val bytes: Long)

    private val byHandle = HashMap<String, Result>()
    private val byTarget = HashMap<PoolTarget, LinkedHashMap<String, Result>>()
    private val handlesByJob = HashMap<String, MutableSet<String>>()
    private val byEnd = PriorityQueue<Result>(compareBy { it.endMs })
    private val releases = HashMap<Long, Release>()

    operator fun contains(handle: String): Boolean = handle in byHandle

    /** Adds the result [handle] of [job], which is useless from [endMs] on. */
    fun add(handle: String, target: PoolTarget, bytes: Long, job: String, endMs: Long) {
        val result = Result(handle, target, bytes, job, endMs)
        byHandle[handle] = result
        byTarget.getOrPut(target) { LinkedHashMap() }[handle] = result
        handlesByJob.getOrPut(job) { LinkedHashSet() } += handle
        byEnd += result
    }

    /** Returns the results of [job] that are not released. */
    fun handlesOf(job: String): List<String> = handlesByJob[job].orEmpty().toList()

    /** Marks [handles] as fetched, and releases those at targets that are [isShort] of space. */
    fun onFetched(handles: List<String>, isShort: (PoolTarget) -> Boolean): List<PoolEffect> {
        val known = handles.mapNotNull(byHandle::get)
        known.forEach { it.isFetched = true }
        return release(known.filter { isShort(it.target) }.map { it.handle })
    }

    /** Releases the fetched results at [target]. */
    fun releaseFetched(target: PoolTarget): List<PoolEffect> =
        release(byTarget[target].orEmpty().values.filter { it.isFetched }.map { it.handle })

    /** Releases the results whose requests have ended by [now]. */
    fun releaseExpired(now: Long): List<PoolEffect> {
        val expired = ArrayList<String>()
        while (byEnd.isNotEmpty() && byEnd.peek().endMs <= now) {
            val result = byEnd.poll()
            if (byHandle[result.handle] === result) expired += result.handle
        }
        return release(expired)
    }

    /** Returns the effects that free [handles] at their targets. */
    fun release(handles: List<String>): List<PoolEffect> {
        val results = handles.mapNotNull(::remove)
        return results.groupBy { it.target }.map { (target, freed) ->
            val id = nextId()
            releases[id] = Release(target, freed.sumOf { it.bytes })
            PoolEffect.Free(id, target.entry, freed.map { it.handle })
        }
    }

    private fun remove(handle: String): Result? {
        val result = byHandle.remove(handle) ?: return null
        byTarget[result.target]?.let { if (it.remove(handle) != null && it.isEmpty()) byTarget.remove(result.target) }
        handlesByJob[result.job]?.let { if (it.remove(handle) && it.isEmpty()) handlesByJob.remove(result.job) }
        return result
    }

    /** Handles the confirmation that a target freed the results of [release]. */
    fun onFreed(release: Long) {
        val freed = releases.remove(release) ?: return
        freed.target.release(freed.bytes)
    }
}
