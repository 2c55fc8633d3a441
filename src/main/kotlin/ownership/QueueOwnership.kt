/*
 * Decides which host owns the queue of each stage pool. An owner keeps its term until it leaves, its process ends, or
 * the host that would succeed it finds it silent and most of a few other hosts do too; that one host suspects it, or
 * many do for a moment, changes nothing. An owner that was paused, or that no other host answers, starts no calls until
 * another host has answered it, since its term may have ended meanwhile. A state machine without I/O.
 */
package org.sesamerouter.ownership

import org.sesamerouter.membership.Member
import java.util.random.RandomGenerator

private const val PROBE_INTERVAL_MS = 100L
private const val SILENT_AFTER_MS = 300L // a host that works answers within a few ms, a busy one within 100
private const val CHECK_TIMEOUT_MS = 400L // the witnesses wait for the owner for about a third of this
private const val CHECK_PAUSE_MS = 400L // after a check that found the owner alive
private const val ALONE_AFTER_MS = 1_000L // without any witness
private const val WITNESSES = 4
private const val PAUSED_AFTER_MS = 250L // between two ticks, which are 100 ms apart at most
private const val ISOLATED_AFTER_MS = 250L // an owner stops before the next one has found it silent
private const val OWNER_PROBES = 2 // at a time, since one of the hosts may be slow
private const val FENCED_PROBES = 6 // while none answers, as when most hosts are busy with their own start
private const val ANSWER_AGE_MS = 150L // later answers count as of then, so that leave ends no later than before
private const val SETTLED_MS = 1_500L // a queue is not handed to a host that has just started
private const val BALANCE_INTERVAL_MS = 2_000L
private const val STRONGER_FACTOR = 2

/** What this host knows about the hosts that may own queues. */
interface OwnershipView {
    val self: Member

    /** The hosts that may own queues: those that are ready or leaving and not suspected, including this one. */
    fun owners(): List<Member>

    /** Returns what is known about [host], live or not; null if nothing is. */
    fun member(host: String): Member?

    /** A number that differs whenever what [self], [owners] or [member] return has changed. */
    val changes: Long
}

/** What has to be done about the ownership of queues. */
sealed interface OwnershipEffect {
    /** [term] is in force instead of [previous]; [why] is for the log. */
    data class Changed(val term: OwnerTerm, val previous: OwnerTerm?, val why: String) : OwnershipEffect

    /** Ask [host] for an answer; the outcome goes to [QueueOwnership.onAnswer] or [QueueOwnership.onNoAnswer]. */
    data class Probe(val host: String) : OwnershipEffect

    /** Ask [witness] whether the owner of [term] answers it; the reply goes to [QueueOwnership.onWitness]. */
    data class Ask(val witness: String, val term: OwnerTerm) : OwnershipEffect

    /** Tell [host] that [term] is in force, since it claimed a term with the same number. */
    data class Correct(val host: String, val term: OwnerTerm) : OwnershipEffect

    /** A check of the owner of [term] ended without a takeover, for the log. */
    data class Kept(val term: OwnerTerm, val why: String) : OwnershipEffect
}

/** The owners of the queues as one host knows them. Not thread-safe. */
class QueueOwnership(private val view: OwnershipView, private val random: RandomGenerator) {
    private class Check(val startedMs: Long, val asked: Set<String>) {
        val silent = HashSet<String>()
    }

    private class Pool(val name: String) {
        var term: OwnerTerm? = null

        /** When the owner last answered this host, or when this host began to watch it. */
        var heardMs = 0L
        var probedMs = 0L
        var isWatched = false
        var check: Check? = null
        var nextCheckMs = 0L
        var nextBalanceMs = 0L
    }

    private val search = OwnerSearch(view, random)
    private val readiness = Readiness(view)
    private val pools = sortedMapOf<String, Pool>()
    private val effects = ArrayList<OwnershipEffect>()
    private var lastTickMs: Long? = null
    private var resumedMs = 0L
    private var answeredMs = Long.MIN_VALUE / 2
    private var probedMs = 0L
    private var termChanges = 0L
    private val successors = HashMap<String, Member?>()
    private var successorsFor = 0L to 0L

