/*
 * The mutable state of one request while it passes through its stages.
 */
package org.sesamerouter.pipeline

import kotlinx.serialization.json.JsonElement
import net.openhft.hashing.LongHashFunction
import org.sesamerouter.admission.GateRequest
import org.sesamerouter.admission.StageQuantiles
import org.sesamerouter.admission.StageWork
import org.sesamerouter.api.RunCall
import org.sesamerouter.configuration.StageKind
import org.sesamerouter.quarantine.fingerprintOf
import org.sesamerouter.routing.TargetKey
import org.sesamerouter.target.TargetRun

private const val PREFIX_CHARS = 64
private const val DEFAULT_MAX_TOKENS = 64

internal enum class Phase { CLAIMING, QUEUED, RUNNING, PROBING }

internal class AttemptState(
    val id: AttemptId,
    val target: TargetKey,
    val address: String,
    val targetIncarnation: String,
    val startedMs: Long,
) {
    var hasFirstToken = false
}

internal class RequestState(
    val id: String,
    val target: CallTarget,
    val call: RunCall,
    val plan: RequestPlan,
    val gateRequest: GateRequest,
    val fingerprint: String,
    val prefixHash: Long?,
    val arrivedMs: Long,
    val deadlineMs: Long,
) {
    var phase = Phase.QUEUED
    var stageIndex = 0
    var upstream: JsonElement? = null
    var resumePosition = 0
    var resumeText = ""

    /** Whether any attempt may have run; attempts that are known not to have run do not count. */
    val dispatched: Boolean get() = attemptCount > notRunAttempts.size
    val notRunAttempts = HashSet<Int>()
    var isCancelled = false

    /** Whether no further reply is sent to the caller: it cancelled, or was told that the request is still running. */
    var isCallerDone = false
    var attemptCount = 0
    var retries = 0
    var wasKeyDispatched = false
    var hedged = false
    var claimId: String? = null
    var probedTarget: TargetKey? = null
    var probeStartMs = 0L
    val attempts = ArrayList<AttemptState>()
    val triedTargets = HashSet<TargetKey>()
    val committedWork = ArrayDeque<StageWork>()

    val stage: PlanStage get() = plan.stages[stageIndex]
    val isLastStage: Boolean get() = stageIndex == plan.stages.lastIndex

    /** The idempotency key that the ledger tracks, null for an idempotent request. */
    val ledgerKey: String? get() = if (plan.idempotent) null else call.key
}

/** Returns the initial state of a request that arrived at [now]; [timesOf] returns the service times of a stage. */
internal fun requestStateOf(
    event: RequestEvent.Arrived,
    plan: RequestPlan,
    weight: Int,
    now: Long,
    timesOf: (PlanStage) -> StageQuantiles,
): RequestState {
    val call = event.call
    val deadline = now + plan.deadlineMs
    val work = plan.stages.map { stage ->
        val times = timesOf(stage)
        StageWork(stage.pool, times.p50Ms, times.p90Ms)
    }
    val input = call.input.toString()
    return RequestState(
        id = event.request,
        target = event.target,
        call = call,
        plan = plan,
        gateRequest = GateRequest(call.organisation, weight, plan.rank, deadline, work),
        fingerprint = fingerprintOf(call.organisation, plan.name, input),
        prefixHash = prefixHashOf(input),
        arrivedMs = now,
        deadlineMs = deadline,
    )
}

/** Returns what the target runs in the attempt [id] of [request], at its current stage. */
internal fun targetRunOf(request: RequestState, id: AttemptId): TargetRun {
    val stage = request.stage
    val generates = stage.kind == StageKind.GENERATE
    return TargetRun(
        request = request.id,
        attempt = id.number,
        organisation = request.call.organisation,
        stage = stage.id.stage,
        rank = request.plan.rank,
        model = stage.model,
        operation = stage.operation,
        maxTokens = if (!generates) 0 else request.call.maxTokens.takeIf { it > 0 } ?: DEFAULT_MAX_TOKENS,
        resumeFrom = request.resumePosition,
        resumeText = request.resumeText,
        input = request.call.input,
        upstream = request.upstream,
    )
}

private fun prefixHashOf(input: String): Long? {
    if (input.length < PREFIX_CHARS) return null
    return LongHashFunction.xx3().hashChars(input.substring(0, PREFIX_CHARS))
}
