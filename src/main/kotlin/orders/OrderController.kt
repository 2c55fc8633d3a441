/*
 * Brings engines to the state that Model resources declare. Level-triggered: the wanted state is compared with the
 * reported one until they agree. The duty for an engine falls to one host by rendezvous hashing and is guarded by a
 * lease; an engine that ignores fencing numbers gets orders from a new holder only after the old lease and the longest
 * delivery delay have passed. Loads take permits, which are leases too, so that the weight store's rate holds for all
 * hosts together.
 */
package org.sesamerouter.orders

import kotlinx.serialization.Serializable
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.configuration.StageKind
import org.sesamerouter.configuration.TargetSpec
import org.sesamerouter.ledger.Holder
import org.sesamerouter.log.AppendOutcome
import org.sesamerouter.routing.rendezvous
import org.sesamerouter.target.EngineOrder
import org.sesamerouter.target.LoadReport
import org.sesamerouter.target.ModelState

private const val DELIVERY_DELAY_MS = 2_000L
private const val RENEW_SHARE = 3
private const val SAFETY_MARGIN_MS = 1_000L
private const val ORDER_RETRY_MS = 1_000L
private const val APPEND_PATIENCE_MS = 5_000L

/** Loads that the weight store carries at the same time. */
const val LOAD_PERMITS = 4

/** What the controller wants done. */
sealed interface OrderEffect {
    /** Append [record] to the leases stream. */
    data class AppendLease(val record: LeaseRecord) : OrderEffect

    /** Send [order] to the engine at [address], unless the time is [notAfterMs] already. */
    data class Send(val engine: String, val address: String, val order: EngineOrder, val notAfterMs: Long) : OrderEffect
}

/** How an engine stands, for status and dump. */
@Serializable
data class EngineStatus(
    val engine: String,
    val duty: Boolean,
    val fence: Long,
    val wanted: List<ModelState>,
    val reported: List<ModelState>,
    val settled: Boolean,
)

private class EngineState(val spec: TargetSpec, val wanted: List<ModelState>, val role: String) {
    var leaseUntilMs = Long.MIN_VALUE / 2
    var loading = false
    var outstandingUntilMs = Long.MIN_VALUE
    var usableFromMs = 0L
    var reported: LoadReport? = null
}

private class PendingLease(val resource: String, val atMs: Long)

/** The controller of one host. Not thread-safe. */
class OrderController(private val self: Holder, private val leaseMs: Long) {
    private val leases = LeaseTable()
    private val permitUntil = HashMap<String, Long>()
    private val appendedMs = LinkedHashMap<String, PendingLease>()
    private var engines = LinkedHashMap<String, EngineState>()
    private var ids = 0L

    /** Offset of the last folded lease record. */
    val leasesRevision: Long get() = leases.revision

    /** Takes over the wanted state from [catalogue]. */
    fun apply(catalogue: Catalogue) {
        val next = LinkedHashMap<String, EngineState>()
        for ((pool, spec) in catalogue.pools.entries.sortedBy { it.key }) {
            if (spec.stage != StageKind.GENERATE) continue
            val models = catalogue.models.entries.filter { it.value.pool == pool }.sortedBy { it.key }
            if (models.isEmpty()) continue
            spec.targets.forEachIndexed { i, target ->
                val wanted = models.filter { i < it.value.replicas }
                    .map { (name, model) -> ModelState(name, model.version, model.adapters) }
                val state = EngineState(target, wanted, models.first().value.role)
                engines[engineName(pool, target)]?.let { carryOver(it, state) }
                next[engineName(pool, target)] = state
            }
        }
        engines = next
    }

    /** Takes in what the engine at [address] reports. */
    fun onReport(address: String, report: LoadReport) {
        engines.values.filter { it.spec.address == address }.forEach { it.reported = report }
    }

    /** Folds a record of the leases stream. */
    fun onLeaseRecord(offset: Long, payload: String, now: Long) {
        val before = leases.holders()
        val lease = leases.fold(offset, payload, now) ?: return
        val pending = appendedMs.remove(lease.id) ?: return
        val untilMs = pending.atMs + lease.durationMs
        val engine = engines[lease.resource]
        if (engine ==
            null
        ) {
            permitUntil[lease.resource] = untilMs
        } else {
            hold(engine, untilMs, before[lease.resource], now)
        }
    }

    /** Tells the outcome of appending [record]; what is unknown shows when the stream is read. */
    fun onAppended(record: LeaseRecord, outcome: AppendOutcome) {
        if (outcome is AppendOutcome.Refused) appendedMs.remove(record.id)
    }

    /** The engine answered an order. */
    fun onOrderAnswered(engine: String, now: Long) {
        engines[engine]?.let { it.outstandingUntilMs = now + ORDER_RETRY_MS }
    }

