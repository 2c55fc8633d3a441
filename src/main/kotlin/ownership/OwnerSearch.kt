/*
 * Decides whether a host that knows no owner of a queue may claim it. When a whole fleet has started, nobody knows a
 * term, and waiting for one leaves the queues without owners. When one host has started, the others know the terms, and
 * a claim would compete with an owner that works. So a host that has become ready asks the ready host that has run the
 * longest, and a few others. A state machine without I/O.
 */
package org.sesamerouter.ownership

import org.sesamerouter.membership.Member
import org.sesamerouter.routing.rendezvous
import java.util.random.RandomGenerator

private const val ASKED = 3
private const val ASK_INTERVAL_MS = 50L
private const val SEARCH_MS = 100L // leaves 200 of the 300 ms that are the goal
private const val FULL_PERCENT = 100
private const val STRANDED_AFTER_MS = 400L // the host that should claim is silent; it would be suspected after a second

/** The search of one host for the terms that others know. Not thread-safe. */
internal class OwnerSearch(private val view: OwnershipView, private val random: RandomGenerator) {
    private val asked = HashSet<String>()
    private var readyMs: Long? = null
    private var askedMs = Long.MIN_VALUE / 2
    private var hasAnswer = false

    /** Returns the hosts to be asked for their terms now, if any queue [isUnowned]. */
    fun onTick(isUnowned: Boolean, now: Long): List<String> {
        val others = others()
        if (!isSelfReady()) return emptyList()
        if (readyMs == null) readyMs = now
        if (!isUnowned || others.isEmpty() || now - askedMs < ASK_INTERVAL_MS) return emptyList()
        askedMs = now
        val oldest = others.minWith(compareBy({ it.incarnation }, { it.host })).host
        val chosen = List(ASKED - 1) { others[random.nextInt(others.size)].host } + oldest
        return chosen.distinct().also { asked += it }
    }

    /** [host] answered; the terms that it knows have been learned. */
    fun onAnswer(host: String) {
        hasAnswer = hasAnswer || host in asked
    }

    /** Whether this host may claim queues that nobody owns, as far as the hosts that it asked know. */
    fun isOver(pool: String, now: Long): Boolean {
        val sinceMs = now - (readyMs ?: return false)
        return isStranded(now) || (sinceMs >= waitMs(pool) && (hasAnswer || others().isEmpty()))
    }

    /**
     * Hosts that become ready together do not know of each other yet. They wait for different times, those with little
     * processor time longer, so that the claim of the first has arrived at the others before they would claim.
     */
    private fun waitMs(pool: String): Long {
        val share = (rendezvous(pool, view.self.host) ushr 1).toDouble() / Long.MAX_VALUE
        val missingPercent = maxOf(0, FULL_PERCENT - view.self.processorPercent)
        return (SEARCH_MS * share / 2).toLong() + SEARCH_MS * missingPercent / FULL_PERCENT / 2
    }

    /** Whether the host that suits best would have claimed by now, so that any other one may. */
    fun isStranded(now: Long): Boolean = readyMs?.let { now - it >= SEARCH_MS + STRANDED_AFTER_MS } ?: false

    /** Whether this host is the only one that may own queues. */
    fun isAlone(): Boolean = isSelfReady() && others().isEmpty()

    private fun isSelfReady() = view.owners().any { it.host == view.self.host }

    private fun others() = view.owners().filter { it.host != view.self.host }
}

/** Since when this host has known the other hosts as ready. Not thread-safe. */
internal class Readiness(private val view: OwnershipView) {
    private var since = emptyMap<Pair<String, Long>, Long>()
    private var knownFor: Long? = null

    /** Whether this host has known any other host as ready since it started. */
    var hasSeenOthers = false
        private set

    fun onTick(now: Long) {
        if (knownFor == view.changes) return
        knownFor = view.changes
        val others = view.owners().filter { it.host != view.self.host }
        if (others.isNotEmpty()) hasSeenOthers = true
        since = others.associate { (it.host to it.incarnation).let { run -> run to (since[run] ?: now) } }
    }

    /** Time for which [member] has been known as ready without a break. */
    fun readyForMs(member: Member, now: Long): Long = since[member.host to member.incarnation]?.let { now - it } ?: 0
}
