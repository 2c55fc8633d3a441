/*
 * Time source for all packages. State machines never read a clock: the current time is passed in with each event. Only
 * adapters and the control loop hold a Clock.
 */
package org.sesamerouter.clock

private const val NANOS_PER_MS = 1_000_000L

/** A monotonic source of time in milliseconds. */
interface Clock {
    /** Returns the time in milliseconds, approximately since the Unix epoch. It never decreases. */
    fun nowMs(): Long
}

/** Returns a clock that reads the wall clock once at creation and then advances with the monotonic clock. */
fun systemClock(): Clock = SystemClock()

/** Returns a clock that stays at [startMs] until it is advanced. */
fun manualClock(startMs: Long = 0): ManualClock = ManualClock(startMs)

/** A clock that is advanced explicitly, for tests. */
class ManualClock internal constructor(private var now: Long) : Clock {
    override fun nowMs(): Long = now

    /** Advances the clock by [ms] milliseconds, which must not be negative. */
    fun advance(ms: Long) {
        require(ms >= 0) { "The clock cannot be advanced by $ms ms; the step must not be negative." }
        now += ms
    }
}

private class SystemClock : Clock {
    private val originMs = System.currentTimeMillis()
    private val originNanos = System.nanoTime()

    override fun nowMs(): Long = originMs + (System.nanoTime() - originNanos) / NANOS_PER_MS
}
