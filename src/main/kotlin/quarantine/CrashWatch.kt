/*
 * Finds out which requests were lost to the death of a target. A lost answer alone is no death: only when the target is
 * then seen to be down, or to have started again, does it count against the requests that it had just lost.
 */
package org.sesamerouter.quarantine

private const val LINK_MS = 4_000L // targets that crash are missed by their entry or a connection within this
private const val MAX_LOSSES = 1_000

/** Losses of one host that may turn out to be deaths. Not thread-safe. */
class CrashWatch {
    private class Loss(val fingerprint: String, val target: String, val incarnation: String, val atMs: Long)

    private val losses = ArrayDeque<Loss>()

    /** Notes that [target] lost the request with [fingerprint]. */
    fun onLost(fingerprint: String, target: String, incarnation: String, now: Long) {
        losses.addLast(Loss(fingerprint, target, incarnation, now))
        if (losses.size > MAX_LOSSES) losses.removeFirst()
    }

    /** Takes in that the incarnation of [target] is down; returns the deaths that this explains. */
    fun onDown(target: String, incarnation: String, now: Long): List<DeathNotice> {
        losses.removeIf { now - it.atMs > LINK_MS }
        val explained = losses.filter { it.target == target && it.incarnation == incarnation }
        losses.removeAll(explained.toSet())
        return explained.map { DeathNotice(it.fingerprint, target, incarnation) }.distinct()
    }
}
