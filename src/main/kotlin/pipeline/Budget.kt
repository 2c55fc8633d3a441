/*
 * Budgets of extra attempts as a share of requests, so that retries and hedges cannot multiply an overload.
 */
package org.sesamerouter.pipeline

/** Every request earns [share] of one extra attempt, up to [burst] saved ones. Not thread-safe. */
class Budget(private val share: Double, private val burst: Double) {
    private var saved = burst

    /** Earns for one request. */
    fun earn() {
        saved = minOf(burst, saved + share)
    }

    /** Spends one extra attempt when there is one. */
    fun trySpend(): Boolean {
        if (saved < 1.0) return false
        saved -= 1.0
        return true
    }
}
