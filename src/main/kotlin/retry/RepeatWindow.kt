/*
 * The repeats and requests of one host at one service, over sliding windows. A repeat is allowed only if no window
 * that holds it, whenever it begins, can have more repeats than its share of requests and slack. The requests of a
 * window are counted half a window earlier, so that they are known when a repeat is decided on. Since that is a sum,
 * the windows of all hosts together keep the bound if their slacks add up to it.
 */
package org.sesamerouter.retry

private const val SLOTS_PER_WINDOW = 40 // even, for half windows
private const val KEPT_WINDOWS = 3
private const val ARRIVAL_DELAY_SLOTS = 4 // a repeat reaches its target so much later at most: connecting takes time
private const val REQUEST_DELAY_SLOTS = 1 // a request was sent so much before it was read

/**
 * Not thread-safe.
 *
 * @param windowMs length of a window.
 * @param share repeats allowed for each request.
 */
internal class RepeatWindow(windowMs: Long, private val share: Double) {
    private val slotMs = maxOf(1, windowMs / SLOTS_PER_WINDOW)
    private val requests = SlotCounts(KEPT_WINDOWS * SLOTS_PER_WINDOW)
    private val repeats = SlotCounts(KEPT_WINDOWS * SLOTS_PER_WINDOW)

    /** Counts a request. */
    fun onRequest(now: Long) = requests.add(now / slotMs)

    /** Counts a repeat. */
    fun onRepeat(now: Long) = repeats.add(now / slotMs)

    /** Takes back a repeat that was counted at [takenMs]. */
    fun onGivenBack(takenMs: Long) = repeats.remove(takenMs / slotMs)

    /** Returns the use of the allowance, which has [slack] repeats besides those for requests. */
    fun use(slack: Double, now: Long): AllowanceUse {
        val current = now / slotMs
        val oldest = current - SLOTS_PER_WINDOW
        return AllowanceUse(repeats.sum(oldest, current), requests.sum(oldest, current), left(slack, now))
    }

    /** Returns how many repeats at [now] no window would have too many of; 0 or less if none. */
    fun left(slack: Double, now: Long): Int {
        val current = now / slotMs
        // A window begins anywhere in its first slot. Slots that it holds in part count for repeats, not for requests.
        val firstSlots = current - SLOTS_PER_WINDOW..current + ARRIVAL_DELAY_SLOTS
        return firstSlots.minOf { first ->
            val half = SLOTS_PER_WINDOW / 2
            val known = requests.sum(first - half + 1 + REQUEST_DELAY_SLOTS, minOf(current, first + half - 1))
            (share * known + slack - repeats.sum(first - ARRIVAL_DELAY_SLOTS, current)).toIntFloor()
        }
    }

    private fun Double.toIntFloor() = Math.floor(this).toInt()
}

/** Counts by numbered slots of time, the last [size] of which are kept. */
private class SlotCounts(private val size: Int) {
    private val counts = IntArray(size)
    private var newest = 0L

    fun add(slot: Long) {
        advanceTo(slot)
        counts[indexOf(minOf(slot, newest))]++
    }

    fun remove(slot: Long) {
        if (slot in newest - size + 1..newest) counts[indexOf(slot)]--
    }

    fun sum(first: Long, last: Long): Int =
        (maxOf(first, newest - size + 1)..minOf(last, newest)).sumOf { counts[indexOf(it)] }

    private fun advanceTo(slot: Long) {
        if (slot <= newest) return
        for (cleared in maxOf(newest + 1, slot - size + 1)..slot) counts[indexOf(cleared)] = 0
        newest = slot
    }

    private fun indexOf(slot: Long) = Math.floorMod(slot, size.toLong()).toInt()
}
