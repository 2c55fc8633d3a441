/*
 * The expected times of stages in the pools, as this host measures them in its own queues and as other owners report
 * them. The last report stands until the next one: a pool whose owner is silent is not taken for an empty one.
 */
package org.sesamerouter.front

import org.sesamerouter.batching.AnnouncedPieces
import org.sesamerouter.batching.PieceQueue
import org.sesamerouter.batching.RankedTimes
import org.sesamerouter.membership.PoolReport

private const val OWN_TIMES_MS = 50L // a queue changes little within this time
private const val IDLE_REPORT_INTERVAL_MS = 1_000L

// Announced work has arrived or was given up by then; an owner that lives reports at least every 1 s.
private const val ANNOUNCEMENT_LIFE_MS = 2_000L

internal class PoolTimes {
    private class OwnTimes(val atMs: Long)

    private class Announcement(val later: List<AnnouncedPieces>, val atMs: Long)

    private val times = HashMap<String, RankedTimes>()
    private val own = HashMap<String, OwnTimes>()
    private val idleReportMs = HashMap<String, Long>()

    /** What the requests in the queue of each pool will bring to later pools. */
    private val announcements = HashMap<String, Announcement>()

    /** Measures the [queue] of this host for [service], unless that was done a moment ago. */
    fun refresh(service: String, queue: PieceQueue, now: Long) {
        val last = own[service]
        if (last != null && now - last.atMs < OWN_TIMES_MS && service in times) return
        own[service] = OwnTimes(now)
        times[service] = queue.expectedMs(now)
        announcements[service] = Announcement(queue.announced(now), now)
    }

    /** Expected time of a stage in [service] for a request of [rank] that is due in [dueMs]; null if none is known. */
    fun of(service: String, rank: Int, dueMs: Long): Double? = times[service]?.of(rank, dueMs)

    /** Number of pieces on their way to [service] that run before a job of [rank] that is due in [dueMs]. */
    fun announcedAhead(service: String, rank: Int, dueMs: Long, now: Long): Long = announcements.values
        .filter { now - it.atMs < ANNOUNCEMENT_LIFE_MS }
        .sumOf { of -> of.later.filter { it.service == service }.sumOf { it.ahead(rank, dueMs) } }

    /** Returns the report of [queue], which this host owns, for the other hosts; null if they know it well enough. */
    fun takeReport(queue: PieceQueue, now: Long): PoolReport? {
        val isIdle = queue.waiting == 0 && queue.calls == 0
        if (isIdle && now - (idleReportMs[queue.service] ?: Long.MIN_VALUE / 2) < IDLE_REPORT_INTERVAL_MS) return null
        if (isIdle) idleReportMs[queue.service] = now else idleReportMs.remove(queue.service)
        refresh(queue.service, queue, now)
        val later = announcements[queue.service]?.later.orEmpty()
        return PoolReport(queue.service, times.getValue(queue.service), later)
    }

    /** Stores what an owner reported. */
    fun onReport(report: PoolReport, now: Long) {
        own.remove(report.service)
        times[report.service] = report.expectedMs
        announcements[report.service] = Announcement(report.later, now)
    }
}
