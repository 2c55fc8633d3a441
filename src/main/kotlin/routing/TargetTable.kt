/*
 * The state of all targets as seen by this host: requests in progress from this host, the latest load report and its
 * age, health, ejection, and whether the target is leaving. Owned by the control thread.
 */
package org.sesamerouter.routing

import org.sesamerouter.admission.ConcurrencyLimit
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.configuration.PoolSpec
import org.sesamerouter.configuration.TargetSpec
import org.sesamerouter.target.LoadReport

private const val FAILURES_TO_EJECT = 3
private const val BASE_EJECTION_MS = 2_000L
private const val MAX_EJECTION_MS = 60_000L
private const val OUTLIER_FACTOR = 3.0
private const val OUTLIER_SAMPLES = 5
private const val LATENCY_WEIGHT = 0.3
private const val MAX_EJECTED_SHARE = 1.0 / 3

/** Identifies a target within its pool. */
data class TargetKey(val pool: String, val name: String)

/** The state of one target as seen by this host. */
class TargetState internal constructor(val key: TargetKey, val spec: TargetSpec, initialLimit: Double) {
    val concurrency = ConcurrencyLimit(spec.slots, initialLimit)
    var inProgress = 0
        internal set
    var report: LoadReport? = null
        internal set
    var reportedAtMs = 0L
        internal set
    var leaving = false
        internal set
    var ejectedUntilMs = 0L
        internal set
    var latencyRatio = 0.0
        internal set
    var samples = 0
        internal set

    /** Fingerprint of the suspect request that runs on this target, if any; a target runs one suspect at a time. */
    var suspect: String? = null
    internal var consecutiveFailures = 0
    internal var ejections = 0

    val address: String get() = spec.address

    /** Incarnation from the latest report, empty when unknown. */
    val incarnation: String get() = report?.incarnation.orEmpty()

    /** Returns whether this host may start one more request on this target. */
    fun hasCapacity(): Boolean = inProgress < concurrency.limit
}

/** The targets of one pool. */
class PoolState internal constructor(val name: String, val spec: PoolSpec, val targets: List<TargetState>) {
    internal val byKey: Map<TargetKey, TargetState> = targets.associateBy { it.key }

    /** Returns the targets that may receive new requests at [now]. */
    fun usable(now: Long): List<TargetState> = targets.filter { !it.leaving && it.ejectedUntilMs <= now }

    /** Returns the number of slots that this host may use at [now]. */
    fun slots(now: Long): Double = usable(now).sumOf { it.concurrency.limit }.toDouble()
}

/** The state of all pools. Not thread-safe. */
class TargetTable {
    private var pools: Map<String, PoolState> = emptyMap()
    private var leavingAddresses: Set<String> = emptySet()

    /** Number of ejections since the host started. */
    var ejections = 0L
        private set

    /** Replaces the pools by those of [catalogue]; targets whose declaration is unchanged keep their state. */
    fun apply(catalogue: Catalogue, liveHosts: Int) {
        pools = catalogue.pools.mapValues { (name, spec) ->
            val old = pools[name]?.targets.orEmpty().associateBy { it.spec }
            val targets = spec.targets.map { target ->
                old[target] ?: TargetState(TargetKey(name, target.name), target, initialLimitOf(target, liveHosts))
            }
            PoolState(name, spec, targets)
        }
        updateLeaving()
    }

    /** Updates the addresses that the platform's host list reports as leaving. */
    fun applyHostList(leaving: Set<String>) {
        leavingAddresses = leaving
        updateLeaving()
    }

    /** Returns the pool [name]. */
    fun pool(name: String): PoolState? = pools[name]

    /** Returns the target [key]. */
    fun target(key: TargetKey): TargetState? = pools[key.pool]?.byKey?.get(key)

    /** Returns all pools. */
    fun all(): Collection<PoolState> = pools.values

    /** Records a load report. A target is leaving when either its report or the host list says so. */
    fun onReport(key: TargetKey, report: LoadReport, now: Long) {
        val target = target(key) ?: return
        if (target.incarnation.isNotEmpty() && target.incarnation != report.incarnation) readmit(target)
        target.report = report
        target.reportedAtMs = now
        target.concurrency.onReport(report.queued, now)
        target.leaving = report.leaving || target.address in leavingAddresses
    }