    /** Lets time go on; [liveHosts] share the duties. */
    fun onTick(liveHosts: List<String>, now: Long): List<OrderEffect> {
        val out = ArrayList<OrderEffect>()
        for ((name, engine) in engines) {
            val reported = engine.reported ?: continue
            if (isSettled(engine, reported)) engine.loading = false
            if (isSettled(engine, reported) || !hasDuty(name, liveHosts)) continue
            if (holdsLease(engine, now)) order(name, engine, reported, now, out)
            if (engine.leaseUntilMs - now < leaseMs / RENEW_SHARE) takeLease(name, now, out)
        }
        return out
    }

    /** Returns how every engine stands. */
    fun status(liveHosts: List<String>): List<EngineStatus> = engines.map { (name, engine) ->
        val reported = engine.reported
        EngineStatus(
            name,
            hasDuty(name, liveHosts),
            leases.lease(name)?.fence ?: -1,
            engine.wanted,
            reported?.models.orEmpty(),
            reported != null && isSettled(engine, reported),
        )
    }

    private fun hold(engine: EngineState, untilMs: Long, before: Holder?, now: Long) {
        engine.leaseUntilMs = untilMs
        val taken = before != null && before != self
        if (taken && !engine.spec.checksFencing) engine.usableFromMs = now + DELIVERY_DELAY_MS
    }

    private fun order(
        name: String,
        engine: EngineState,
        reported: LoadReport,
        now: Long,
        out: MutableList<OrderEffect>,
    ) {
        if (now < engine.outstandingUntilMs || now < engine.usableFromMs) return
        val loads = needsLoad(engine, reported)
        if (loads && !mayLoad(engine, now)) {
            askPermit(now, out)
            return
        }
        engine.loading = loads
        engine.outstandingUntilMs = engine.leaseUntilMs
        val fence = checkNotNull(leases.lease(name)).fence
        val order = EngineOrder(fence, engine.wanted, engine.role)
        out += OrderEffect.Send(name, engine.spec.address, order, engine.leaseUntilMs - SAFETY_MARGIN_MS)
    }

    private fun takeLease(name: String, now: Long, out: MutableList<OrderEffect>) {
        if (isAsking(name, now) || !isFree(name, now)) return
        out += OrderEffect.AppendLease(record(name, now))
    }

    private fun askPermit(now: Long, out: MutableList<OrderEffect>) {
        val permits = List(LOAD_PERMITS) { "weight-store/$it" }
        if (permits.any { isAsking(it, now) }) return
        val free = permits.firstOrNull { isFree(it, now) && (permitUntil[it] ?: 0) < now } ?: return
        out += OrderEffect.AppendLease(record(free, now))
    }

    private fun record(resource: String, now: Long): LeaseRecord {
        val id = "${self.host}-${self.incarnation}-${ids++}"
        appendedMs[id] = PendingLease(resource, now)
        return LeaseRecord(id, resource, self, leaseMs, leases.lease(resource)?.offset ?: -1)
    }

    private fun isAsking(resource: String, now: Long): Boolean {
        appendedMs.values.removeIf { now - it.atMs >= APPEND_PATIENCE_MS }
        return appendedMs.values.any { it.resource == resource }
    }

    /** A lease of another holder may be taken only after it lapsed as counted from its fold here. */
    private fun isFree(resource: String, now: Long): Boolean {
        val lease = leases.lease(resource) ?: return true
        return lease.holder == self || now - lease.foldedMs >= lease.durationMs
    }

    private fun holdsLease(engine: EngineState, now: Long) = now < engine.leaseUntilMs - SAFETY_MARGIN_MS

    private fun mayLoad(engine: EngineState, now: Long): Boolean {
        val permits = permitUntil.values.count { now < it - SAFETY_MARGIN_MS }
        return engines.values.count { it.loading && it !== engine } < permits
    }

    private fun needsLoad(engine: EngineState, reported: LoadReport) = engine.wanted.any { it !in reported.models }

    private fun isSettled(engine: EngineState, reported: LoadReport) =
        reported.models.toSet() == engine.wanted.toSet() && reported.role == engine.role

    private fun hasDuty(engine: String, liveHosts: List<String>): Boolean =
        liveHosts.minByOrNull { rendezvous(engine, it) } == self.host

    private fun carryOver(from: EngineState, to: EngineState) {
        if (from.spec.address != to.spec.address) return
        to.leaseUntilMs = from.leaseUntilMs
        to.loading = from.loading
        to.usableFromMs = from.usableFromMs
        to.reported = from.reported
    }

    private fun engineName(pool: String, target: TargetSpec) = "$pool/${target.name}"
}
