/*
 * Estimates when the targets of a pool finish the waiting pieces, and which jobs they can finish in time.
 */
package org.sesamerouter.batching

import org.sesamerouter.serving.BatchSpec

private const val MAX_DUE_TIMES = 6 // finer steps would differ by less than one call
private const val HIGHEST_RANK = -1

/**
 * The order of the waiting jobs of a queue at [madeAtMs].
 *
 * @property started jobs of which some pieces are running or finished, by due time.
 * @property schedulable other jobs that can be finished in time, by due time.
 * @property excluded the rest, in the order in which they fill unused capacity.
 */
internal class Schedule(
    val started: List<QueuedJob>,
    val schedulable: List<QueuedJob>,
    val excluded: List<QueuedJob>,
    val madeAtMs: Long,
)

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
     * Orders the [waiting] jobs. Unstarted jobs are scheduled by due time after the started ones; whenever one would be
     * late, the job scheduled so far that [ScheduledJobs] leaves out first is excluded. A job that would be late right
     * after the started ones is excluded itself: no other could make it in time. Takes time n log n for n jobs.
     */
    fun schedule(waiting: List<QueuedJob>, now: Long): Schedule {
        val (started, unstarted) = waiting.partition { it.isStarted }
        val queued = unstarted.sortedBy { it.dueAtMs }
        var pieces = started.sumOf { it.waiting.size }
        val startedPieces = pieces
        val scheduled = ScheduledJobs()
        started.forEach(scheduled::count)
        val excluded = HashSet<QueuedJob>()
        for (job in queued) {
            val isHopeless = freeAtMs.isEmpty() || finishAtMs(startedPieces + job.waiting.size) > job.dueAtMs
            if (isHopeless) {
                excluded += job
                continue
            }
            scheduled.add(job)
            pieces += job.waiting.size
            if (finishAtMs(pieces) <= job.dueAtMs) continue
            val left = leaveOut(scheduled, job, pieces)
            excluded += left
            pieces -= left.sumOf { it.waiting.size }
        }
        return Schedule(
            started.sortedBy { it.dueAtMs },
            queued.filter { it !in excluded },
            excluded.sortedWith(compareBy({ it.spec.stagesLeft }, { it.spec.rank }, { it.sequence })),
            now,
        )
    }

    /**
     * Removes jobs until the last of [pieces] is finished when [job], which was added last, is due. If [job] itself is
     * left out, the others fit without it and stay.
     */
    private fun leaveOut(scheduled: ScheduledJobs, job: QueuedJob, pieces: Int): List<QueuedJob> {
        val removed = ArrayList<QueuedJob>()
        var left = pieces
        while (finishAtMs(left) > job.dueAtMs) {
            val last = scheduled.removeLast()
            if (last === job) {
                removed.forEach(scheduled::add)
                return listOf(job)
            }
            removed += last
            left -= last.waiting.size
        }
        return removed
    }

    /** Estimates how long a new job takes with the jobs of [schedule] before it, by rank and due time. */
    fun expectedMs(schedule: Schedule, now: Long): RankedTimes {
        if (freeAtMs.isEmpty()) return RankedTimes(emptyMap())
        val piecesAhead = schedule.started.sumOf { it.waiting.size } + spec.maxPieces / 2 + 1
        val times = HashMap<Int, List<DueTime>>()
        times[HIGHEST_RANK] = listOf(DueTime(0, finishAtMs(piecesAhead) - now))
        for (rank in schedule.schedulable.map { it.spec.rank }.distinct()) {
            times[rank] = dueTimes(schedule.schedulable.filter { it.spec.rank <= rank }, piecesAhead, now)
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
