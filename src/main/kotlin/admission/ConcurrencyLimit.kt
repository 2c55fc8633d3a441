/*
 * The limit of requests that this host may have in progress on one target. Additive increase while the limit is fully
 * used and the target has no queue, multiplicative decrease when the target refuses work or reports a queue.
 */
package org.sesamerouter.admission

private const val REFUSAL_DECREASE_FACTOR = 0.7
private const val MIN_DECREASE_FACTOR = 0.5
private const val MIN_DECREASE_INTERVAL_MS = 200L

/** An adaptive concurrency limit between 1 and the number of [slots] of the target. Not thread-safe. */
class ConcurrencyLimit(private val slots: Int, initialLimit: Double) {
    private var value = initialLimit.coerceIn(1.0, slots.toDouble())
    private var lastDecreaseMs = Long.MIN_VALUE / 2

    val limit: Int get() = value.toInt()

    /** Records a successful attempt while [inProgress] attempts were running and [queued] requests waited. */
    fun onSuccess(inProgress: Int, queued: Int) {
        if (inProgress >= limit && queued == 0) value = minOf(slots.toDouble(), value + 1.0 / value)
    }

    /** Records that the target refused a request. */
    fun onRefusal(now: Long) = decrease(REFUSAL_DECREASE_FACTOR, now)

    /** Records that [queued] requests wait for a slot of the target; each host reduces its limit proportionally. */
    fun onReport(queued: Int, now: Long) {
        if (queued > 0) decrease(maxOf(MIN_DECREASE_FACTOR, slots.toDouble() / (slots + queued)), now)
    }

    private fun decrease(factor: Double, now: Long) {
        if (now - lastDecreaseMs < MIN_DECREASE_INTERVAL_MS) return
        lastDecreaseMs = now
        value = maxOf(1.0, value * factor)
    }
}
