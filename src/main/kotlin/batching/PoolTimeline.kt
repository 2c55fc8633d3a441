/*
 * Estimates when the targets of a pool finish the waiting pieces, and which jobs they can finish in time.
 */
package org.sesamerouter.batching

import org.sesamerouter.serving.BatchSpec

private const val MAX_DUE_TIMES = 6 // finer steps would differ by less than one call
private const val HIGHEST_RANK = -1

/**
 * The expected availability of a pool's targets.
 *
 * @property overheadMs time that calls take beyond the expected time.
 * @property freeAtMs the times at which the targets become free, in ascending order.
 */
internal class PoolTimeline(
    private val spec: BatchSpec,
    private val overheadMs: Double,
    private val freeAtMs: List<Double>,
) {
    /**
     * Returns the jobs of [queued] that can be finished in time after [piecesAhead] pieces. Jobs are scheduled by due
     * time; whenever one would be late, the newest job of the lowest priority scheduled so far is excluded.
     */
    fun schedulableJobs(queued: List<QueuedJob>, piecesAhead: Int): Set<QueuedJob> {
        if (freeAtMs.isEmpty()) return emptySet()
        val schedulable = LinkedHashSet<QueuedJob>()
        var pieces = piecesAhead
        for (job in queued.sortedBy { it.dueAtMs }) {
            schedulable += job
            pieces += job.waiting.size
            if (finishAtMs(pieces) <= job.dueAtMs) continue
            val excluded = schedulable.maxWith(compareBy({ it.spec.rank }, { it.sequence }))
            schedulable -= excluded
            pieces -= excluded.waiting.size
        }
        return schedulable
    }

    /** Estimates how long a new job takes after [startedPieces] and with the [queued] jobs, by rank and due time. */
    fun expectedMs(startedPieces: Int, queued: List<QueuedJob>, now: Long): RankedTimes {
        if (freeAtMs.isEmpty()) return RankedTimes(emptyMap())
        val piecesAhead = startedPieces + spec.maxPieces / 2 + 1
        val schedulable = schedulableJobs(queued, startedPieces).sortedBy { it.dueAtMs }
        val times = HashMap<Int, List<DueTime>>()
        times[HIGHEST_RANK] = listOf(DueTime(0, finishAtMs(piecesAhead) - now))
        for (rank in schedulable.map { it.spec.rank }.distinct()) {
            times[rank] = dueTimes(schedulable.filter { it.spec.rank <= rank }, piecesAhead, now)
        }
        return RankedTimes(times)
    }

    private fun dueTimes(jobs: List<QueuedJob>, piecesAhead: Int, now: Long): List<DueTime> {
        val times = mutableListOf(DueTime(0, finishAtMs(piecesAhead) - now))
        var pieces = piecesAhead
        for (group in jobs.chunked(jobs.size / MAX_DUE_TIMES + 1)) {
            pieces += group.sumOf { it.waiting.size }
            times += DueTime(group.last().dueAtMs - now, finishAtMs(pieces) - now)
        }
        return times
    }

    /** Returns when the last of [pieces] is finished if full calls start as targets become free. */
    private fun finishAtMs(pieces: Int): Double {
        val call = (pieces - 1) / spec.maxPieces
        val rounds = call / freeAtMs.size
        val start = freeAtMs[call % freeAtMs.size] + rounds * callDurationMs(spec.maxPieces)
        return start + callDurationMs(pieces - call * spec.maxPieces)
    }

    private fun callDurationMs(pieces: Int) = spec.expectedMs(pieces) + overheadMs
}
