/*
 * Attributes target deaths to requests. A lost response alone does not prove a death; it is attributed to the request
 * only when the target is found to be down or restarted shortly afterwards.
 */
package org.sesamerouter.quarantine

// A crash shows within this time: the directory entry of the target is missing or a connection fails.
private const val ATTRIBUTION_WINDOW_MS = 4_000L
private const val MAX_LOST_REQUESTS = 1_000

/** Requests of one host that were lost recently, possibly by the death of their target. Not thread-safe. */
class CrashAttribution {
    private class LostRequest(val fingerprint: String, val target: String, val incarnation: String, val atMs: Long)

    private val lostRequests = ArrayDeque<LostRequest>()

    /** Records that the request with [fingerprint] was lost on [target]. */
    fun onRequestLost(fingerprint: String, target: String, incarnation: String, now: Long) {
        lostRequests.addLast(LostRequest(fingerprint, target, incarnation, now))
        if (lostRequests.size > MAX_LOST_REQUESTS) lostRequests.removeFirst()
    }

    /** Handles that [incarnation] of [target] is down; returns the deaths attributed to requests lost there. */
    fun onTargetDown(target: String, incarnation: String, now: Long): List<DeathNotice> {
        lostRequests.removeIf { now - it.atMs > ATTRIBUTION_WINDOW_MS }
        val attributed = lostRequests.filter { it.target == target && it.incarnation == incarnation }
        lostRequests.removeAll(attributed.toSet())
        return attributed.map { DeathNotice(it.fingerprint, target, incarnation) }.distinct()
    }
}
