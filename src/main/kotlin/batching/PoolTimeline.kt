/*
 * When the targets of a pool would finish what waits, and which jobs they can finish in time.
 */
package org.sesamerouter.batching

import org.sesamerouter.serving.BatchSpec

private const val MAX_DUE_TIMES = 6 // finer steps differ by less than a call
private const val HIGHEST_RANK = -1

/**
 * The targets of a pool from now on.
 *
 * @property extraMs what calls take beyond the expected time.
 * @property freeMs when each target is free, the first ones first.
 */
internal class PoolTimeline(
    private val spec: BatchSpec,
    private val extraMs: Double,
    private val freeMs: List<Double>,
) {
    /**
     * Returns the jobs of [queued] that can be finished in time, behind [ahead] pieces. Jobs are scheduled by the time
     * at which they have to be done; whenever one would be late, the lowest rank of those scheduled so far is left out,
     * the newest first.
     */
    fun timelyJobs(queued: List<QueuedJob>, ahead: Int): Set<QueuedJob> {
        if (freeMs.isEmpty()) return emptySet()
        val timely = LinkedHashSet<QueuedJob>()
        var pieces = ahead
        for (job in queued.sortedBy { it.aimMs }) {
            timely += job
            pieces += job.waiting.size
            if (finishMs(pieces) <= job.aimMs) continue
            val leftOut = timely.maxWith(compareBy({ it.spec.rank }, { it.sequence }))
            timely -= leftOut
            pieces -= leftOut.waiting.size
        }
        return timely
    }

    /** Returns how long a job takes that is added behind [begun] pieces and beside [queued], by rank and due time. */
    fun expectedMs(begun: Int, queued: List<QueuedJob>, now: Long): RankedTimes {
        if (freeMs.isEmpty()) return RankedTimes(emptyMap())
        val ahead = begun + spec.maxPieces / 2 + 1
        val timely = timelyJobs(queued, begun).sortedBy { it.aimMs }
        val times = HashMap<Int, List<DueTime>>()
        times[HIGHEST_RANK] = listOf(DueTime(0, finishMs(ahead) - now))
        for (rank in timely.map { it.spec.rank }.distinct()) {
            times[rank] = dueTimes(timely.filter { it.spec.rank <= rank }, ahead, now)
        }
        return RankedTimes(times)
    }

    private fun dueTimes(jobs: List<QueuedJob>, ahead: Int, now: Long): List<DueTime> {
        val times = mutableListOf(DueTime(0, finishMs(ahead) - now))
        var pieces = ahead
        for (group in jobs.chunked(jobs.size / MAX_DUE_TIMES + 1)) {
            pieces += group.sumOf { it.waiting.size }
            times += DueTime(group.last().aimMs - now, finishMs(pieces) - now)
        }
        return times
    }

    /** When the last of [pieces] is done if full calls start as targets get free. */
    private fun finishMs(pieces: Int): Double {
        val call = (pieces - 1) / spec.maxPieces
        val rounds = call / freeMs.size
        val start = freeMs[call % freeMs.size] + rounds * usualMs(spec.maxPieces)
        return start + usualMs(pieces - call * spec.maxPieces)
    }

    private fun usualMs(pieces: Int) = spec.expectedMs(pieces) + extraMs
}
