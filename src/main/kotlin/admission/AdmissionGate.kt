/*
 * Admission control: decides on arrival whether a request can be answered before its deadline. The gate tracks the
 * outstanding work of admitted requests by pool and estimates the waiting time on the slots that this host may use
 * there, in the way that the fair queue assigns them: a request waits for the work of its organisation at the same and
 * lower ranks, and for other organisations only as far as its organisation exceeds its fair share.
 */
package org.sesamerouter.admission

import java.util.TreeMap

/** The work of one stage: its [pool], and the 50th and 90th percentiles of its service time there. */
data class StageWork(val pool: String, val p50Ms: Long, val p90Ms: Long)

/** The properties of a request on which admission depends; a lower [rank] is more urgent. */
data class GateRequest(
    val organisation: String,
    val weight: Int,
    val rank: Int,
    val deadlineMs: Long,
    val work: List<StageWork>,
)

/** The result of an admission check. */
sealed interface GateDecision {
    data object Admit : GateDecision

    /** The deadline cannot be met; a similar request is likely to be admitted after [retryAfterMs]. */
    data class Refuse(val retryAfterMs: Long) : GateDecision
}

/** Admission control by the committed work of each pool, rank and organisation. Not thread-safe. */
class AdmissionGate {
    private val pools = HashMap<String, CommittedWork>()
    private val safetyFactors = HashMap<SafetyFactorKey, Double>()

    /** Decides on [request]; [slotsOf] returns the number of slots that this host may use in a pool. */
    fun decide(request: GateRequest, now: Long, slotsOf: (String) -> Double): GateDecision {
        var finish = now
        var overrunMs = 0L
        for ((i, work) in request.work.withIndex()) {
            val waitMs = waitMs(request, work.pool, slotsOf(work.pool), now)
                ?: return GateDecision.Refuse(NO_SLOT_RETRY_MS)
            val start = maxOf(finish, now + waitMs)
            val laterStagesMs = request.work.drop(i + 1).sumOf { it.p50Ms }
            overrunMs = maxOf(overrunMs, start + work.p90Ms + laterStagesMs - request.deadlineMs)
            finish = start + work.p50Ms
        }
        return if (overrunMs <= 0) GateDecision.Admit else GateDecision.Refuse(maxOf(overrunMs, MIN_RETRY_MS))
    }

    /** Adds [work] of an admitted request. */
    fun commit(request: GateRequest, work: StageWork, now: Long) {
        val pool = pools.getOrPut(work.pool) { CommittedWork() }
        pool.add(request, work.p50Ms)
        pool.workRateOf(request).add(work.p50Ms, now)
    }

    /** Removes [work] that is done or was abandoned. */
    fun release(request: GateRequest, work: StageWork) {
        pools[work.pool]?.add(request, -work.p50Ms)
    }

    /**
     * Adjusts the safety factor by whether an admitted request was answered [inTime]. There is one factor for each
     * organisation and rank, so that missed deadlines of an overloading organisation do not cause refusals for others.
     */
    fun onEnd(request: GateRequest, inTime: Boolean) {
        val key = SafetyFactorKey(request.organisation, request.rank)
        val old = safetyFactors[key] ?: 1.0
        safetyFactors[key] =
            if (inTime) maxOf(1.0, old - SAFETY_DECREASE) else minOf(MAX_SAFETY_FACTOR, old + SAFETY_INCREASE)
    }

    /** Returns the committed work of [pool] in slot milliseconds. */
    fun committedMs(pool: String): Long = pools[pool]?.totalMs ?: 0

    /**
     * Estimates how long a new request waits in [pool]. The slots available to it are the fair share of its
     * organisation less those that the organisation's lower ranks keep busy. Returns null when there are no slots, or
     * when almost none remain and the pool is not idle.
     */
    private fun waitMs(request: GateRequest, pool: String, slots: Double, now: Long): Long? {
        if (slots <= 0.0) return null
        val committed = pools[pool] ?: return 0
        val all = committed.totalMs / slots
        val shared = committed.fairShareSlots(request, slots, now)
        val available = shared - committed.busySlotsOfLowerRanks(request, now)
        if (available <= shared * MIN_REMAINING_SHARE) return if (all <= MAX_IDLE_WAIT_MS) 0 else null
        val own = committed.workMsUpToRank(request) / available
        return (minOf(all, own) * safetyFactorOf(request)).toLong()
    }

