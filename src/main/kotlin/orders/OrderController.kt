/*
 * Reconciles engines with the state declared by Model resources. Level-triggered: the declared state is compared with
 * the reported one until they agree. Each engine is assigned to one host by rendezvous hashing and guarded by a lease.
 * An engine that does not check fencing numbers receives orders from a new holder only after the old lease has expired
 * and the maximum delivery delay has passed. Loading a model requires a permit, which is also a lease, so that the rate
 * of the weight store is limited across all hosts.
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

private const val MAX_DELIVERY_DELAY_MS = 2_000L
private const val LEASE_RENEWAL_DIVISOR = 3
private const val SAFETY_MARGIN_MS = 1_000L
private const val ORDER_RETRY_MS = 1_000L
private const val APPEND_TIMEOUT_MS = 5_000L

/** Maximum number of concurrent model loads that the weight store supports. */
const val MAX_CONCURRENT_LOADS = 4

/** An effect that the caller of the controller has to carry out. */
sealed interface OrderEffect {
    /** Append [record] to the leases stream. */
    data class AppendLease(val record: LeaseRecord) : OrderEffect

    /** Send [order] to the engine at [address], but not at or after [notAfterMs]. */
    data class Send(val engine: String, val address: String, val order: EngineOrder, val notAfterMs: Long) : OrderEffect
}

/** Status of an engine, for the state dump. */
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
    var leaseExpiryMs = Long.MIN_VALUE / 2
    var isLoading = false
    var nextOrderMs = Long.MIN_VALUE
    var takeoverReadyMs = 0L
    var reported: LoadReport? = null
}

private class PendingLease(val resource: String, val requestedAtMs: Long)

/** Controller of the engines assigned to one host. Not thread-safe. */
class OrderController(private val self: Holder, private val leaseMs: Long) {
    private val leases = LeaseTable()
    private val permitExpiryMs = HashMap<String, Long>()
    private val pendingLeases = LinkedHashMap<String, PendingLease>()
    private var engines = LinkedHashMap<String, EngineState>()
    private var nextLeaseId = 0L

    /** Offset of the last folded lease record. */
    val leasesRevision: Long get() = leases.revision

