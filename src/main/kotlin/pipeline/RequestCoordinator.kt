/*
 * The state machine for the requests of this host: admission, queueing, target selection, retries, hedges, resumption
 * and the final answer. It does no I/O: it receives events with the current time and returns effects. Runs on the
 * control thread only.
 */
package org.sesamerouter.pipeline

import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.admission.AdmissionGate
import org.sesamerouter.admission.FairQueue
import org.sesamerouter.admission.GateDecision
import org.sesamerouter.admission.QueueEntry
import org.sesamerouter.admission.StageQuantiles
import org.sesamerouter.admission.StageTimes
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalReason
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.configuration.StageKind
import org.sesamerouter.cost.CostCategory
import org.sesamerouter.cost.CostMeter
import org.sesamerouter.ledger.Holder
import org.sesamerouter.ledger.Ledger
import org.sesamerouter.ledger.LedgerDecision
import org.sesamerouter.ledger.ticketOf
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.quarantine.QuarantineState
import org.sesamerouter.routing.ChoiceRequest
import org.sesamerouter.routing.PoolState
import org.sesamerouter.routing.TargetChooser
import org.sesamerouter.routing.TargetState
import org.sesamerouter.routing.TargetTable

private const val PROBE_TIMEOUT_MS = 500L
private const val MIN_HEDGE_DELAY_MS = 20L
private const val MAX_RUN_AFTER_DEADLINE_MS = 60_000L

/** Counters of the coordinator since the host started. */
data class CoordinatorCounts(
    val arrived: Long = 0,
    val answered: Long = 0,
    val refused: Long = 0,
    val retries: Long = 0,
    val hedges: Long = 0,
    val resumes: Long = 0,
    val deaths: Long = 0,
)

/** The state that the coordinator shares with other components on the control thread. */
class ServingState(
    val ledger: Ledger,
    val targets: TargetTable = TargetTable(),
    val quarantine: Quarantine = Quarantine(),
    val gate: AdmissionGate = AdmissionGate(),
    val times: StageTimes = StageTimes(),
    val cost: CostMeter = CostMeter(),
) {
    /** The current catalogue, null until the first one has been read. */
    var catalogue: Catalogue? = null
}