    private fun safetyFactorOf(request: GateRequest) =
        safetyFactors[SafetyFactorKey(request.organisation, request.rank)] ?: 1.0

    private data class SafetyFactorKey(val organisation: String, val rank: Int)

    private companion object {
        const val MIN_RETRY_MS = 50L
        const val NO_SLOT_RETRY_MS = 1_000L
        const val SAFETY_INCREASE = 0.05
        const val SAFETY_DECREASE = 0.002
        const val MAX_SAFETY_FACTOR = 4.0
        const val MIN_REMAINING_SHARE = 0.02
        const val MAX_IDLE_WAIT_MS = 50.0
    }
}

/** The rate of committed work in the last complete window, as the number of slots that it keeps busy. */
private class WorkRate {
    private var windowStartMs = 0L
    private var current = 0L
    private var last = 0L

    fun add(ms: Long, now: Long) {
        roll(now)
        current += ms
    }

    fun slots(now: Long): Double {
        roll(now)
        return last.toDouble() / WINDOW_MS
    }

    private fun roll(now: Long) {
        val passed = now - windowStartMs
        if (passed < WINDOW_MS) return
        last = if (passed < 2 * WINDOW_MS) current else 0
        current = 0
        windowStartMs = now
    }

    private companion object {
        const val WINDOW_MS = 1_000L
    }
}

private class CommittedWork {
    private val organisations = HashMap<String, OrganisationWork>()
    var totalMs = 0L
        private set

    private class OrganisationWork(var weight: Int) {
        val byRank = TreeMap<Int, Long>()
        val rates = TreeMap<Int, WorkRate>()
        var ms = 0L

        fun slots(now: Long): Double = rates.values.sumOf { it.slots(now) }
    }

    fun workRateOf(request: GateRequest): WorkRate = workOf(request).rates.getOrPut(request.rank) { WorkRate() }

    /** Returns the number of slots that lower ranks of the same organisation keep busy. */
    fun busySlotsOfLowerRanks(request: GateRequest, now: Long): Double =
        organisations[request.organisation]?.rates?.headMap(request.rank, false)?.values.orEmpty().sumOf {
            it.slots(now)
        }

    fun add(request: GateRequest, ms: Long) {
        val work = workOf(request)
        work.weight = request.weight
        work.byRank.merge(request.rank, ms, Long::plus)
        work.ms += ms
        totalMs += ms
    }

    fun workMsUpToRank(request: GateRequest): Double =
        organisations[request.organisation]?.byRank?.headMap(request.rank, true)?.values.orEmpty().sum().toDouble()

    /**
     * Returns the number of slots that the fair queue assigns to the request's organisation: the slots that
     * organisations without a backlog do not need, divided by weight among those with one.
     */
    fun fairShareSlots(request: GateRequest, slots: Double, now: Long): Double {
        val others = organisations.filter { it.key != request.organisation && it.value.ms > 0 }.values
        val slotsPerWeight = slots / (request.weight + others.sumOf { it.weight })
        val (withBacklog, withoutBacklog) = others.partition { it.ms > BACKLOG_MS * slotsPerWeight * it.weight }
        val slotsUsed = withoutBacklog.sumOf { work -> minOf(work.slots(now), slotsPerWeight * work.weight) }
        return (slots - slotsUsed) * request.weight / (request.weight + withBacklog.sumOf { it.weight })
    }

    private fun workOf(request: GateRequest) =
        organisations.getOrPut(request.organisation) { OrganisationWork(request.weight) }

    private companion object {
        /** An organisation has a backlog when its committed work takes longer than this on its fair share. */
        const val BACKLOG_MS = 500.0
    }
}