    /** Records the start of an attempt. */
    fun onStart(key: TargetKey) {
        target(key)?.let { it.inProgress++ }
    }

    /** Records an attempt that succeeded after [ms], where [expectedMs] was expected. */
    fun onSuccess(key: TargetKey, ms: Long, expectedMs: Long, now: Long) {
        val target = target(key) ?: return
        target.concurrency.onSuccess(target.inProgress, target.report?.queued ?: 0)
        target.consecutiveFailures = 0
        recordLatency(target, ms.toDouble() / maxOf(1, expectedMs))
        ejectOutlier(target, now)
    }

    /** Records an attempt that was abandoned after [ms], which is a lower bound of the target's latency. */
    fun onAbandoned(key: TargetKey, ms: Long, expectedMs: Long, now: Long) {
        val target = target(key) ?: return
        val ratio = ms.toDouble() / maxOf(1, expectedMs)
        if (ratio > target.latencyRatio) recordLatency(target, ratio)
        ejectOutlier(target, now)
    }

    /** Records a failed attempt; [connection] when the target was unreachable or the connection was cut. */
    fun onFailure(key: TargetKey, connection: Boolean, now: Long) {
        val target = target(key) ?: return
        target.consecutiveFailures += if (connection) FAILURES_TO_EJECT else 1
        if (target.consecutiveFailures >= FAILURES_TO_EJECT) eject(target, now, force = connection)
    }

    /** Records that the target refused a request; [leaving] when it is shutting down. */
    fun onRefusal(key: TargetKey, leaving: Boolean, now: Long) {
        val target = target(key) ?: return
        target.concurrency.onRefusal(now)
        if (leaving) target.leaving = true
    }

    /** Records the end of an attempt. */
    fun onEnd(key: TargetKey, fingerprint: String) {
        val target = target(key) ?: return
        target.inProgress = maxOf(0, target.inProgress - 1)
        if (target.suspect == fingerprint) target.suspect = null
    }

    private fun recordLatency(target: TargetState, ratio: Double) {
        target.samples++
        target.latencyRatio += LATENCY_WEIGHT * (ratio - target.latencyRatio)
    }

    private fun ejectOutlier(target: TargetState, now: Long) {
        if (target.samples < OUTLIER_SAMPLES) return
        val others = pools[target.key.pool]?.targets.orEmpty().filter { it !== target && it.samples >= OUTLIER_SAMPLES }
        if (others.isEmpty()) return
        val median = others.map { it.latencyRatio }.sorted()[others.size / 2]
        if (target.latencyRatio > OUTLIER_FACTOR * maxOf(median, 1.0)) eject(target, now, force = false)
    }

    private fun eject(target: TargetState, now: Long, force: Boolean) {
        val pool = pools.getValue(target.key.pool)
        val ejected = pool.targets.count { it.ejectedUntilMs > now }
        val maxEjected = maxOf(1, (pool.targets.size * MAX_EJECTED_SHARE).toInt())
        if (target.ejectedUntilMs > now || pool.targets.size == 1) return
        if (!force && ejected >= maxEjected) return
        val ms = minOf(MAX_EJECTION_MS, BASE_EJECTION_MS shl minOf(target.ejections, 5))
        target.ejectedUntilMs = now + ms
        target.ejections++
        target.consecutiveFailures = 0
        target.latencyRatio = 0.0
        target.samples = 0
        ejections++
    }

    private fun readmit(target: TargetState) {
        target.ejectedUntilMs = 0
        target.consecutiveFailures = 0
        target.ejections = 0
    }

    private fun updateLeaving() {
        pools.values.flatMap { it.targets }.forEach { target ->
            target.leaving = target.report?.leaving == true || target.address in leavingAddresses
        }
    }

    private fun initialLimitOf(target: TargetSpec, liveHosts: Int): Double =
        target.slots.toDouble() / maxOf(1, liveHosts)
}