    /** The terms in force as far as this host knows. */
    val terms: List<OwnerTerm> get() = pools.values.mapNotNull { it.term }

    /** The terms of this host. */
    val ownTerms: List<OwnerTerm> get() = terms.filter(::isOwn)

    /** Returns the term in force for [pool] as far as this host knows. */
    fun termOf(pool: String): OwnerTerm? = pools[pool]?.term

    /** Whether this host owns the queue of [pool]. */
    fun owns(pool: String): Boolean = termOf(pool)?.let(::isOwn) ?: false

    /** Whether this host may start calls of [pool] now. */
    fun mayCall(pool: String, now: Long): Boolean = owns(pool) && !isFenced(now)

    /** Returns the host to which jobs of [pool] go; null if no owner is known, or no host may own queues. */
    fun ownerOf(pool: String): String? {
        val term = termOf(pool) ?: return null
        return if (isGone(term)) successorOf(pool)?.host else term.host
    }

    /** Whether this host looks for the owner of a queue, so that it has to be told the time often. */
    val isSearching: Boolean get() = pools.values.any { it.term == null }

    private fun isOwn(term: OwnerTerm) = term.host == view.self.host && term.incarnation == view.self.incarnation

    /** Whether the process that holds [term] has ended. An unknown host has not, as far as this host knows. */
    private fun isGone(term: OwnerTerm): Boolean {
        val member = if (term.host == view.self.host) view.self else view.member(term.host) ?: return false
        return !member.isLive || member.incarnation > term.incarnation
    }

    /** Learns of [term] from [source]. */
    fun onTerm(term: OwnerTerm, source: String, now: Long): List<OwnershipEffect> {
        correct(term)
        adopt(term, "told by $source", now)
        return takeEffects()
    }

    /**
     * Tells the claimant that loses by the order about the other one, of which it may not know yet. A few hosts do so,
     * since the term arrives at all of them.
     */
    private fun correct(term: OwnerTerm) {
        val known = termOf(term.pool) ?: return
        if (term.number != known.number || term == known) return
        val (winner, loser) = if (term.supersedes(known)) term to known else known to term
        val isOne = isOwn(winner) || random.nextInt(maxOf(1, view.owners().size)) < WITNESSES
        if (isOne && loser.host != view.self.host) effects += OwnershipEffect.Correct(loser.host, winner)
    }

    /**
     * Takes over [pool] for a job that has arrived here, if nobody owns it and this host does not leave. Without any
     * known owner, only the host that suits best claims, or one that is alone, until the others have had time for it.
     */
    fun onJob(pool: String, now: Long): List<OwnershipEffect> {
        val term = poolOf(pool).term
        val mayOwn = !view.self.leaving || view.owners().all { it.leaving }
        when {
            !mayOwn -> Unit
            term != null -> if (isGone(term)) claim(pool, "owner gone", now)
            search.isAlone() || isFirstFor(pool, now) || search.isStranded(now) -> claim(pool, "no owner known", now)
        }
        return takeEffects()
    }

    private fun isFirstFor(pool: String, now: Long) =
        search.isOver(pool, now) && successorOf(pool)?.host == view.self.host

    /** Gives the queue of [pool] to the host that suits best besides this one, if there is one that stays. */
    fun handOver(pool: String, why: String, now: Long): List<OwnershipEffect> {
        val term = termOf(pool)?.takeIf(::isOwn) ?: return emptyList()
        val next = successorOf(pool)?.takeIf { it.host != view.self.host && !it.leaving } ?: return emptyList()
        adopt(OwnerTerm(pool, term.number + 1, next.host, next.incarnation), why, now)
        return takeEffects()
    }

