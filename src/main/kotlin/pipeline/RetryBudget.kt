/*
 * Limits retries and hedges to a share of the request rate, so that they cannot amplify an overload.
 */
package org.sesamerouter.pipeline

/**
 * A token bucket for retries and hedges. Not thread-safe.
 *
 * @param share tokens that each request adds.
 * @param burst most tokens kept; the bucket starts full.
 */
class RetryBudget(private val share: Double, private val burst: Double) {
    private var tokens = burst

    /** Adds the share of one request. */
    fun deposit() {
        tokens = minOf(burst, tokens + share)
    }

    /** Whether a token is left. */
    val canWithdraw: Boolean get() = tokens >= 1.0

    /** Withdraws a token for one retry or hedge; returns false when none is left. */
    fun tryWithdraw(): Boolean {
        if (!canWithdraw) return false
        tokens -= 1.0
        return true
    }
}
