/*
 * Chooses which job of an overloaded pool is left out: of the lowest priority, and within it of the organisation that
 * holds most of the schedule, so that a surge of one organisation takes no other's share.
 */
package org.sesamerouter.batching

import java.util.PriorityQueue
import java.util.TreeSet

// An organisation with this multiple of the even share of a rank keeps the others from theirs.
private const val DOMINANT_RATIO = 1.5

/** The pieces and jobs of one organisation at one rank. */
private class Share(val rank: Int, val organisation: String) {
    var pieces = 0

    /** Returning callers first, then the newest. */
    val jobs = PriorityQueue(compareByDescending<QueuedJob> { it.spec.isReturn }.thenByDescending { it.sequence })
}

/** The jobs scheduled so far. Adding and removing one takes time log n. */
internal class ScheduledJobs {
    private val shares = HashMap<Int, HashMap<String, Share>>()
    private val nextToLose =
        TreeSet(compareByDescending<Share> { it.rank }.thenByDescending { it.pieces }.thenBy { it.organisation })

    /** Counts a [job] that stays in any case. */
    fun count(job: QueuedJob) {
        shareOf(job).pieces += job.waiting.size
    }

    fun add(job: QueuedJob) {
        val share = shareOf(job)
        if (share.jobs.isNotEmpty()) nextToLose.remove(share)
        share.jobs += job
        share.pieces += job.waiting.size
        nextToLose += share
    }

    /** Removes the job that is left out first. */
    fun removeLast(): QueuedJob {
        val share = checkNotNull(nextToLose.pollFirst()) { "no job is scheduled" }
        val job = share.jobs.remove()
        share.pieces -= job.waiting.size
        if (share.jobs.isNotEmpty()) nextToLose += share
        return job
    }

    private fun shareOf(job: QueuedJob): Share {
        val rank = job.spec.rank
        return shares.getOrPut(rank) {
            HashMap()
        }.getOrPut(job.spec.organisation) { Share(rank, job.spec.organisation) }
    }
}

/**
 * Returns the organisations that hold more than the even share of the [waiting] pieces of their rank, by rank.
 * Ranks from which no job is [excluded] or which no organisation dominates are left out.
 */
internal fun organisationsOverShare(
    waiting: Collection<QueuedJob>,
    excluded: Collection<QueuedJob>,
): Map<Int, List<String>> {
    val overShare = HashMap<Int, List<String>>()
    val lowest = excluded.mapTo(HashSet()) { it.spec.rank }
    val byRank = waiting.filter { it.spec.rank in lowest }.groupBy { it.spec.rank }
    for ((rank, jobs) in byRank) {
        val pieces = HashMap<String, Int>()
        jobs.forEach { pieces.merge(it.spec.organisation, it.waiting.size, Int::plus) }
        val evenShare = pieces.values.sum().toDouble() / pieces.size
        if (pieces.values.max() < evenShare * DOMINANT_RATIO) continue
        overShare[rank] = pieces.filterValues { it > evenShare }.keys.toList()
    }
    return overShare
}
