/*
 * Time for every slice. State machines never ask for the time: it is passed to them with each event, so only the
 * adapters and the control loop hold a Clock.
 */
package org.sesamerouter.clock

private const val NANOS_PER_MS = 1_000_000L

/** A source of time in milliseconds that never goes back. */
interface Clock {
    /** Milliseconds; the origin is near the Unix epoch, the advance is monotonic. */
    fun nowMs(): Long
}

/** Returns a clock that is anchored once to the wall clock and advances with the monotonic one. */
fun systemClock(): Clock = SystemClock()

/** Returns a clock that stands at [startMs] until it is advanced. */
fun manualClock(startMs: Long = 0): ManualClock = ManualClock(startMs)

/** A clock that tests advance by hand. */
class ManualClock internal constructor(private var now: Long) : Clock {
    override fun nowMs(): Long = now

    /** Advances the clock by [ms] milliseconds, which must not be negative. */
    fun advance(ms: Long) {
        require(ms >= 0) { "A clock cannot go back by $ms ms; pass a positive step." }
        now += ms
    }
}

private class SystemClock : Clock {
    private val originMs = System.currentTimeMillis()
    private val originNanos = System.nanoTime()

    override fun nowMs(): Long = originMs + (System.nanoTime() - originNanos) / NANOS_PER_MS
}