    /** [host] answered a probe that was sent at [sentMs]. */
    fun onAnswer(host: String, sentMs: Long, now: Long) {
        if (sentMs >= resumedMs) answeredMs = maxOf(answeredMs, minOf(now, sentMs + ANSWER_AGE_MS))
        search.onAnswer(host)
        onHeard(host, now)
    }

    /** A message from [host] arrived that may have been sent some time ago. */
    fun onHeard(host: String, now: Long) {
        for (pool in pools.values) {
            if (pool.term?.host != host) continue
            pool.heardMs = now
            pool.check = null
        }
    }

    /** [host] refused a probe, as it does when its process has ended. */
    fun onNoAnswer(host: String, now: Long): List<OwnershipEffect> {
        pools.values.filter { it.term?.host == host && it.isWatched }.forEach { startCheck(it, now) }
        return takeEffects()
    }

    /** [witness] said whether the owner of [term] answers it. */
    fun onWitness(witness: String, term: OwnerTerm, isAnswering: Boolean, now: Long): List<OwnershipEffect> {
        val pool = pools[term.pool] ?: return emptyList()
        val check = pool.check ?: return emptyList()
        if (pool.term != term || witness !in check.asked) return emptyList()
        answeredMs = now
        if (isAnswering) {
            pool.check = null
            pool.heardMs = now
            pool.nextCheckMs = now + CHECK_PAUSE_MS
            effects += OwnershipEffect.Kept(term, "answers $witness")
        } else {
            check.silent += witness
            if (check.silent.size * 2 > check.asked.size) claim(pool.name, "owner silent", now)
        }
        return takeEffects()
    }

    /** Runs the time-based checks for the queues of [names]. */
    fun onTick(names: Collection<String>, now: Long): List<OwnershipEffect> {
        val sinceTickMs = now - (lastTickMs ?: now)
        lastTickMs = now
        if (sinceTickMs > PAUSED_AFTER_MS) onPause(now)
        names.forEach { poolOf(it) }
        readiness.onTick(now)
        // A host that has been alone since it started has not been cut off from anyone.
        if (!readiness.hasSeenOthers) answeredMs = now
        search.onTick(isSearching, now).forEach { effects += OwnershipEffect.Probe(it) }
        pools.values.forEach { tick(it, now) }
        if (ownTerms.isNotEmpty() && now - probedMs >= PROBE_INTERVAL_MS) probeAny(now)
        return takeEffects()
    }

    /** What this host heard before a pause says nothing about what happened meanwhile. */
    private fun onPause(now: Long) {
        resumedMs = now
        answeredMs = Long.MIN_VALUE / 2
        pools.values.forEach {
            it.heardMs = now
            it.check = null
        }
    }

    private fun isFenced(now: Long): Boolean =
        now - answeredMs > ISOLATED_AFTER_MS && view.owners().any { it.host != view.self.host }

    private fun tick(pool: Pool, now: Long) {
        val term = pool.term
        val isSuccessor = !view.self.leaving && successorOf(pool.name)?.host == view.self.host
        when {
            term == null -> if (isSuccessor && search.isOver(pool.name, now)) claim(pool.name, "no owner known", now)
            isOwn(term) -> balance(pool, now)
            isGone(term) -> if (isSuccessor) claim(pool.name, "owner gone", now)
            isSuccessor -> watch(pool, term, now)
            else -> pool.isWatched = false
        }
    }

    private fun watch(pool: Pool, term: OwnerTerm, now: Long) {
        if (!pool.isWatched) {
            pool.isWatched = true
            pool.heardMs = now
        }
        if (now - pool.probedMs >= PROBE_INTERVAL_MS) {
            pool.probedMs = now
            effects += OwnershipEffect.Probe(term.host)
        }
        val check = pool.check
        when {
            check == null -> if (now - pool.heardMs >= SILENT_AFTER_MS) startCheck(pool, now)
            now - check.startedMs >= CHECK_TIMEOUT_MS -> endCheck(pool, check, now)
        }
    }