    /** Applies the model declarations of [catalogue]. */
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
                engines[engineName(pool, target)]?.let { copyState(it, state) }
                next[engineName(pool, target)] = state
            }
        }
        engines = next
    }

    /** Handles a report from the engine at [address]. */
    fun onReport(address: String, report: LoadReport) {
        engines.values.filter { it.spec.address == address }.forEach { it.reported = report }
    }

    /** Folds the record at [offset] of the leases stream. */
    fun onLeaseRecord(offset: Long, payload: String, now: Long) {
        val previousHolders = leases.holders()
        val lease = leases.fold(offset, payload, now) ?: return
        val pending = pendingLeases.remove(lease.id) ?: return
        val expiryMs = pending.requestedAtMs + lease.durationMs
        val engine = engines[lease.resource]
        if (engine ==
            null
        ) {
            permitExpiryMs[lease.resource] = expiryMs
        } else {
            onLeaseAcquired(engine, expiryMs, previousHolders[lease.resource], now)
        }
    }

    /** Handles the outcome of appending [record]. If it is unknown, reading the stream will resolve it. */
    fun onAppended(record: LeaseRecord, outcome: AppendOutcome) {
        if (outcome is AppendOutcome.Refused) pendingLeases.remove(record.id)
    }

    /** Handles the reply of [engine] to an order. */
    fun onOrderAnswered(engine: String, now: Long) {
        engines[engine]?.let { it.nextOrderMs = now + ORDER_RETRY_MS }
    }

    /** Returns the effects that are due. The engines are distributed over [liveHosts]. */
    fun onTick(liveHosts: List<String>, now: Long): List<OrderEffect> {
        val out = ArrayList<OrderEffect>()
        for ((name, engine) in engines) {
            val reported = engine.reported ?: continue
            if (isSettled(engine, reported)) engine.isLoading = false
            if (isSettled(engine, reported) || !isResponsible(name, liveHosts)) continue
            if (holdsLease(engine, now)) sendOrder(name, engine, reported, now, out)
            if (engine.leaseExpiryMs - now < leaseMs / LEASE_RENEWAL_DIVISOR) requestLease(name, now, out)
        }
        return out
    }

    /** Returns the status of all engines. */
    fun status(liveHosts: List<String>): List<EngineStatus> = engines.map { (name, engine) ->
        val reported = engine.reported
        EngineStatus(
            name,
            isResponsible(name, liveHosts),
            leases.lease(name)?.fence ?: -1,
            engine.wanted,
            reported?.models.orEmpty(),
            reported != null && isSettled(engine, reported),
        )
    }

    private fun onLeaseAcquired(engine: EngineState, expiryMs: Long, previousHolder: Holder?, now: Long) {
        engine.leaseExpiryMs = expiryMs
        val isTakeover = previousHolder != null && previousHolder != self
        if (isTakeover && !engine.spec.checksFencing) engine.takeoverReadyMs = now + MAX_DELIVERY_DELAY_MS
    }

    private fun sendOrder(
        name: String,
        engine: EngineState,
        reported: LoadReport,
        now: Long,
        out: MutableList<OrderEffect>,
    ) {
        if (now < engine.nextOrderMs || now < engine.takeoverReadyMs) return
        val needsPermit = requiresLoad(engine, reported)
        if (needsPermit && !hasLoadPermit(engine, now)) {
            requestPermit(now, out)
            return
        }
        engine.isLoading = needsPermit
        engine.nextOrderMs = engine.leaseExpiryMs
        val fence = checkNotNull(leases.lease(name)).fence
        val order = EngineOrder(fence, engine.wanted, engine.role)
        out += OrderEffect.Send(name, engine.spec.address, order, engine.leaseExpiryMs - SAFETY_MARGIN_MS)
    }

    private fun requestLease(name: String, now: Long, out: MutableList<OrderEffect>) {
        if (hasPendingRequest(name, now) || !isAvailable(name, now)) return
        out += OrderEffect.AppendLease(newLeaseRecord(name, now))
    }

    private fun requestPermit(now: Long, out: MutableList<OrderEffect>) {
        val permits = List(MAX_CONCURRENT_LOADS) { "weight-store/$it" }
        if (permits.any { hasPendingRequest(it, now) }) return
        val available = permits.firstOrNull { isAvailable(it, now) && (permitExpiryMs[it] ?: 0) < now } ?: return
        out += OrderEffect.AppendLease(newLeaseRecord(available, now))
    }

    private fun newLeaseRecord(resource: String, now: Long): LeaseRecord {
        val id = "${self.host}-${self.incarnation}-${nextLeaseId++}"
        pendingLeases[id] = PendingLease(resource, now)
        return LeaseRecord(id, resource, self, leaseMs, leases.lease(resource)?.offset ?: -1)
    }

    private fun hasPendingRequest(resource: String, now: Long): Boolean {
        pendingLeases.values.removeIf { now - it.requestedAtMs >= APPEND_TIMEOUT_MS }
        return pendingLeases.values.any { it.resource == resource }
    }

    /** The lease of another holder may be acquired only after it has expired, measured from when it was folded here. */
    private fun isAvailable(resource: String, now: Long): Boolean {
        val lease = leases.lease(resource) ?: return true
        return lease.holder == self || now - lease.foldedMs >= lease.durationMs
    }

    private fun holdsLease(engine: EngineState, now: Long) = now < engine.leaseExpiryMs - SAFETY_MARGIN_MS

    private fun hasLoadPermit(engine: EngineState, now: Long): Boolean {
        val permits = permitExpiryMs.values.count { now < it - SAFETY_MARGIN_MS }
        return engines.values.count { it.isLoading && it !== engine } < permits
    }

    private fun requiresLoad(engine: EngineState, reported: LoadReport) = engine.wanted.any { it !in reported.models }

    private fun isSettled(engine: EngineState, reported: LoadReport) =
        reported.models.toSet() == engine.wanted.toSet() && reported.role == engine.role

    private fun isResponsible(engine: String, liveHosts: List<String>): Boolean =
        liveHosts.minByOrNull { rendezvous(engine, it) } == self.host

    private fun copyState(from: EngineState, to: EngineState) {
        if (from.spec.address != to.spec.address) return
        to.leaseExpiryMs = from.leaseExpiryMs
        to.isLoading = from.isLoading
        to.takeoverReadyMs = from.takeoverReadyMs
        if (from.wanted == to.wanted && from.role == to.role) to.nextOrderMs = from.nextOrderMs
        to.reported = from.reported
    }

    private fun engineName(pool: String, target: TargetSpec) = "$pool/${target.name}"
}
