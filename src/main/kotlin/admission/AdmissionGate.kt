/*
 * Decides on arrival whether a request can be answered in time. The gate keeps the work that admitted requests still
 * need in each pool and compares it with the slots that this host may use there. An organisation below its fair share
 * is not held up by the work of others.
 */
package org.sesamerouter.admission

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

    /** Decides on [request]; [slotsOf] gives the slots that this host may use in a pool. */
    fun decide(request: GateRequest, now: Long, slotsOf: (String) -> Double): GateDecision {
        var finish = now
        var worst = 0L
        for ((i, work) in request.work.withIndex()) {
            val slots = slotsOf(work.pool)
            if (slots <= 0.0) return GateDecision.Refuse(NO_SLOT_RETRY_MS)
            val start = maxOf(finish, now + waitMs(request, work.pool, slots))
            val rest = request.work.drop(i + 1).sumOf { it.typicalMs }
            worst = maxOf(worst, start + work.highMs + rest - request.deadlineMs)
            finish = start + work.typicalMs
        }
        return if (worst <= 0) GateDecision.Admit else GateDecision.Refuse(maxOf(worst, MIN_RETRY_MS))
    }

    /** Adds [work] of an admitted request. */
    fun commit(request: GateRequest, work: StageWork) {
        pools.getOrPut(work.pool) { CommittedWork() }.add(request, work.typicalMs)
    }

    /** Takes back [work] that was done or given up. */
    fun release(request: GateRequest, work: StageWork) {
        pools[work.pool]?.add(request, -work.typicalMs)
    }

    /** Returns the committed work of [pool] in milliseconds of one slot. */
    fun committedMs(pool: String): Long = pools[pool]?.totalMs ?: 0

    private fun waitMs(request: GateRequest, pool: String, slots: Double): Long {
        val committed = pools[pool] ?: return 0
        val all = committed.upToRank(request.rank)
        val share = committed.shareOf(request)
        val own = committed.of(request.organisation, request.rank)
        return minOf(all / slots, own / (slots * share)).toLong()
    }

    private companion object {
        const val MIN_RETRY_MS = 50L
        const val NO_SLOT_RETRY_MS = 1_000L
    }
}

private class CommittedWork {
    private val byRank = java.util.TreeMap<Int, HashMap<String, Share>>()
    var totalMs = 0L
        private set

    private class Share(var ms: Long, var weight: Int)

    fun add(request: GateRequest, ms: Long) {
        val shares = byRank.getOrPut(request.rank) { HashMap() }
        val share = shares.getOrPut(request.organisation) { Share(0, request.weight) }
        share.ms += ms
        share.weight = request.weight
        totalMs += ms
        if (share.ms <= 0) shares.remove(request.organisation)
        if (shares.isEmpty()) byRank.remove(request.rank)
    }

    fun upToRank(rank: Int): Double = byRank.headMap(rank, true).values.sumOf { it.values.sumOf(Share::ms) }.toDouble()

    fun of(organisation: String, rank: Int): Double =
        byRank.headMap(rank, true).values.sumOf { it[organisation]?.ms ?: 0 }.toDouble()

    fun shareOf(request: GateRequest): Double {
        val weights = HashMap<String, Int>()
        byRank.headMap(request.rank, true).values.forEach { shares ->
            shares.forEach { (name, share) -> weights[name] = share.weight }
        }
        weights[request.organisation] = request.weight
        return request.weight.toDouble() / weights.values.sum()
    }
}
