/*
 * The one place that lets a request be sent to its service. Each send needs a pass, and only the gate makes passes:
 * one for the first arrival of a request, and one for each further arrival that the allowance pays for.
 */
package org.sesamerouter.retry

/** Leave for one arrival of a request at its service. */
sealed interface SendPass {
    /** Why the service gets the request again; null at the first time. */
    val reason: RepeatReason?

    /** Repeats that the allowance has left for the service. */
    val left: Int
}

private class GrantedPass(override val reason: RepeatReason?, override val left: Int, val takenMs: Long) : SendPass

/** The allowance for [service] is used up, or has some left again; [refused] repeats were not sent meanwhile. */
data class AllowanceChange(val service: String, val isUsedUp: Boolean, val use: AllowanceUse?, val refused: Int)

/** Gives passes as far as [allowance] allows. Not thread-safe. */
class SendGate(private val allowance: RepeatAllowance) {
    private val refused = HashMap<String, Int>()
    private val changes = ArrayList<AllowanceChange>()

    /** Counts a request of a caller for [service] and returns the pass for its first arrival there. */
    fun onRequest(service: String, now: Long): SendPass {
        allowance.onRequest(service, now)
        return GrantedPass(reason = null, left = 0, now)
    }

    /** Whether a repeat at [service] would get a pass. */
    fun mayRepeat(service: String, now: Long): Boolean = allowance.left(service, now) >= 1

    /** Returns a pass for a repeat at [service], or null if the allowance is used up. */
    fun repeat(service: String, reason: RepeatReason, now: Long): SendPass? {
        if (!allowance.tryTake(service, reason, now)) {
            val count = refused.merge(service, 1, Int::plus) ?: 1
            if (count == 1) changes += AllowanceChange(service, isUsedUp = true, allowance.uses(now)[service], count)
            return null
        }
        return GrantedPass(reason, allowance.left(service, now), now)
    }

    /**
     * Returns the pass for a send of [pass] at [now], or null if the allowance is used up by now. A repeat counts where
     * it arrives, which may be seconds after its pass was taken: its stages may have been made again.
     */
    fun use(pass: SendPass, service: String, now: Long): SendPass? {
        val reason = pass.reason
        if (reason == null || pass !is GrantedPass || pass.takenMs == now) return pass
        allowance.giveBack(service, reason, pass.takenMs)
        return repeat(service, reason, now)
    }

    /** Returns what changed since the last call, for the log. */
    fun takeChanges(now: Long): List<AllowanceChange> {
        val back = refused.filterKeys { mayRepeat(it, now) }
        back.forEach { (service, count) ->
            refused -= service
            changes += AllowanceChange(service, isUsedUp = false, allowance.uses(now)[service], count)
        }
        return changes.toList().also { changes.clear() }
    }
}
