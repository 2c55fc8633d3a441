/*
 * Decides on arrival whether a request can be answered in time. The gate keeps the work that admitted requests still
 * need in each pool and compares it with the slots that this host may use there, as the fair queue will give them out:
 * an organisation is held up by its own work of lower ranks, and by others only as far as it asks for more than its
 * share.
 */
package org.sesamerouter.admission

import java.util.TreeMap

/** Work of one stage: the [pool] that does it and the time that it is expected to take there. */
data class StageWork(val pool: String, val typicalMs: Long, val highMs: Long)

/** What the gate needs to know of a request. */
data class GateRequest(
    val organisation: String,
    val weight: Int,
    val rank: Int,
    val deadlineMs: Long,
    val work: List<StageWork>,
)

/** The answer of the gate. */
sealed interface GateDecision {
    data object Admit : GateDecision

    /** The deadline cannot be met; the load lets such a request in after about [retryAfterMs]. */
    data class Refuse(val retryAfterMs: Long) : GateDecision
}

/** Committed work by pool, rank and organisation. Not thread-safe. */
class AdmissionGate {
    private val pools = HashMap<String, CommittedWork>()
    private val caution = HashMap<CautionKey, Double>()

    /** Decides on [request]; [slotsOf] gives the slots that this host may use in a pool. */
    fun decide(request: GateRequest, now: Long, slotsOf: (String) -> Double): GateDecision {
        var finish = now
        var worst = 0L
        for ((i, work) in request.work.withIndex()) {
            val waitMs = waitMs(request, work.pool, slotsOf(work.pool), now)
                ?: return GateDecision.Refuse(NO_SLOT_RETRY_MS)
            val start = maxOf(finish, now + waitMs)
            val rest = request.work.drop(i + 1).sumOf { it.typicalMs }
            worst = maxOf(worst, start + work.highMs + rest - request.deadlineMs)
            finish = start + work.typicalMs
        }
        return if (worst <= 0) GateDecision.Admit else GateDecision.Refuse(maxOf(worst, MIN_RETRY_MS))
    }

    /** Adds [work] of an admitted request. */
    fun commit(request: GateRequest, work: StageWork, now: Long) {
        val pool = pools.getOrPut(work.pool) { CommittedWork() }
        pool.add(request, work.typicalMs)
        pool.rateOf(request).add(work.typicalMs, now)
    }

    /** Takes back [work] that was done or given up. */
    fun release(request: GateRequest, work: StageWork) {
        pools[work.pool]?.add(request, -work.typicalMs)
    }

    /**
     * Learns whether an admitted request was answered [inTime]. Misses make the gate more careful with the organisation
     * that had them, so that one that asks for too much does not make it refuse the others.
     */
    fun onEnd(request: GateRequest, inTime: Boolean) {
        val key = CautionKey(request.organisation, request.rank)
        val old = caution[key] ?: 1.0
        caution[key] = if (inTime) maxOf(1.0, old - CAUTION_DOWN) else minOf(MOST_CAUTION, old + CAUTION_UP)
    }

    /** Returns the committed work of [pool] in milliseconds of one slot. */
    fun committedMs(pool: String): Long = pools[pool]?.totalMs ?: 0

    /**
     * Returns the time until [pool] comes to a new request. The organisation's own work of lower ranks that keeps
     * coming leaves only the rest of its share; null when it leaves nothing.
     */
    private fun waitMs(request: GateRequest, pool: String, slots: Double, now: Long): Long? {
        if (slots <= 0.0) return null
        val committed = pools[pool] ?: return 0
        val all = committed.totalMs / slots
        val shared = committed.slotsFor(request, slots, now)
        val left = shared - committed.rateBefore(request, now)
        if (left <= shared * LEAST_SHARE) return if (all <= IDLE_MS) 0 else null
        val own = committed.ownUpToRank(request) / left
        return (minOf(all, own) * cautionOf(request)).toLong()
    }

    private fun cautionOf(request: GateRequest) = caution[CautionKey(request.organisation, request.rank)] ?: 1.0

    private data class CautionKey(val organisation: String, val rank: Int)

    private companion object {
        const val MIN_RETRY_MS = 50L
        const val NO_SLOT_RETRY_MS = 1_000L
        const val CAUTION_UP = 0.05
        const val CAUTION_DOWN = 0.002
        const val MOST_CAUTION = 4.0
        const val LEAST_SHARE = 0.02
        const val IDLE_MS = 50.0
    }
}

/** Work committed in the last full window, as slots kept busy. */
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

    fun rateOf(request: GateRequest): WorkRate = workOf(request).rates.getOrPut(request.rank) { WorkRate() }

    /** Returns the slots that lower ranks of the same organisation keep busy. */
    fun rateBefore(request: GateRequest, now: Long): Double =
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

    fun ownUpToRank(request: GateRequest): Double =
        organisations[request.organisation]?.byRank?.headMap(request.rank, true)?.values.orEmpty().sum().toDouble()

    /**
     * Returns the slots that the queue gives the request's organisation: what organisations without a backlog leave,
     * shared by weight with those that have one.
     */
    fun slotsFor(request: GateRequest, slots: Double, now: Long): Double {
        val others = organisations.filter { it.key != request.organisation && it.value.ms > 0 }.values
        val unit = slots / (request.weight + others.sumOf { it.weight })
        val (heavy, light) = others.partition { it.ms > BACKLOG_MS * unit * it.weight }
        val used = light.sumOf { work -> minOf(work.slots(now), unit * work.weight) }
        return (slots - used) * request.weight / (request.weight + heavy.sumOf { it.weight })
    }

    private fun workOf(request: GateRequest) =
        organisations.getOrPut(request.organisation) { OrganisationWork(request.weight) }

    private companion object {
        /** An organisation whose work would take its share longer than this has a backlog. */
        const val BACKLOG_MS = 500.0
    }
}
