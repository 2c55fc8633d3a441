/*
 * The state of one host on request, slice by slice, for people who look into a fault.
 */
package org.sesamerouter.host

import kotlinx.serialization.Serializable
import org.sesamerouter.cost.StageCost
import org.sesamerouter.membership.Member
import org.sesamerouter.orders.EngineStatus

/** The whole state of one host. Times are in milliseconds. */
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

/** Configuration in force and how far it has come. */
@Serializable
data class ConfigurationDump(
    val revision: Long,
    val snapshotRevision: Long,
    val resources: Int,
    val ready: Boolean,
    val sinceLogReadMs: Long,
    val settledRevision: Long,
)

/** Members and the datagrams between them. */
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

/** Requests and what was decided. */
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

/** Keys that this host holds. */
@Serializable
data class LedgerDump(val keys: Int, val epoch: Long, val claims: Int, val claimsRevision: Long, val appends: Long)

/** Suspected requests. */
@Serializable
data class QuarantineDump(val suspects: Int, val deaths: Long)

/** One target. */
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
