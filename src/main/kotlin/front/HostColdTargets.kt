/*
 * Connects the knowledge of cold targets with its host: the hosts that share the permits, the entries of targets, the
 * metrics and the decision log.
 */
package org.sesamerouter.front

import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.discovery.TargetIncarnation
import org.sesamerouter.membership.Membership
import org.sesamerouter.routing.TargetNotice
import org.sesamerouter.serving.ColdStart
import org.sesamerouter.serving.ServingConfig
import org.sesamerouter.warmup.ColdBound
import org.sesamerouter.warmup.ColdTargets
import org.sesamerouter.warmup.PermitShares

/** Runs on the control thread; only the gauges are read from others. */
internal class HostColdTargets(
    linkAddress: String,
    private val clock: Clock,
    private val metrics: FrontMetrics,
    private val log: DecisionLog,
    bound: () -> ColdBound,
) {
    private var membersFor = -1L
    val targets = ColdTargets(PermitShares(linkAddress, clock.nowMs(), bound))

    fun registerGauges() {
        metrics.gauge("targets.cold") { targets.coldCount }
        metrics.gauge("targets.cold.refused") { targets.refused }
        metrics.gauge("targets.cold.hosts") { targets.shares.knownHosts }
    }

    fun onConfig(config: ServingConfig) {
        val services = HashMap<String, ColdStart>()
        config.services.values.forEach { service -> service.coldStart?.let { services[service.name] = it } }
        targets.onServices(services)
    }

    /** Called with a [read] after it was applied to the [known] targets; [wasReady] if it was not the first one. */
    fun onRead(read: EntryRead, known: Map<String, TargetEntry>, wasReady: Boolean, now: Long) {
        for (change in read.changes) {
            val entry = change.entry ?: continue
            // A read may be older than what is known of the target.
            val current = known[entry.id]?.takeIf { it.startTimeMs == entry.startTimeMs } ?: continue
            targets.onEntry(current, wasReady, now)
        }
        targets.retain(known.keys)
    }

    fun onNotice(target: TargetEntry, notice: TargetNotice, now: Long) {
        if (notice.coldMs > 0) {
            targets.onStated(TargetIncarnation(target.id, target.startTimeMs), notice.coldMs, now)
        }
    }

    /** Called with the [addresses] of all hosts that are registered in the store, without this one. */
    fun onRegisteredHosts(addresses: Collection<String>) =
        targets.shares.onHosts(addresses, areAll = true, clock.nowMs())

    /** Time until the first of [candidates] may get a request; 0 if one may now or there is none. */
    fun permitLeftMs(candidates: List<TargetEntry>): Long {
        val now = clock.nowMs()
        return candidates.minOfOrNull { targets.permitLeftMs(it, now) } ?: 0
    }

    fun onTick(listed: Collection<TargetEntry>, membership: Membership, now: Long) {
        if (membersFor != membership.changes) {
            membersFor = membership.changes
            targets.shares.onHosts(membership.all().map { it.peer }, areAll = false, now)
        }
        for (change in targets.takeChanges(listed, now)) {
            log.write(
                "target-cold",
                "target" to change.target,
                "service" to change.service,
                "cold" to change.isCold,
                "left-ms" to change.leftMs,
                "hosts" to targets.shares.knownHosts,
            )
        }
    }
}