    private fun startCheck(pool: Pool, now: Long) {
        val term = pool.term ?: return
        if (pool.check != null || now < pool.nextCheckMs) return
        val others = view.owners().map { it.host }.filter { it != term.host && it != view.self.host }
        val asked = others.shuffled(kotlin.random.Random(random.nextLong())).take(WITNESSES)
        pool.check = Check(now, asked.toSet())
        asked.forEach { effects += OwnershipEffect.Ask(it, term) }
    }

    private fun endCheck(pool: Pool, check: Check, now: Long) {
        val isSilent = if (check.asked.isEmpty()) {
            now - pool.heardMs >= ALONE_AFTER_MS
        } else {
            check.silent.size >= minOf(2, check.asked.size)
        }
        if (isSilent) {
            claim(pool.name, "owner silent", now)
            return
        }
        if (check.asked.isEmpty()) return
        pool.check = null
        pool.term?.let {
            effects +=
                OwnershipEffect.Kept(it, "${check.silent.size} of ${check.asked.size} found it silent")
        }
    }

    /** Gives a queue away that another host suits much better for, one at a time. */
    private fun balance(pool: Pool, now: Long) {
        if (view.self.leaving || now < pool.nextBalanceMs) return
        pool.nextBalanceMs = now + BALANCE_INTERVAL_MS
        val next = successorOf(pool.name) ?: return
        val isFirst = ownTerms.first().pool == pool.name
        val isTooWeak = next.processorPercent >= view.self.processorPercent * STRONGER_FACTOR
        if (readiness.readyForMs(next, now) < SETTLED_MS) {
            pool.nextBalanceMs = now + PROBE_INTERVAL_MS
            return
        }
        val isFree = terms.none { it.host == next.host && !isGone(it) }
        if (isFree && (isTooWeak || !isFirst)) {
            effects += handOver(pool.name, if (isTooWeak) "stronger host" else "one queue a host", now)
        }
    }

    private fun probeAny(now: Long) {
        val others = view.owners().map { it.host }.filter { it != view.self.host }
        if (others.isEmpty()) return
        probedMs = now
        val count = if (isFenced(now)) FENCED_PROBES else OWNER_PROBES
        repeat(count) { effects += OwnershipEffect.Probe(others[random.nextInt(others.size)]) }
    }

    /** Returns the host that owns [pool] after the present owner; one without another queue, if there is one. */
    private fun successorOf(pool: String): Member? {
        val state = view.changes to termChanges
        if (successorsFor != state) {
            successorsFor = state
            successors.clear()
        }
        return successors.getOrPut(pool) { chooseSuccessor(pool) }
    }

    private fun chooseSuccessor(pool: String): Member? {
        val term = termOf(pool)
        val candidates = view.owners().filter { it.host != term?.host || it.incarnation > term.incarnation }
        val busy = pools.values.filter { it.name != pool }.mapNotNull { it.term }
            .filterNot(::isGone).mapTo(HashSet()) { it.host }
        val order = ownerOrder(pool, candidates)
        return order.firstOrNull { !it.leaving && it.host !in busy } ?: order.firstOrNull()
    }

    private fun claim(pool: String, why: String, now: Long) {
        val previous = poolOf(pool).term
        val own = view.self
        val term = OwnerTerm(pool, (previous?.number ?: 0) + 1, own.host, own.incarnation, previous != null)
        adopt(term, why, now)
    }

    private fun adopt(term: OwnerTerm, why: String, now: Long) {
        val pool = poolOf(term.pool)
        val previous = pool.term
        if (!term.supersedes(previous)) return
        pool.term = term
        termChanges++
        pool.check = null
        pool.isWatched = false
        pool.nextBalanceMs = now + BALANCE_INTERVAL_MS
        effects += OwnershipEffect.Changed(term, previous, why)
    }

    private fun poolOf(name: String) = pools.getOrPut(name) { Pool(name) }

    private fun takeEffects(): List<OwnershipEffect> = effects.toList().also { effects.clear() }
}
