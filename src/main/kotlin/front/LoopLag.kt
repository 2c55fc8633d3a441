/*
 * Measures how long the event loop was held up. Requests that arrived meanwhile have waited unread, while the timeouts
 * of their callers went on.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import org.sesamerouter.clock.Clock
import java.util.concurrent.TimeUnit

private const val INTERVAL_MS = 50L
private const val TOLERANCE_MS = 100L // timers of a busy host are this late at times

internal class LoopLag(eventLoop: EventLoop, clock: Clock) {
    private var lastTickMs = clock.nowMs()

    init {
        eventLoop.scheduleWithFixedDelay(
            { lastTickMs = clock.nowMs() },
            INTERVAL_MS,
            INTERVAL_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** How long a request that is read at [now] may have waited for the event loop; 0 in normal operation. */
    fun sinceMs(now: Long): Long {
        val lateMs = now - lastTickMs - INTERVAL_MS
        return if (lateMs > TOLERANCE_MS) lateMs else 0
    }
}
