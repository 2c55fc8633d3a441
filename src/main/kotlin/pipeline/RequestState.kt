/*
 * The state of one request on its way through the stages.
 */
package org.sesamerouter.pipeline

import kotlinx.serialization.json.JsonElement
import net.openhft.hashing.LongHashFunction
import org.sesamerouter.admission.GateRequest
import org.sesamerouter.admission.StageQuantiles
import org.sesamerouter.admission.StageWork
import org.sesamerouter.api.RunCall
import org.sesamerouter.quarantine.fingerprintOf
import org.sesamerouter.routing.TargetKey

private const val PREFIX_CHARS = 64

internal enum class Phase { CLAIMING, QUEUED, RUNNING, PROBING }

internal class AttemptState(
    val id: AttemptId,
    val target: TargetKey,
    val address: String,
    val targetIncarnation: String,
    val startedMs: Long,
) {
    var hasToken = false
}

internal class RequestState(
    val id: String,
    val target: CallTarget,
    val call: RunCall,
    val plan: RequestPlan,
    val gate: GateRequest,
    val fingerprint: String,
    val prefix: Long?,
    val arrivedMs: Long,
    val deadlineMs: Long,
) {
    var phase = Phase.QUEUED
    var stageIndex = 0
    var upstream: JsonElement? = null
    var resumePosition = 0
    var resumeText = ""

    /** Whether some attempt may have run; attempts that surely did not are taken out again. */
    val dispatched: Boolean get() = attemptCount > unrunAttempts.size
    val unrunAttempts = HashSet<Int>()
    var callerGone = false
    var answered = false
    var attemptCount = 0
    var retries = 0
    var isKeyKnown = false
    var hedged = false
    var claimId: String? = null
    var probing: TargetKey? = null
    var probeStartMs = 0L
    val attempts = ArrayList<AttemptState>()
    val tried = HashSet<TargetKey>()
    val committed = ArrayDeque<StageWork>()

    val stage: PlanStage get() = plan.stages[stageIndex]
    val isLastStage: Boolean get() = stageIndex == plan.stages.lastIndex

    /** The key that the ledger guards, null when the request may be repeated. */
    val ledgerKey: String? get() = if (plan.idempotent) null else call.key
}

/** Returns the state of a request that came in at [now]; [timesOf] gives the times of a stage. */
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
        StageWork(stage.pool, times.typicalMs, times.highMs)
    }
    val input = call.input.toString()
    return RequestState(
        id = event.request,
        target = event.target,
        call = call,
        plan = plan,
        gate = GateRequest(call.organisation, weight, plan.rank, deadline, work),
        fingerprint = fingerprintOf(call.organisation, plan.name, input),
        prefix = prefixOf(input),
        arrivedMs = now,
        deadlineMs = deadline,
    )
}

private fun prefixOf(input: String): Long? {
    if (input.length < PREFIX_CHARS) return null
    return LongHashFunction.xx3().hashChars(input.substring(0, PREFIX_CHARS))
}
