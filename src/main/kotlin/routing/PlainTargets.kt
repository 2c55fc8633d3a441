/*
 * Which target of a plain service a request should go to: the one with the least work for its slots, by this host's own
 * requests in progress and the load that targets tell in their answers. Targets that cannot be reached or keep failing
 * rest for a while. A state machine without I/O.
 */
package org.sesamerouter.routing

import org.sesamerouter.discovery.TargetEntry

private const val LOAD_LIFE_MS = 1_000L
private const val REST_BASE_MS = 1_000L
private const val REST_LONGEST_MS = 8_000L
private const val FAILURES_TO_REST = 3
private const val LATENCY_WEIGHT = 0.2

/** What a target says of its load. */
data class ToldLoad(val running: Int, val waiting: Int, val slots: Int)

/** The plain targets that one host knows. Not thread-safe. */
class PlainTargets {
    private class State(val bornMs: Long) {
        var own = 0
        var ownAtTold = 0
        var told: ToldLoad? = null
        var toldMs = 0L
        var failures = 0
        var rests = 0
        var restUntilMs = 0L
        var latencyMs = 0.0
    }

    private val states = HashMap<String, State>()

    /** Forgets targets that are not among [entries]. */
    fun update(entries: Collection<TargetEntry>) {
        val ids = entries.mapTo(HashSet()) { it.id }
        states.keys.retainAll(ids)
    }

    /** Chooses a target of [candidates]; those in [tried] only when there is no other. */
    fun choose(candidates: List<TargetEntry>, tried: Set<String>, dataCentre: String, now: Long): TargetEntry? {
        val fresh = candidates.filter { it.id !in tried }.ifEmpty { candidates }
        val usable = fresh.filter { stateOf(it).restUntilMs <= now }.ifEmpty { fresh }
        return usable.minWithOrNull(
            compareBy({ load(it, now) }, { it.dataCentre != dataCentre }, { stateOf(it).latencyMs }),
        )
    }

    /** Whether [entry] told lately that requests wait there. */
    fun isQueueing(entry: TargetEntry, now: Long): Boolean {
        val state = stateOf(entry)
        return now - state.toldMs < LOAD_LIFE_MS && (state.told?.waiting ?: 0) > 0
    }

    /** Counts a send. */
    fun onSend(entry: TargetEntry) {
        stateOf(entry).own++
    }

    /** Counts the end of a send. */
    fun onEnd(entry: TargetEntry) {
        val state = stateOf(entry)
        state.own = maxOf(0, state.own - 1)
    }

    /** Takes in an answer after [ms]; [failed] when the target failed the request. */
    fun onAnswer(entry: TargetEntry, ms: Long, failed: Boolean, now: Long) {
        val state = stateOf(entry)
        state.latencyMs += LATENCY_WEIGHT * (ms - state.latencyMs)
        if (failed) countFailure(state, 1, now) else recovered(state)
    }

    /** Takes in the load that a target told. */
    fun onLoad(entry: TargetEntry, load: ToldLoad, now: Long) {
        val state = stateOf(entry)
        state.told = load
        state.toldMs = now
        state.ownAtTold = state.own
    }

    /** Counts a send without an answer; [isDown] when the target could not be reached. */
    fun onFailure(entry: TargetEntry, isDown: Boolean, now: Long) {
        countFailure(stateOf(entry), if (isDown) FAILURES_TO_REST else 1, now)
    }

    private fun recovered(state: State) {
        state.failures = 0
        state.rests = 0
    }

    private fun countFailure(state: State, weight: Int, now: Long) {
        state.failures += weight
        if (state.failures < FAILURES_TO_REST) return
        state.failures = 0
        state.restUntilMs = now + minOf(REST_LONGEST_MS, REST_BASE_MS shl minOf(state.rests++, 3))
    }

    private fun load(entry: TargetEntry, now: Long): Double {
        val state = stateOf(entry)
        val told = state.told?.takeIf { now - state.toldMs < LOAD_LIFE_MS }
        val others = told?.let { maxOf(0, it.running + it.waiting - state.ownAtTold) } ?: 0
        return (state.own + others).toDouble() / maxOf(1, entry.slots)
    }

    private fun stateOf(entry: TargetEntry): State {
        val known = states[entry.id]
        if (known != null && known.bornMs == entry.bornMs) return known
        return State(entry.bornMs).also { states[entry.id] = it }
    }
}
