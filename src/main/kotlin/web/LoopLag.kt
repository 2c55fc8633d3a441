/*
 * Measures how long an event loop was held up. Requests that arrived meanwhile have waited unread, while the timeouts
 * of their callers went on.
 */
package org.sesamerouter.web

import io.netty.channel.EventLoop
import org.sesamerouter.clock.Clock
import java.util.concurrent.TimeUnit

private const val INTERVAL_MS = 100L
private const val TOLERANCE_MS = 50L // timers of a busy host are this late at times

/** Estimates from the [ticks] of a timer how long data may have waited to be read. */
class LoopLag(startMs: Long) {
    // A new connection is accepted in one round of the loop and read in the next, so the last rounds add up.
    private val ticks = ArrayDeque(List(TICKS) { startMs })

    /** Records that the timer ran at [now]; it should run every [INTERVAL_MS]. */
    fun onTick(now: Long) {
        ticks.removeFirst()
        ticks.addLast(now)
    }

    /** How long data that is read at [now] may have waited; 0 in normal operation. */
    fun sinceMs(now: Long): Long {
        val times = ticks + now
        return times.zipWithNext { a, b -> b - a - INTERVAL_MS }.filter { it > TOLERANCE_MS }.sum()
    }

    private companion object {
        const val TICKS = 3
    }
}

/** Returns the lag of [eventLoop], measured by a timer of its own. */
fun measureLoopLag(eventLoop: EventLoop, clock: Clock): LoopLag {
    val lag = LoopLag(clock.nowMs())
    eventLoop.scheduleWithFixedDelay({ lag.onTick(clock.nowMs()) }, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS)
    return lag
}
