/*
 * Tells when a queue has pieces that wait and starts no calls, for the log.
 */
package org.sesamerouter.batching

private const val STOP_MS = 1_000L // longer than the longest call of a pool that works

/** Why a queue has started no call for [sinceCallMs]: counts of its targets by what keeps them from getting one. */
data class QueueStop(
    val sinceCallMs: Long,
    val targets: Int,
    val busy: Int,
    val backingOff: Int,
    val slow: Int,
    val full: Int,
)

internal class StopDetector {
    private var sinceMs = Long.MAX_VALUE
    private var nextReportMs = Long.MIN_VALUE

    fun onCall(now: Long) {
        sinceMs = now
    }

    fun onTick(waiting: Int, now: Long) {
        if (waiting == 0) sinceMs = now
        sinceMs = minOf(sinceMs, now)
    }

    fun take(now: Long, describe: (Long) -> QueueStop): QueueStop? {
        val sinceCallMs = now - minOf(sinceMs, now)
        if (sinceCallMs < STOP_MS || now < nextReportMs) return null
        nextReportMs = now + STOP_MS
        return describe(sinceCallMs)
    }
}
