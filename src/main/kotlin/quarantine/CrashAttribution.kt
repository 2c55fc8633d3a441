/*
 * Attributes target deaths to requests. A lost response alone does not prove a death; it is attributed to the request
 * only when the target is found to be down or restarted shortly before or afterwards.
 */
package org.sesamerouter.quarantine

// The entry of a crashed target is gone by then: three heartbeats and the way from the store to the hosts.
private const val ATTRIBUTION_WINDOW_MS = 5_000L
private const val MAX_LOST_REQUESTS = 1_000
private const val MAX_DOWN_TARGETS = 256

/** Requests of one host that were lost recently, possibly by the death of their target. Not thread-safe. */
class CrashAttribution {
    private class LostRequest(val notice: DeathNotice, val atMs: Long)

    private val lostRequests = ArrayDeque<LostRequest>()

    /** When each incarnation was found to be down. */
    private val downSince = LinkedHashMap<Pair<String, String>, Long>()

    /**
     * Records that a request was lost as [notice] tells, if its target died. Returns the notice if the target is known
     * to be down.
     */
    fun onRequestLost(notice: DeathNotice, now: Long): DeathNotice? {
        val since = downSince[notice.target to notice.targetIncarnation]
        if (since != null && now - since <= ATTRIBUTION_WINDOW_MS) return notice
        lostRequests.addLast(LostRequest(notice, now))
        if (lostRequests.size > MAX_LOST_REQUESTS) lostRequests.removeFirst()
        return null
    }

    /** Handles that [incarnation] of [target] is down; returns the deaths attributed to requests lost there. */
    fun onTargetDown(target: String, incarnation: String, now: Long): List<DeathNotice> {
        downSince.putIfAbsent(target to incarnation, now)
        if (downSince.size > MAX_DOWN_TARGETS) downSince.remove(downSince.keys.first())
        lostRequests.removeIf { now - it.atMs > ATTRIBUTION_WINDOW_MS }
        val attributed = lostRequests.filter {
            it.notice.target == target && it.notice.targetIncarnation == incarnation
        }
        lostRequests.removeAll(attributed.toSet())
        return attributed.map { it.notice }.distinct()
    }
}
