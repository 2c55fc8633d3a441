/*
 * How many repeats a host may send to each service.
 */
package org.sesamerouter.retry

/** How much of its allowance for a service a host has used. */
data class AllowanceUse(val repeats: Int, val requests: Int, val left: Int)

/** The repeats that a host may send. Not thread-safe. */
interface RepeatAllowance {
    /** Counts a request of a caller for [service]. */
    fun onRequest(service: String, now: Long)

    /** Returns how many repeats at [service] are allowed now; 0 or less if none. */
    fun left(service: String, now: Long): Int

    /** Counts a repeat at [service], if it is allowed; returns whether it is. */
    fun tryTake(service: String, reason: RepeatReason, now: Long): Boolean

    /** Takes back a repeat that was counted at [takenMs] and did not reach [service]. */
    fun giveBack(service: String, reason: RepeatReason, takenMs: Long)

    /** The part of the slack that this host may use at each service. */
    fun slackShare(now: Long): Double

    /** Returns the use of the allowance for each service that requests came for. */
    fun uses(now: Long): Map<String, AllowanceUse>
}
