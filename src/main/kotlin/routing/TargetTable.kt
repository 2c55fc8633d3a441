/*
 * What this host knows of every target: own requests in progress, the latest load report with its age, health,
 * ejection and whether the target is leaving. Owned by the control thread.
 */
package org.sesamerouter.routing

import org.sesamerouter.admission.ConcurrencyLimit
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.configuration.PoolSpec
import org.sesamerouter.configuration.TargetSpec
import org.sesamerouter.target.LoadReport

private const val FAILURES_TO_EJECT = 3
private const val EJECT_BASE_MS = 2_000L
private const val EJECT_LONGEST_MS = 60_000L
private const val OUTLIER_FACTOR = 3.0
private const val OUTLIER_SAMPLES = 5
private const val LATENCY_WEIGHT = 0.3
private const val EJECTED_SHARE = 1.0 / 3

/** Names a target in its pool. */
data class TargetKey(val pool: String, val name: String)

/** The state of one target as this host sees it. */
class TargetState internal constructor(val key: TargetKey, val spec: TargetSpec, share: Double) {
    val concurrency = ConcurrencyLimit(spec.slots, share)
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

    /** Fingerprint of the suspected request that runs here, if any: a target runs one suspect at a time. */
    var suspect: String? = null
    internal var consecutiveFailures = 0
    internal var ejections = 0

    val address: String get() = spec.address

    /** Incarnation from the latest report, empty while unknown. */
    val incarnation: String get() = report?.incarnation.orEmpty()

    /** Tells whether this host may start one more request here. */
    fun hasRoom(): Boolean = inProgress < concurrency.limit
}

/** The targets of one pool. */
class PoolState internal constructor(val name: String, val spec: PoolSpec, val targets: List<TargetState>) {
    internal val byKey: Map<TargetKey, TargetState> = targets.associateBy { it.key }

    /** Returns the targets that may get new work at [now]. */
    fun usable(now: Long): List<TargetState> = targets.filter { !it.leaving && it.ejectedUntilMs <= now }

    /** Returns the slots that this host may use at [now]. */
    fun slots(now: Long): Double = usable(now).sumOf { it.concurrency.limit }.toDouble()
}

/** All pools. Not thread-safe. */
class TargetTable {
    private var pools: Map<String, PoolState> = emptyMap()
    private var leavingAddresses: Set<String> = emptySet()

    /** Number of ejections so far. */
    var ejections = 0L
        private set

    /** Takes over the pools of [catalogue], keeping what is known of targets that stay as they are. */
    fun apply(catalogue: Catalogue, liveHosts: Int) {
        pools = catalogue.pools.mapValues { (name, spec) ->
            val old = pools[name]?.targets.orEmpty().associateBy { it.spec }
            val targets = spec.targets.map { target ->
                old[target] ?: TargetState(TargetKey(name, target.name), target, shareOf(target, liveHosts))
            }
            PoolState(name, spec, targets)
        }
        markLeaving()
    }

    /** Takes over the addresses that the platform's host list reports as leaving. */
    fun applyHostList(leaving: Set<String>) {
        leavingAddresses = leaving
        markLeaving()
    }

    /** Returns the pool [name]. */
    fun pool(name: String): PoolState? = pools[name]

    /** Returns the target [key]. */
    fun target(key: TargetKey): TargetState? = pools[key.pool]?.byKey?.get(key)

    /** Returns all pools. */
    fun all(): Collection<PoolState> = pools.values

    /** Takes in a load report; the strictest word on leaving wins at once. */
    fun onReport(key: TargetKey, report: LoadReport, now: Long) {
        val target = target(key) ?: return
        if (target.incarnation.isNotEmpty() && target.incarnation != report.incarnation) readmit(target)
        target.report = report
        target.reportedAtMs = now
        target.concurrency.onReport(report.queued, now)
        target.leaving = report.leaving || target.address in leavingAddresses
    }

    /** Counts the start of an attempt. */
    fun onStart(key: TargetKey) {
        target(key)?.let { it.inProgress++ }
    }

    /** Counts an attempt that ended well after [ms] where [typicalMs] was expected. */
    fun onSuccess(key: TargetKey, ms: Long, typicalMs: Long, now: Long) {
        val target = target(key) ?: return
        target.concurrency.onSuccess(target.inProgress, target.report?.queued ?: 0)
        target.consecutiveFailures = 0
        observe(target, ms.toDouble() / maxOf(1, typicalMs))
        ejectOutlier(target, now)
    }

    /** Counts an attempt that was given up after [ms]: the target is at least that slow. */
    fun onSlow(key: TargetKey, ms: Long, typicalMs: Long, now: Long) {
        val target = target(key) ?: return
        val ratio = ms.toDouble() / maxOf(1, typicalMs)
        if (ratio > target.latencyRatio) observe(target, ratio)
        ejectOutlier(target, now)
    }

    /** Counts a failed attempt; [connection] when the target could not be reached or cut the connection. */
    fun onFailure(key: TargetKey, connection: Boolean, now: Long) {
        val target = target(key) ?: return
        target.consecutiveFailures += if (connection) FAILURES_TO_EJECT else 1
        if (target.consecutiveFailures >= FAILURES_TO_EJECT) eject(target, now, force = connection)
    }

    /** Counts a refusal by the target. */
    fun onRefusal(key: TargetKey, leaving: Boolean, now: Long) {
        val target = target(key) ?: return
        target.concurrency.onRefusal(now)
        if (leaving) target.leaving = true
    }

    /** Counts the end of an attempt. */
    fun onEnd(key: TargetKey, fingerprint: String) {
        val target = target(key) ?: return
        target.inProgress = maxOf(0, target.inProgress - 1)
        if (target.suspect == fingerprint) target.suspect = null
    }

    private fun observe(target: TargetState, ratio: Double) {
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
        val out = pool.targets.count { it.ejectedUntilMs > now }
        val most = maxOf(1, (pool.targets.size * EJECTED_SHARE).toInt())
        if (target.ejectedUntilMs > now || pool.targets.size == 1) return
        if (!force && out >= most) return
        val ms = minOf(EJECT_LONGEST_MS, EJECT_BASE_MS shl minOf(target.ejections, 5))
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

    private fun markLeaving() {
        pools.values.flatMap { it.targets }.forEach { target ->
            target.leaving = target.report?.leaving == true || target.address in leavingAddresses
        }
    }

    private fun shareOf(target: TargetSpec, liveHosts: Int): Double = target.slots.toDouble() / maxOf(1, liveHosts)
}
