/*
 * Reports what the memory budget has no room for: each in a counter, and the log has one line in a second, since
 * clients that fill the budget are rejected many times a second. Runs on the event loop.
 */
package org.sesamerouter.front

import org.sesamerouter.clock.Clock

private const val LINE_INTERVAL_MS = 1_000L

internal class NoRoomReport(private val metrics: FrontMetrics, private val log: DecisionLog, private val clock: Clock) {
    private var lastLineMs = Long.MIN_VALUE / 2
    private var rejected = 0

    /** Reports that a connection would hold [bytes], and that all connections hold [usedBytes]. */
    fun onRejected(bytes: Long, usedBytes: Long) {
        metrics.noRoom.increment()
        rejected++
        val now = clock.nowMs()
        if (now - lastLineMs < LINE_INTERVAL_MS) return
        log.write("no-room", "rejected" to rejected, "bytes" to bytes, "used-bytes" to usedBytes)
        lastLineMs = now
        rejected = 0
    }
}
