/*
 * The schedule of a queue, kept until its jobs or targets change, and what the queue's owner reports from it.
 */
package org.sesamerouter.batching

/** The schedule of [jobs], a live view of the queue's jobs, by the [timeline] of the pool. */
internal class QueueSchedule(private val jobs: Collection<QueuedJob>, private val timeline: (Long) -> PoolTimeline) {
    private var current: Schedule? = null

    /** Number of jobs left out since their organisation was over its share. */
    var displacedByShare = 0L
        private set

    /** Has the schedule made anew when it is needed next. */
    fun invalidate() {
        current = null
    }

    /** Returns the order of the waiting jobs, made at most [maxAgeMs] ago or since the last change. */
    fun at(now: Long, maxAgeMs: Long = 0): Schedule {
        current?.let { if (now - it.madeAtMs <= maxAgeMs) return it }
        return timeline(now).schedule(jobs.filter { it.waiting.isNotEmpty() }, now).also { current = it }
    }

    fun expectedMs(now: Long): RankedTimes = timeline(now).expectedMs(at(now, SCHEDULE_INTERVAL_MS), now)

    /** Returns the pieces that the requests of these jobs will bring to later pools, without excluded jobs. */
    fun announced(now: Long): List<AnnouncedPieces> {
        val announcing = jobs.filter { it.spec.later.isNotEmpty() }
        if (announcing.isEmpty()) return emptyList()
        val excluded = at(now, SCHEDULE_INTERVAL_MS).excluded.toSet()
        return announcedPieces(announcing.filter { it !in excluded }, now)
    }

    /** Returns the organisations over their share, by rank, while not all jobs can be in time. */
    fun overShare(now: Long): Map<Int, List<String>> {
        val excluded = at(now, SCHEDULE_INTERVAL_MS).excluded
        if (excluded.isEmpty()) return emptyMap()
        return organisationsOverShare(jobs.filter { it.waiting.isNotEmpty() }, excluded)
    }

    /** Records since when each unstarted job cannot be finished in time because of other jobs; none [isShort]. */
    fun updateUnschedulable(isShort: Boolean, now: Long) {
        if (isShort) {
            jobs.forEach { it.unschedulableSinceMs = null }
            return
        }
        val schedule = at(now)
        schedule.schedulable.forEach { it.unschedulableSinceMs = null }
        val added = schedule.excluded.filter { it.unschedulableSinceMs == null }
        added.forEach { it.unschedulableSinceMs = now }
        if (added.isEmpty()) return
        val overShare = overShare(now)
        displacedByShare += added.count { it.spec.organisation in overShare[it.spec.rank].orEmpty() }
    }
}
