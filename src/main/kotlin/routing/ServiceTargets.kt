/*
 * Load balancing for the targets of plain services. A request goes to the target with the lowest expected time for it,
 * computed from the requests that this host has in progress there and the load that targets report in responses.
 * Targets that are unreachable or fail repeatedly are excluded for a back-off period. A state machine without I/O.
 */
package org.sesamerouter.routing

import org.sesamerouter.discovery.TargetEntry

private const val LOAD_REPORT_TTL_MS = 1_000L
private const val BACKOFF_BASE_MS = 1_000L
private const val BACKOFF_MAX_MS = 8_000L
private const val FAILURES_BEFORE_BACKOFF = 3
private const val LATENCY_WEIGHT = 0.2
private const val PERCENT = 100.0

/** The load that a target reports; [timePercent] is how long work takes there, 100 being normal. */
data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int, val timePercent: Int? = null)

/** The load and health of the plain service targets known to one host. Not thread-safe. */
class ServiceTargets {
    private class State(val startTimeMs: Long) {
        var inProgress = 0
        var inProgressAtReport = 0
        var reportedLoad: ReportedLoad? = null
        var reportedAtMs = 0L
        var failures = 0
        var backoffs = 0
        var backoffUntilMs = 0L
        var latencyMs = 0.0
    }

    private val states = HashMap<String, State>()

    /** Removes the state of targets that are not among [entries]. */
    fun update(entries: Collection<TargetEntry>) {
        val ids = entries.mapTo(HashSet()) { it.id }
        states.keys.retainAll(ids)
    }

    /** Chooses a target from [candidates]; targets in [tried] only when there are no others. */
    fun choose(candidates: List<TargetEntry>, tried: Set<String>, dataCentre: String, now: Long): TargetEntry? {
        val untried = candidates.filter { it.id !in tried }.ifEmpty { candidates }
        val usable = untried.filter { stateOf(it).backoffUntilMs <= now }.ifEmpty { untried }
        return usable.minWithOrNull(
            compareBy({ expectedTime(it, now) }, { it.dataCentre != dataCentre }, { stateOf(it).latencyMs }),
        )
    }

    /** Returns whether a recent load report of [entry] shows waiting requests. */
    fun hasWaitingRequests(entry: TargetEntry, now: Long): Boolean {
        val state = stateOf(entry)
        return now - state.reportedAtMs < LOAD_REPORT_TTL_MS && (state.reportedLoad?.waiting ?: 0) > 0
    }

    /** Records that a request was sent to [entry]. */
    fun onSend(entry: TargetEntry) {
        stateOf(entry).inProgress++
    }

    /** Records that a request sent to [entry] ended. */
    fun onEnd(entry: TargetEntry) {
        val state = stateOf(entry)
        state.inProgress = maxOf(0, state.inProgress - 1)
    }

    /** Records a response after [ms]; [failed] when it is a failure. */
    fun onResponse(entry: TargetEntry, ms: Long, failed: Boolean, now: Long) {
        val state = stateOf(entry)
        state.latencyMs += LATENCY_WEIGHT * (ms - state.latencyMs)
        if (failed) recordFailures(state, 1, now) else resetFailures(state)
    }

    /** Records a load report. */
    fun onLoad(entry: TargetEntry, load: ReportedLoad, now: Long) {
        val state = stateOf(entry)
        state.reportedLoad = load
        state.reportedAtMs = now
        state.inProgressAtReport = state.inProgress
    }

    /** Records a request without a response; [isDown] when the target could not be reached. */
    fun onFailure(entry: TargetEntry, isDown: Boolean, now: Long) {
        recordFailures(stateOf(entry), if (isDown) FAILURES_BEFORE_BACKOFF else 1, now)
    }

    private fun resetFailures(state: State) {
        state.failures = 0
        state.backoffs = 0
    }

    private fun recordFailures(state: State, weight: Int, now: Long) {
        state.failures += weight
        if (state.failures < FAILURES_BEFORE_BACKOFF) return
        state.failures = 0
        state.backoffUntilMs = now + minOf(BACKOFF_MAX_MS, BACKOFF_BASE_MS shl minOf(state.backoffs++, 3))
    }

    /** Returns the expected time of another request at [entry], relative to that of a slot in normal use. */
    private fun expectedTime(entry: TargetEntry, now: Long): Double {
        val state = stateOf(entry)
        val ageMs = now - state.reportedAtMs
        val reportedLoad = state.reportedLoad?.takeIf { ageMs < LOAD_REPORT_TTL_MS }
        val others = reportedLoad?.let { maxOf(0, it.running.toLong() + it.waiting - state.inProgressAtReport) } ?: 0
        val timeRatio = reportedLoad?.timePercent?.let { timeRatio(it, ageMs) } ?: 1.0
        return (state.inProgress + others + 1) * timeRatio / maxOf(1, entry.slots)
    }

    /** The time of work changes many times a second: an older report says less, until it says nothing. */
    private fun timeRatio(percent: Int, ageMs: Long): Double =
        1 + (percent / PERCENT - 1) * (LOAD_REPORT_TTL_MS - ageMs) / LOAD_REPORT_TTL_MS

    private fun stateOf(entry: TargetEntry): State {
        val known = states[entry.id]
        if (known != null && known.startTimeMs == entry.startTimeMs) return known
        return State(entry.startTimeMs).also { states[entry.id] = it }
    }
}