/** Coordinates the requests of one host. [isLive] returns whether an incarnation of a host is a live member. */
class RequestCoordinator(
    private val state: ServingState,
    private val chooser: TargetChooser,
    private val policy: ServingPolicy = ServingPolicy(),
    private val isLive: (Holder) -> Boolean = { false },
) {
    private val requests = LinkedHashMap<String, RequestState>()
    private val inProgressByOrganisation = HashMap<String, Int>()
    private val queues = HashMap<String, PoolQueues>()
    private val retryBudget = RetryBudget(policy.retryShare, burst = 20.0)
    private val hedgeBudget = RetryBudget(policy.hedgeShare, burst = 10.0)
    private val probes = DeathProbes()
    private val dispatchedKeys = DispatchedKeys(state.ledger)
    private val effects = ArrayList<RequestEffect>()
    private var sequence = 0L

    /** Time at which this host stops serving; requests are not started unless they can end before it. */
    private var servingEndMs = Long.MAX_VALUE

    /** Counters since the host started. */
    var counts = CoordinatorCounts()
        private set

    /** Number of requests that have not ended, including those that send no further reply to their caller. */
    val inProgress: Int get() = requests.size

    /** Processes [event] at [now] and returns the resulting effects, to be carried out in order. */
    fun handle(event: RequestEvent, now: Long): List<RequestEffect> {
        when (event) {
            is RequestEvent.Arrived -> onArrived(event, now)
            is RequestEvent.FirstToken -> onFirstToken(event.attempt, now)
            is RequestEvent.Succeeded -> onSucceeded(event, now)
            is RequestEvent.Failed -> onFailed(event, now)
            is RequestEvent.Probed -> onProbed(event, now)
            is RequestEvent.ClaimApplied -> onClaimApplied(event, now)
            is RequestEvent.ClaimFailed -> onClaimFailed(event)
            is RequestEvent.Cancelled -> onCancelled(event.request, now)
            is RequestEvent.Stopping -> onStopping(event.endMs, now)
            RequestEvent.ServingEnded -> onServingEnded(now)
            RequestEvent.Tick -> onTick(now)
        }
        val out = effects.toList()
        effects.clear()
        return out
    }

    /** Returns the number of queued requests by pool. */
    fun queueSizes(): Map<String, Int> = queues.mapValues { it.value.size }

    private fun onArrived(event: RequestEvent.Arrived, now: Long) {
        counts = counts.copy(arrived = counts.arrived + 1)
        val catalogue = state.catalogue
        val plan = catalogue?.let { planOf(it, event.target, event.call) }
        val organisation = catalogue?.organisations?.get(event.call.organisation)
        val refusal = arrivalRefusal(event, catalogue, plan)
        if (refusal != null || plan == null || organisation == null) {
            refuseArrival(event.request, downgradeIfMayHaveRun(event.call.key, checkNotNull(refusal)))
            return
        }
        val request = requestStateOf(event, plan, organisation.weight, now) { quantiles(it, now) }
        request.wasKeyDispatched = event.call.key in dispatchedKeys
        when {
            !plan.idempotent -> beginNonIdempotent(request, event, now)

            request.deadlineMs > servingEndMs ->
                refuseArrival(request.id, downgradeIfMayHaveRun(event.call.key, hostStopping(request.id)))

            else -> admit(request, organisation.maxInProgress, now)
        }
    }

    private fun beginNonIdempotent(request: RequestState, event: RequestEvent.Arrived, now: Long) {
        val key = event.call.key
        if (isKeyExpired(request, now)) {
            refuseArrival(request.id, outcomeUnknown(request.id, RefusalReason.KEY_EXPIRED))
            return
        }
        val decision = state.ledger.decide(key, request.fingerprint, isLive)
        val needsWork = decision !is LedgerDecision.Replay && decision !is LedgerDecision.Refuse
        if (needsWork && request.deadlineMs > servingEndMs) {
            refuseWhileStopping(request, decision)
            return
        }
        when (decision) {
            LedgerDecision.Run -> admit(request, Int.MAX_VALUE, now)

            is LedgerDecision.Refuse, is LedgerDecision.Replay -> answerFromLedger(request, decision)

            is LedgerDecision.Forward -> forward(request, event, decision.holder)

            is LedgerDecision.Claim -> {
                request.phase = Phase.CLAIMING
                request.claimId = decision.claim.id
                register(request)
                effects += RequestEffect.AppendClaim(decision.claim)
            }
        }
    }

    private fun answerFromLedger(request: RequestState, decision: LedgerDecision) {
        if (decision is LedgerDecision.Refuse) refuseArrival(request.id, decision.refusal.copy(request = request.id))
        if (decision !is LedgerDecision.Replay) return
        counts = counts.copy(answered = counts.answered + 1)
        effects += RequestEffect.Complete(request.id, decision.answer)
    }

    /** Only the holder of a key knows whether a request ran under it; a host that would have to claim it does not. */
    private fun refuseWhileStopping(request: RequestState, decision: LedgerDecision) {
        state.ledger.release(request.call.key)
        val refusal = hostStopping(request.id)
        refuseArrival(request.id, if (decision == LedgerDecision.Run) refusal else refusal.withUnknownOutcome())
    }

    private fun isKeyExpired(request: RequestState, now: Long): Boolean {
        val sent = request.call.firstSentAtMs
        return sent > 0 && ticketOf(request.call.key) == null && now - sent > policy.keyLifetimeMs
    }

    private fun forward(request: RequestState, event: RequestEvent.Arrived, holder: Holder) {
        if (event.forwarded) {
            refuseArrival(request.id, outcomeUnknown(request.id, RefusalReason.HOME_HOST_GONE))
        } else {
            effects += RequestEffect.Forward(request.id, holder, event.target, event.call)
        }
    }

    private fun onClaimApplied(event: RequestEvent.ClaimApplied, now: Long) {
        val request = requests.values.firstOrNull { it.claimId == event.claimId } ?: return
        if (request.phase != Phase.CLAIMING) return
        unregister(request) // admit() registers the request again
        when {
            state.ledger.isAdmitted(request.call.key) -> admit(request, Int.MAX_VALUE, now)

            isLive(event.holder) ->
                effects += RequestEffect.Forward(request.id, event.holder, request.target, request.call)

            else -> answerFromLedger(request, state.ledger.decideWithoutHolder(request.call.key))
        }
    }

    private fun onClaimFailed(event: RequestEvent.ClaimFailed) {
        val request = requests.values.firstOrNull { it.claimId == event.claimId } ?: return
        if (request.phase != Phase.CLAIMING) return
        state.ledger.release(request.call.key)
        unregister(request)
        refuseArrival(request.id, logUnavailable(request.id))
    }

    private fun admit(request: RequestState, maxInProgress: Int, now: Long) {
        val refusal = admissionRefusal(request, maxInProgress, now)
        if (refusal != null) {
            request.ledgerKey?.let(state.ledger::release)
            refuseArrival(
                request.id,
                if (request.plan.idempotent) downgradeIfMayHaveRun(request.call.key, refusal) else refusal,
            )
            return
        }
        retryBudget.deposit()
        hedgeBudget.deposit()
        register(request)
        request.gateRequest.work.forEach { work ->
            state.gate.commit(request.gateRequest, work, now)
            request.committedWork.addLast(work)
        }
        enqueue(request, now)
        dispatchQueued(request.stage.pool, now)
    }

    private fun admissionRefusal(request: RequestState, maxInProgress: Int, now: Long): Refusal? {
        if (policy.quarantine && state.quarantine.stateOf(request.fingerprint, now) == QuarantineState.QUARANTINED) {
            return quarantined(request.id, state.quarantine.remainingMs(request.fingerprint, now))
        }
        if ((inProgressByOrganisation[request.call.organisation] ?: 0) >= maxInProgress) {
            return organisationLimit(request.id, maxInProgress)
        }
        if (!policy.admission) return null
        val decision = state.gate.decide(request.gateRequest, now) { state.targets.pool(it)?.slots(now) ?: 0.0 }
        return (decision as? GateDecision.Refuse)?.let { deadlineUnreachable(request.id, it.retryAfterMs) }
    }

    private fun enqueue(request: RequestState, now: Long) {
        request.phase = Phase.QUEUED
        val stageTimes = quantiles(request.stage, now)
        val entry = if (policy.fairQueue) {
            val organisation = request.call.organisation
            QueueEntry(
                request.id,
                organisation,
                request.gateRequest.weight,
                request.plan.rank,
                request.deadlineMs - remainingMs(request, now),
                stageTimes.p50Ms,
            )
        } else {
            QueueEntry(request.id, "", 1, 0, sequence++, 1) // order of arrival
        }
        queuesOf(request.stage.pool).of(isSuspect(request, now)).add(entry)
    }

    private fun dispatchQueued(pool: String, now: Long) {
        val queues = queuesOf(pool)
        val targets = state.targets.pool(pool) ?: return
        dispatchFrom(targets, queues, queues.suspects, now)
        dispatchFrom(targets, queues, queues.normal, now)
    }

    private fun dispatchFrom(targets: PoolState, queues: PoolQueues, queue: FairQueue, now: Long) {
        while (mayDispatch(targets, now)) {
            val entry = queue.peek() ?: return
            val request = requests.getValue(entry.id)
            if (cannotMeetDeadline(request, now)) {
                finishAsDeadlineMissed(request, now)
                continue
            }
            val suspect = isSuspect(request, now)
            if (suspect && queue !== queues.suspects) {
                queue.remove(entry.id)
                queues.suspects.add(entry)
                continue
            }
            val choice = ChoiceRequest(prefixHashFor(request), request.triedTargets, suspect)
            val target = chooser.choose(targets, choice, now) ?: return
            queue.poll()
            start(request, target, now)
        }
    }

    /** Without the fair queue (naive policy) requests are always dispatched, and targets do the queueing. */
    private fun mayDispatch(pool: PoolState, now: Long): Boolean =
        !policy.fairQueue || pool.usable(now).any { it.hasCapacity() }

    private fun cannotMeetDeadline(request: RequestState, now: Long): Boolean {
        if (cannotEndBeforeStop(request, now)) return true
        if (!policy.deadlines) return false
        if (!policy.admission) return now >= request.deadlineMs
        return now + remainingMs(request, now) > request.deadlineMs
    }

    private fun remainingMs(request: RequestState, now: Long): Long =
        request.plan.stages.drop(request.stageIndex).sumOf { quantiles(it, now).p50Ms }

    /**
     * Returns whether the end of serving, and not its own deadline, keeps [request] from ending. One that has not been
     * dispatched can still go to another host, so the 90th percentile of its next stage counts, as on admission.
     */
    private fun cannotEndBeforeStop(request: RequestState, now: Long): Boolean {
        if (request.deadlineMs <= servingEndMs) return false
        val times = quantiles(request.stage, now)
        val marginMs = if (request.dispatched) 0 else times.p90Ms - times.p50Ms
        return now + remainingMs(request, now) + marginMs > servingEndMs
    }

    private fun finishAsDeadlineMissed(request: RequestState, now: Long) {
        val refusal = if (request.deadlineMs > servingEndMs) {
            endedByStop(request)
        } else {
            deadlineMissed(request.id, request.dispatched)
        }
        finish(request, refusal, now)
    }

    private fun start(request: RequestState, target: TargetState, now: Long) {
        val key = request.ledgerKey
        if (key != null && !state.ledger.dispatch(key)) {
            finish(request, outcomeUnknown(request.id, RefusalReason.KEY_IN_USE), now)
            return
        }
        request.phase = Phase.RUNNING
        if (key == null) dispatchedKeys.add(request.call.key)
        val id = AttemptId(request.id, ++request.attemptCount)
        request.attempts += AttemptState(id, target.key, target.address, target.incarnation, now)
        request.triedTargets += target.key
        if (isSuspect(request, now)) target.suspect = request.fingerprint
        state.targets.onStart(target.key)
        effects += RequestEffect.StartAttempt(
            id,
            target.address,
            targetRunOf(request, id),
            request.stageIndex,
            request.isLastStage,
            nonIdempotent = key != null,
        )
    }

    private fun onFirstToken(id: AttemptId, now: Long) {
        val request = requests[id.request] ?: return
        val attempt = request.attempts.firstOrNull { it.id == id } ?: return
        attempt.hasFirstToken = true
        request.attempts.filter { it.id != id }.forEach { cancelAttempt(request, it, CostCategory.HEDGE_LOST, now) }
        request.attempts.removeIf { it.id != id }
    }

    private fun onSucceeded(event: RequestEvent.Succeeded, now: Long) {
        val request = requests[event.attempt.request] ?: return
        val attempt = request.attempts.firstOrNull { it.id == event.attempt } ?: return
        request.attempts.remove(attempt)
        val durationMs = now - attempt.startedMs
        val expectedMs = quantiles(request.stage, now).p50Ms
        state.times.record(request.stage.id, durationMs, now)
        state.targets.onSuccess(attempt.target, durationMs, expectedMs, now)
        event.report?.let { state.targets.onReport(attempt.target, it, now) }
        endAttempt(request, attempt, CostCategory.ANSWER, event.tokens, now)
        request.attempts.forEach { cancelAttempt(request, it, CostCategory.HEDGE_LOST, now) }
        request.attempts.clear()
        releaseStageWork(request)
        if (request.isLastStage) complete(request, event, now) else nextStage(request, event, now)
        dispatchQueued(attempt.target.pool, now)
    }

    private fun nextStage(request: RequestState, event: RequestEvent.Succeeded, now: Long) {
        request.upstream = event.output ?: JsonPrimitive(event.text)
        request.stageIndex++
        request.resumePosition = 0
        request.resumeText = ""
        request.triedTargets.clear()
        request.hedged = false
        enqueue(request, now)
        dispatchQueued(request.stage.pool, now)
    }

    private fun complete(request: RequestState, event: RequestEvent.Succeeded, now: Long) {
        val answer = RunAnswer(request.id, event.output, event.text, event.tokens)
        state.quarantine.onSuccess(request.fingerprint, now)
        request.ledgerKey?.let { state.ledger.done(it, answer) }
        unregister(request)
        state.gate.onEnd(request.gateRequest, inTime = now <= request.deadlineMs)
        if (request.isCallerDone) return
        counts = counts.copy(answered = counts.answered + 1)
        effects += RequestEffect.Complete(request.id, answer)
    }

    private fun onFailed(event: RequestEvent.Failed, now: Long) {
        val request = requests[event.attempt.request] ?: return
        val attempt = request.attempts.firstOrNull { it.id == event.attempt } ?: return
        request.attempts.remove(attempt)
        val category = if (event.failure == AttemptFailure.LOST_RACE) CostCategory.HEDGE_LOST else CostCategory.FAILED
        endAttempt(request, attempt, category, 0, now)
        if (event.position > request.resumePosition) {
            request.resumePosition = event.position
            request.resumeText = event.text
        }
        recordFailure(request, attempt, event.failure, now)
        if (request.attempts.isEmpty()) handleFailure(request, attempt, event.failure, now)
        dispatchQueued(attempt.target.pool, now)
    }

    private fun recordFailure(request: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Long) {
        val targets = state.targets
        when (failure) {
            AttemptFailure.NEVER_SENT, AttemptFailure.CUT -> targets.onFailure(attempt.target, connection = true, now)
            AttemptFailure.ERROR -> targets.onFailure(attempt.target, connection = false, now)
            AttemptFailure.REFUSED -> targets.onRefusal(attempt.target, leaving = false, now)
            AttemptFailure.REFUSED_LEAVING -> targets.onRefusal(attempt.target, leaving = true, now)
            AttemptFailure.TOO_LARGE, AttemptFailure.LOST_RACE -> Unit
        }
        val isNotRun = failure == AttemptFailure.NEVER_SENT || failure == AttemptFailure.REFUSED ||
            failure == AttemptFailure.REFUSED_LEAVING
        if (isNotRun) {
            request.ledgerKey?.let(state.ledger::revertDispatch)
            request.notRunAttempts += attempt.id.number
        }
        if (failure == AttemptFailure.CUT) {
            probes.add(request.fingerprint, attempt)
            effects += RequestEffect.Probe(attempt.target, attempt.address)
        }
    }

    private fun handleFailure(request: RequestState, attempt: AttemptState, failure: AttemptFailure, now: Long) {
        when (failure) {
            AttemptFailure.CUT -> {
                request.phase = Phase.PROBING
                request.probedTarget = attempt.target
                request.probeStartMs = now
            }

            AttemptFailure.TOO_LARGE -> finish(request, answerTooLarge(request.id), now)

            else -> retryOrFinish(request, failure, now)
        }
    }

    private fun onProbed(event: RequestEvent.Probed, now: Long) {
        event.report?.let { state.targets.onReport(event.target, it, now) }
        probes.resolve(event.target, event.report).forEach { recordDeath(it, now) }
        requests.values.filter { it.probedTarget == event.target }.forEach { continueAfterProbe(it, now) }
    }

    private fun recordDeath(notice: DeathNotice, now: Long) {
        if (!policy.quarantine || !state.quarantine.onDeath(notice, now)) return
        counts = counts.copy(deaths = counts.deaths + 1)
        effects += RequestEffect.BroadcastDeath(notice)
    }

    private fun continueAfterProbe(request: RequestState, now: Long) {
        request.probedTarget = null
        retryOrFinish(request, AttemptFailure.CUT, now)
    }

    private fun retryOrFinish(request: RequestState, failure: AttemptFailure, now: Long) {
        val key = request.ledgerKey
        val quarantineState = state.quarantine.stateOf(request.fingerprint, now)
        val sent = failure == AttemptFailure.CUT || failure == AttemptFailure.ERROR
        when {
            key != null && sent -> finish(request, outcomeUnknown(request.id, RefusalReason.TARGET_FAILED), now)

            request.isCancelled -> finish(request, cancelled(request.id, request.dispatched), now)

            policy.quarantine && quarantineState == QuarantineState.QUARANTINED ->
                finish(request, quarantinedWhileRunning(request.id), now)

            cannotMeetDeadline(request, now) -> finishAsDeadlineMissed(request, now)

            request.retries >= policy.maxRetries || !retryBudget.tryWithdraw() ->
                finishAfterFailure(request, failure, now)

            else -> requeue(request, now)
        }
    }

    private fun requeue(request: RequestState, now: Long) {
        request.retries++
        counts = counts.copy(
            retries = counts.retries + 1,
            resumes = counts.resumes + if (request.resumePosition > 0) 1 else 0,
        )
        enqueue(request, now)
        dispatchQueued(request.stage.pool, now)
    }

    private fun finishAfterFailure(request: RequestState, failure: AttemptFailure, now: Long) {
        val remedy = "the targets of ${request.stage.pool} did not complete the request; retry after retry_after_ms"
        val refusal = if (request.dispatched) {
            failed(request.id, RefusalReason.TARGET_FAILED, remedy, NO_TARGET_RETRY_MS)
        } else {
            val refused = failure == AttemptFailure.REFUSED || failure == AttemptFailure.REFUSED_LEAVING
            val reason = if (refused) RefusalReason.TARGET_REFUSED else RefusalReason.NO_TARGET
            notRun(request.id, reason, remedy, NO_TARGET_RETRY_MS)
        }
        finish(request, refusal, now)
    }

    private fun onCancelled(id: String, now: Long) {
        val request = requests[id] ?: return
        if (request.isCallerDone) return
        request.isCancelled = true
        // A dispatched non-idempotent request runs on, so that its outcome can be recorded under its key.
        val mustComplete = request.ledgerKey != null && request.dispatched
        if (mustComplete) {
            request.isCallerDone = true
            refuseArrival(id, cancelledButRunning(id))
            return
        }
        finish(request, cancelled(id, request.dispatched), now)
    }

    private fun onStopping(endMs: Long, now: Long) {
        servingEndMs = minOf(servingEndMs, endMs)
        finishQueuedBeforeStop(now)
    }

    private fun finishQueuedBeforeStop(now: Long) {
        requests.values.filter { it.phase == Phase.QUEUED && cannotEndBeforeStop(it, now) }
            .forEach { finish(it, endedByStop(it), now) }
    }

    private fun onServingEnded(now: Long) {
        servingEndMs = minOf(servingEndMs, now)
        if (policy.deadlines) requests.values.filter { now >= it.deadlineMs }.forEach { onDeadline(it, now) }
        requests.values.toList().forEach { finish(it, endedByStop(it), now) }
    }

    private fun onTick(now: Long) {
        finishQueuedBeforeStop(now)
        for (request in requests.values.toList()) {
            if (request.phase == Phase.PROBING) expireProbe(request, now)
            if (policy.deadlines && now >= request.deadlineMs) onDeadline(request, now) else hedgeIfSlow(request, now)
        }
        queues.keys.toList().forEach { dispatchQueued(it, now) }
    }

    /** Counts a probe without a reply within [PROBE_TIMEOUT_MS] as the death of its target. */
    private fun expireProbe(request: RequestState, now: Long) {
        val target = request.probedTarget ?: return
        if (now - request.probeStartMs > PROBE_TIMEOUT_MS) onProbed(RequestEvent.Probed(target, "", null), now)
    }

    private fun onDeadline(request: RequestState, now: Long) {
        if (request.isCallerDone) {
            val isOver = now >= request.deadlineMs + MAX_RUN_AFTER_DEADLINE_MS
            if (isOver) finish(request, outcomeUnknown(request.id, RefusalReason.DEADLINE_PASSED), now)
            return
        }
        val key = request.ledgerKey
        when {
            request.phase == Phase.CLAIMING -> request.claimId?.let { onClaimFailed(RequestEvent.ClaimFailed(it)) }

            key != null && request.dispatched -> {
                request.isCallerDone = true
                counts = counts.copy(refused = counts.refused + 1)
                effects += RequestEffect.Refuse(request.id, stillRunning(request.id, NO_TARGET_RETRY_MS))
            }

            request.dispatched -> {
                request.attempts.forEach {
                    state.targets.onAbandoned(
                        it.target,
                        now - it.startedMs,
                        quantiles(request.stage, now).p50Ms,
                        now,
                    )
                }
                finish(request, deadlinePassed(request.id), now)
            }

            else -> finishAsDeadlineMissed(request, now)
        }
    }

    private fun hedgeIfSlow(request: RequestState, now: Long) {
        if (request.phase != Phase.RUNNING || request.hedged || request.ledgerKey != null) return
        val first = request.attempts.singleOrNull() ?: return
        val stageTimes = quantiles(request.stage, now)
        val age = now - first.startedMs
        if (first.hasFirstToken || age < maxOf(MIN_HEDGE_DELAY_MS, stageTimes.p95Ms)) return
        val pool = state.targets.pool(request.stage.pool) ?: return
        if (queuesOf(pool.name).size > 0 || isSuspect(request, now)) return
        val target = chooser.choose(pool, ChoiceRequest(null, request.triedTargets, suspect = false), now) ?: return
        if (target.key == first.target || !hedgeBudget.tryWithdraw()) return
        request.hedged = true
        counts = counts.copy(hedges = counts.hedges + 1)
        start(request, target, now)
    }

    private fun cancelAttempt(request: RequestState, attempt: AttemptState, category: CostCategory, now: Long) {
        state.targets.onAbandoned(attempt.target, now - attempt.startedMs, quantiles(request.stage, now).p50Ms, now)
        endAttempt(request, attempt, category, 0, now)
        effects += RequestEffect.CancelAttempt(attempt.id)
    }

    private fun endAttempt(
        request: RequestState,
        attempt: AttemptState,
        category: CostCategory,
        tokens: Int,
        now: Long,
    ) {
        state.targets.onEnd(attempt.target, request.fingerprint)
        state.cost.charge(request.stage.id, category, now - attempt.startedMs, tokens)
    }

    private fun releaseStageWork(request: RequestState) {
        request.committedWork.removeFirstOrNull()?.let { state.gate.release(request.gateRequest, it) }
    }

    /** Ends [request]: cancels its attempts, releases its resources and, unless the caller is done, sends [refusal]. */
    private fun finish(request: RequestState, refusal: Refusal?, now: Long) {
        unregister(request)
        queues[request.stage.pool]?.remove(request.id)
        if (refusal?.reason in DEADLINE_REASONS) state.gate.onEnd(request.gateRequest, inTime = false)
        request.attempts.forEach { attempt ->
            endAttempt(request, attempt, CostCategory.ABANDONED, 0, now)
            effects += RequestEffect.CancelAttempt(attempt.id)
        }
        request.attempts.clear()
        while (request.committedWork.isNotEmpty()) releaseStageWork(request)
        val key = request.ledgerKey
        if (key != null && refusal != null) {
            if (request.dispatched) state.ledger.failed(key, refusal) else state.ledger.release(key)
        }
        if (key == null && !request.dispatched && !request.wasKeyDispatched) dispatchedKeys.remove(request.call.key)
        if (request.isCallerDone || refusal == null) return
        counts = counts.copy(refused = counts.refused + 1)
        val reported = if (key == null) downgradeIfMayHaveRun(request.call.key, refusal) else refusal
        effects += RequestEffect.Refuse(request.id, reported)
    }

    /** Returns [refusal]; "not run" becomes "outcome unknown" when an earlier request with [key] may have run. */
    private fun downgradeIfMayHaveRun(key: String, refusal: Refusal): Refusal =
        if (dispatchedKeys.canConfirmNotRun(key)) refusal else refusal.withUnknownOutcome()

    private fun register(request: RequestState) {
        requests[request.id] = request
        inProgressByOrganisation.merge(request.call.organisation, 1, Int::plus)
    }

    private fun unregister(request: RequestState) {
        if (requests.remove(request.id) == null) return
        inProgressByOrganisation.computeIfPresent(request.call.organisation) { _, count ->
            if (count > 1) count - 1 else null
        }
    }

    private fun refuseArrival(request: String, refusal: Refusal) {
        counts = counts.copy(refused = counts.refused + 1)
        effects += RequestEffect.Refuse(request, refusal)
    }

    private fun isSuspect(request: RequestState, now: Long): Boolean =
        policy.quarantine && state.quarantine.stateOf(request.fingerprint, now) != QuarantineState.CLEAR

    private fun prefixHashFor(request: RequestState): Long? =
        if (request.stage.kind == StageKind.GENERATE) request.prefixHash else null

    private fun quantiles(stage: PlanStage, now: Long): StageQuantiles =
        state.times.quantiles(stage.id, stage.expectedMs, now)

    private fun queuesOf(pool: String): PoolQueues = queues.getOrPut(pool) { PoolQueues() }

    private companion object {
        val DEADLINE_REASONS = setOf(RefusalReason.DEADLINE_PASSED, RefusalReason.DEADLINE_UNREACHABLE)
    }
}
