/*
 * Serialized form of a host's state, slice by slice, for diagnostics.
 */
package org.sesamerouter.host

import kotlinx.serialization.Serializable
import org.sesamerouter.cost.StageCost
import org.sesamerouter.membership.Member
import org.sesamerouter.orders.EngineStatus

/** Complete state of one host. Times are in milliseconds. */
@Serializable
data class StateDump(
    val host: String,
    val incarnation: Long,
    val nowMs: Long,
    val configuration: ConfigurationDump,
    val membership: MembershipDump,
    val requests: RequestsDump,
    val ledger: LedgerDump,
    val quarantine: QuarantineDump,
    val targets: List<TargetDump>,
    val orders: List<EngineStatus>,
    val cost: List<StageCost>,
)

/** Applied configuration and its progress across the live hosts. */
@Serializable
data class ConfigurationDump(
    val revision: Long,
    val snapshotRevision: Long,
    val resources: Int,
    val ready: Boolean,
    val sinceLogReadMs: Long,
    val settledRevision: Long,
)

/** Members and counters of the traffic between hosts. */
@Serializable
data class MembershipDump(
    val members: List<Member>,
    val sent: Long,
    val received: Long,
    val suspicions: Long,
    val refutations: Long,
    val bytesSent: Long,
    val bytesReceived: Long,
    val badFrames: Long,
)

/** Requests by state and counters of decisions. */
@Serializable
data class RequestsDump(
    val inProgress: Int,
    val waitingCallers: Int,
    val queued: Map<String, Int>,
    val arrived: Long,
    val answered: Long,
    val refused: Long,
    val retries: Long,
    val hedges: Long,
    val resumes: Long,
)

/** Idempotency keys held by this host. */
@Serializable
data class LedgerDump(val keys: Int, val epoch: Long, val claims: Int, val claimsRevision: Long, val appends: Long)

/** Suspected requests and the target deaths attributed to requests. */
@Serializable
data class QuarantineDump(val suspects: Int, val deaths: Long)

/** State of one target. */
@Serializable
data class TargetDump(
    val pool: String,
    val name: String,
    val address: String,
    val inProgress: Int,
    val limit: Int,
    val leaving: Boolean,
    val ejectedForMs: Long,
    val reportAgeMs: Long,
    val incarnation: String,
)
