/*
 * Collects the state dump. Runs on the control thread.
 */
package org.sesamerouter.host

import org.sesamerouter.routing.PoolState

/** Returns the state of [host] at [nowMs]. */
internal fun dumpOf(host: EntryHost, nowMs: Long): StateDump = StateDump(
    host = host.settings.host.id,
    incarnation = host.membership.self.incarnation,
    nowMs = nowMs,
    configuration = ConfigurationDump(
        host.configurationReplica.state.revision,
        host.configurationReplica.state.snapshotRevision,
        host.configurationReplica.state.resources.size,
        host.configurationReplica.isReady,
        nowMs - host.configurationReplica.logReadMs,
        host.view.settledRevision,
    ),
    membership = membershipDump(host),
    requests = requestsDump(host),
    ledger = LedgerDump(
        host.ledger.size,
        host.ledger.epoch,
        host.ledger.claimedKeys,
        host.ledger.claimsRevision,
        host.claims.appends,
    ),
    quarantine = QuarantineDump(host.serving.quarantine.size, host.coordinator.counts.deaths),
    targets = host.serving.targets.all().flatMap { targetDumps(it, nowMs) },
    orders = host.orders.status(host.membership.live().map { it.host }),
    cost = host.serving.cost.report(),
)

private fun membershipDump(host: EntryHost): MembershipDump {
    val membershipCounts = host.membership.counts
    val linkCounts = host.link.counts()
    return MembershipDump(
        host.membership.all(),
        membershipCounts.sent,
        membershipCounts.received,
        membershipCounts.suspicions,
        membershipCounts.refutations,
        linkCounts.bytesSent,
        linkCounts.bytesReceived,
        linkCounts.badFrames,
    )
}

private fun requestsDump(host: EntryHost): RequestsDump {
    val counts = host.coordinator.counts
    return RequestsDump(
        host.coordinator.inProgress,
        host.traffic.waitingCallers,
        host.coordinator.queueSizes(),
        counts.arrived,
        counts.answered,
        counts.refused,
        counts.retries,
        counts.hedges,
        counts.resumes,
    )
}

private fun targetDumps(pool: PoolState, nowMs: Long): List<TargetDump> = pool.targets.map { target ->
    TargetDump(
        pool.name,
        target.key.name,
        target.address,
        target.inProgress,
        target.concurrency.limit,
        target.leaving,
        maxOf(0, target.ejectedUntilMs - nowMs),
        if (target.report == null) -1 else nowMs - target.reportedAtMs,
        target.incarnation,
    )
}
