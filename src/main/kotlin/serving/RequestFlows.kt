/*
 * The lifecycle of each forwarded request on this host: its stages, the choice of the target, retries where they are
 * allowed, and the final response. A state machine without I/O that runs on the control thread.
 */
package org.sesamerouter.serving

import org.sesamerouter.batching.JobFailure
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.engine.Prompt
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.retry.RepeatReason
import org.sesamerouter.retry.SendGate
import org.sesamerouter.routing.ReportedLoad
import org.sesamerouter.routing.ServiceTargets

private const val MAX_SENDS = 5
private const val MAX_STAGE_RERUNS = 2
private const val DEFER_OBJECTIVE_DIVISOR = 8 // of the objective; after that the request is rejected with a retry time
private const val DEFER_TIMEOUT_DIVISOR = 6 // of the time left; a second rejection is worse than a late response
private const val MAX_DEFERRAL_MS = 200L // a rejected caller hears of it within 0.25 s, also over a tick of this host
private const val MAX_DEFERRED = 24 // as many as the pools can serve within a caller's deadline after a burst
private const val MAX_STARTED_DEFERRED = 2 // at a time per host, so that all hosts together do not overload the pools
private const val INPUT_FETCH_MS = 120L // an engine without a queue fetches its inputs within a few ms
private const val MIN_SEND_MS = 20L // with less time left, the work of the target would be wasted
private const val FIRST_SERVER_ERROR_STATUS = 500
private const val NOT_RUN_STATUS = 503
private const val OUTCOME_UNKNOWN_STATUS = 502
private const val TIMEOUT_STATUS = 504
private const val INPUTS_GONE_STATUS = 409

/** The requests in progress on one host. Not thread-safe. */
class RequestFlows(
    private val context: FlowContext,
    private val engines: EngineTable,
    private val serviceTargets: ServiceTargets,
    quarantine: Quarantine,
    private val dataCentre: String,
    private val sendGate: SendGate,
    private val pieceMemory: PieceMemory = UnboundedPieceMemory,
) {
    private val flows = LinkedHashMap<Long, Flow>()
    private val flowOfJob = HashMap<String, Flow>()
    private val effects = ArrayList<FlowEffect>()
    private val latency = LatencyEstimator(context, engines::prefillTokensPerMs)
    private val stageJobs = StageJobFactory(context, engines, latency)
    private val firstAttempts = FirstAttemptEstimator()
    private val capacity = CapacityCheck(context)
    private val shutdown = ShutdownPolicy(context, latency)
    private val crashGuard = CrashGuard(quarantine, context)
    private val deferred = DeferredQueue(MAX_DEFERRED)
    private val startedDeferred = HashSet<Long>()
    private var jobSequence = 0L

    /** Number of requests that have not ended. */
    val inProgress: Int get() = flows.size

    /** Number of requests that have not ended and are at no target, without a part of a response passed on. */
    val unsent: Int get() = flows.values.count { it.isUnsent }

    /** Handles [event] and returns the effects to apply, in order. */
    fun handle(event: FlowEvent, now: Long): List<FlowEffect> {
        latency.nowMs = now
        when (event) {
            is FlowEvent.Arrived -> onArrived(event.request, now)
            is FlowEvent.StageEnded -> onStageEnded(event, now)
            is FlowEvent.ResponseStarted -> onResponseStarted(event, now)
            is FlowEvent.ResponsePastBeginning -> findSend(event.send)?.let { (_, send) -> send.isPastBeginning = true }
            is FlowEvent.ResponseCompleted -> onResponseCompleted(event, now)
            is FlowEvent.SendFailed -> onSendFailed(event, now)
            is FlowEvent.SendSilent -> onSendSilent(event.send, now)
            is FlowEvent.CallerDisconnected -> flows[event.flow]?.let { cancelFlow(it, "caller left") }
            is FlowEvent.TargetChecked -> onTargetChecked(event, now)
            is FlowEvent.TargetDied -> crashGuard.onTargetDown(event.target, event.startTimeMs, now)
            is FlowEvent.ShutdownStarted -> onShutdownStarted(event, now)
            FlowEvent.Tick -> onTick(now)
        }
        effects += crashGuard.takeEffects(now)
        return takeEffects()
    }

    private fun takeEffects(): List<FlowEffect> {
        val out = effects.toList()
        effects.clear()
        return out
    }

    private fun onArrived(request: ForwardRequest, now: Long) {
        val flow = Flow(request, firstAttempts.sinceFirstAttemptMs(request, now))
        flows[request.flow] = flow
        flow.pass = sendGate.onRequest(request.service, now)
        if (!shutdown.mayAccept(request)) {
            fail(flow, RejectReason.STOPPING)
            return
        }
        if (rejectQuarantined(flow, crashGuard.permit(flow, now))) return
        if (request.deadlineMs - now < MIN_SEND_MS) {
            fail(flow, RejectReason.DEADLINE)
        } else if (rejectUnservable(flow, now)) {
            return
        } else if (targetsOf(flow).isEmpty() || mustWaitForTargets(flow)) {
            fail(flow, RejectReason.NO_TARGET)
        } else if (latency.meetsObjective(flow) || latency.hasSpareCapacity(flow)) {
            startStages(flow, now)
        } else {
            defer(flow, now)
        }
    }

    /** Rejects a request whose pieces need more than the pools or this host have; returns whether it did. */
    private fun rejectUnservable(flow: Flow, now: Long): Boolean {
        val shortage = capacity.shortageOf(flow, now)
        if (shortage != null) {
            reject(flow, RejectReason.UNSERVABLE, LatencyEstimator.MAX_RETRY_AFTER_MS, shortage = shortage)
            return true
        }
        val pieces = flow.totalPieces
        flow.holdsPieces = pieceMemory.tryHold(pieces)
        if (flow.holdsPieces) return false
        val lack = Shortage(
            flow.request.service,
            CapacityFigure.MEMORY,
            pieceMemory.bytesOf(pieces),
            pieceMemory.freeBytes,
        )
        reject(flow, RejectReason.OVERLOAD, LatencyEstimator.MAX_RETRY_AFTER_MS, shortage = lack)
        return true
    }

    /** Returns the targets that may get the request, also cold ones. */
    private fun targetsOf(flow: Flow): List<TargetEntry> {
        val targets = context.targets(flow.request.service)
        val regions = flow.request.allowedRegions ?: return targets
        return targets.filter { context.isInRegion(it, regions) }
    }

    /** Whether all targets are cold and will not take the request by the time at which its stages have ended. */
    private fun mustWaitForTargets(flow: Flow): Boolean {
        val leftMs = context.permitLeftMs(targetsOf(flow))
        return leftMs > 0 && leftMs > latency.remainingStagesMs(flow)
    }

    /** Rejects a request that a target may not see, by [permit]; returns whether it did. */
    private fun rejectQuarantined(flow: Flow, permit: SendPermit): Boolean {
        when {
            permit is SendPermit.Granted || permit is SendPermit.Deferred -> return false

            flow.mayHaveRun || flow.isResponding -> fail(flow, RejectReason.QUARANTINED)

            permit is SendPermit.HeldBack ->
                reject(flow, RejectReason.QUARANTINED, permit.leftMs, permit.part, permit.crashes)

            permit is SendPermit.Quarantined -> reject(flow, RejectReason.QUARANTINED, permit.leftMs)
        }
        return true
    }

    /** Defers a request until the pools have spare capacity, or rejects it when their backlog is too long. */
    private fun defer(flow: Flow, now: Long) {
        val request = flow.request
        val patienceMs = if (flow.isCallerRetry) {
            (request.deadlineMs - now) / DEFER_TIMEOUT_DIVISOR
        } else {
            request.route.objectiveMs / DEFER_OBJECTIVE_DIVISOR
        }
        val maxWaitMs = minOf(patienceMs, MAX_DEFERRAL_MS)
        if (latency.backlogMs(flow) > maxWaitMs * 2) {
            reject(flow, RejectReason.OVERLOAD, latency.retryAfterMs(flow))
            return
        }
        val latestStart = minOf(now + maxWaitMs, request.deadlineMs - latency.unloadedMs(flow))
        deferred.add(DeferredRequest(request.flow, flow.rank, latestStart, now, request.organisation))
        deferred.takeExcess(now).forEach(::rejectDeferred)
    }

    private fun rejectDeferred(id: Long) {
        flows[id]?.let { reject(it, RejectReason.OVERLOAD, latency.retryAfterMs(it)) }
    }

    /** Starts the most urgent deferred request whose pools have spare capacity. */
    private fun startDeferred(now: Long) {
        if (deferred.isEmpty || startedDeferred.size >= MAX_STARTED_DEFERRED) return
        val next = deferred.firstMatching { id -> flows[id]?.let { latency.hasSpareCapacity(it) } ?: true } ?: return
        deferred.remove(next)
        val flow = flows[next] ?: return
        startedDeferred += next
        startStages(flow, now)
    }

    private fun startStages(flow: Flow, now: Long) {
        if (!shutdown.canComplete(flow, now)) {
            fail(flow, RejectReason.STOPPING)
            return
        }
        val stages = flow.request.route.stages
        for (number in stages.indices) {
            if (number in flow.startedStages || flow.pieceCount(number) == 0) continue
            if (stages[number].dependencies.any { flow.pieceCount(it) > 0 && flow.handles[it] == null }) continue
            if (latency.shouldDelayStage(flow, number)) continue
            flow.startedStages += number
            startStage(flow, number, now)
        }
        val hasUnfinished = stages.indices.any { flow.pieceCount(it) > 0 && flow.handles[it] == null }
        if (!hasUnfinished) send(flow, now)
    }

    private fun startStage(flow: Flow, number: Int, now: Long) {
        val job = stageJobs.createJob(flow, number, "${flow.request.id}/$number/${jobSequence++}", now)
        flow.jobs[job.job] = number
        flow.expectedStageEndMs[number] = now + latency.queuedStageMs(flow, number)
        flowOfJob[job.job] = flow
        effects += FlowEffect.RunStage(job)
    }

    private fun onStageEnded(event: FlowEvent.StageEnded, now: Long) {
        val flow = flowOfJob.remove(event.job) ?: return
        val number = flow.jobs.remove(event.job) ?: return
        val failure = event.outcome.failure
        if (failure == null) {
            flow.handles[number] = event.outcome.handles
            effects += flow.releaseConsumed()
            startStages(flow, now)
        } else {
            onStageFailed(flow, failure, now)
        }
    }

    private fun onStageFailed(flow: Flow, failure: JobFailure, now: Long) {
        val mayMakeAgain = failure == JobFailure.INPUT_GONE && flow.stageReruns < MAX_STAGE_RERUNS
        if (mayMakeAgain && now + MIN_SEND_MS < flow.request.deadlineMs) {
            makeStagesAgain(flow, now) // the request has a pass for its send already
        } else {
            fail(flow, if (failure == JobFailure.LATE) RejectReason.OVERLOAD else RejectReason.STAGE_FAILED)
        }
    }

    /** Whether a request may be sent again with new results since a target could not fetch those that it had. */
    private fun maySendWithNewResults(flow: Flow, now: Long): Boolean =
        flow.stageReruns < MAX_STAGE_RERUNS && takePass(flow, RepeatReason.INPUTS_GONE, now)

    private fun makeStagesAgain(flow: Flow, now: Long) {
        discardResults(flow)
        rerunStages(flow, now)
    }

    /** Takes a pass for the next arrival of the request at its service; returns whether the allowance has one. */
    private fun takePass(flow: Flow, reason: RepeatReason, now: Long): Boolean {
        flow.pass = sendGate.repeat(flow.request.service, reason, now) ?: return false
        return true
    }

    private fun rerunStages(flow: Flow, now: Long) {
        flow.stageReruns++
        cancelStages(flow)
        startStages(flow, now)
    }

    private fun send(flow: Flow, now: Long) {
        val request = flow.request
        val taken = checkNotNull(flow.pass) { "request ${request.id} has no pass for another send" }
        startedDeferred -= request.flow
        val leftMs = request.deadlineMs - now
        if (leftMs < MIN_SEND_MS || !shutdown.canComplete(flow, now)) {
            fail(flow, if (leftMs < MIN_SEND_MS) RejectReason.DEADLINE else RejectReason.STOPPING)
            return
        }
        val permit = crashGuard.permit(flow, now)
        if (rejectQuarantined(flow, permit)) return
        flow.isSendDeferred = permit is SendPermit.Deferred
        if (flow.isSendDeferred) return
        val prompt = stageJobs.promptOf(flow)
        val isEngine = stageJobs.isEngine(request.service)
        val target = chooseTarget(flow, prompt, isEngine, now)
        if (target == null) {
            fail(flow, RejectReason.NO_TARGET)
            return
        }
        if (!context.maySendTo(target)) {
            fail(flow, RejectReason.NO_TARGET)
            return
        }
        val pass = sendGate.use(taken, request.service, now)
        flow.pass = null
        if (pass == null) {
            fail(flow, if (flow.mayHaveRun) RejectReason.OUTCOME_UNKNOWN else RejectReason.TARGETS_REFUSED)
            return
        }
        val forecast = if (isEngine) engines.forecast(target, prompt, now) else null
        val prefillTokens = if (isEngine) engines.onSend(target.id, prompt, cacheTokens(request.service)) else 0
        serviceTargets.onSend(target)
        val attempt = SendAttempt(SendId(request.flow, ++flow.sends), target, prefillTokens, now, pass, forecast)
        flow.currentSend = attempt
        flow.triedTargets += target.id
        effects += FlowEffect.Send(
            attempt.id,
            target,
            context.maxConnectionsPerTarget(request.service),
            flow.heldHandles(),
            request.deadlineMs,
            now,
            flow.lastEventId,
            request.rank,
            pass,
            flow.mayHaveArrived,
            forecast,
        )
    }

    private fun chooseTarget(flow: Flow, prompt: Prompt, isEngine: Boolean, now: Long): TargetEntry? {
        val candidates = targetsOf(flow).filter(context::hasPermit)
        if (!isEngine) return serviceTargets.choose(candidates, flow.triedTargets, dataCentre, now)
        val untried = candidates.filter { it.id !in flow.triedTargets }.ifEmpty { candidates }
        if (flow.triedPart != null) return engines.leastBusy(untried, now)
        return engines.choose(untried, prompt, now)
    }

    private fun cacheTokens(service: String) =
        context.config?.services?.get(service)?.engine?.cacheTokens ?: Long.MAX_VALUE

    private fun findSend(id: SendId): Pair<Flow, SendAttempt>? {
        val flow = flows[id.flow] ?: return null
        val attempt = flow.currentSend?.takeIf { it.id == id } ?: return null
        return flow to attempt
    }

    private fun onResponseStarted(event: FlowEvent.ResponseStarted, now: Long) {
        val (flow, attempt) = findSend(event.send) ?: return
        flow.isResponding = true
        event.load?.let { onLoad(attempt.target, it, now) }
        if (!attempt.isPrefilled) {
            attempt.firstEventMs = now
            latency.onFirstEvent(flow.request.service, now - attempt.sentMs, attempt.prefillTokens)
            attempt.forecast?.let { engines.onFirstEvent(attempt.target.id, it, now - attempt.sentMs, now) }
        }
        markPrefilled(flow, attempt)
    }

    private fun onLoad(target: TargetEntry, load: ReportedLoad, now: Long) {
        serviceTargets.onLoad(target, load, now)
        load.timePercent?.let { engines.onTimeReport(target.id, it, now) }
    }

    private fun markPrefilled(flow: Flow, attempt: SendAttempt) {
        if (attempt.isPrefilled) return
        attempt.isPrefilled = true
        engines.onPrefilled(attempt.target.id, attempt.prefillTokens)
        engines.onResponse(attempt.target.id)
        effects += flow.releaseAll()
    }

    private fun onResponseCompleted(event: FlowEvent.ResponseCompleted, now: Long) {
        val (flow, attempt) = findSend(event.send) ?: return
        endSend(flow, attempt)
        attempt.firstEventMs?.let {
            latency.onResponseEnd(flow.request.service, now - it)
            engines.onResponseEnd(attempt.target.id, now - it, now)
        }
        serviceTargets.onResponse(attempt.target, now - attempt.sentMs, failed = false, now)
        crashGuard.onCompleted(flow, event.isEndCertain, now)
        end(flow, listOf("answered ${event.status}", event.end).filter { it.isNotEmpty() }.joinToString(": "))
    }

    private fun onSendFailed(event: FlowEvent.SendFailed, now: Long) {
        val (flow, attempt) = findSend(event.send) ?: return
        event.load?.let { onLoad(attempt.target, it, now) }
        endSend(flow, attempt)
        if (event.failure.mayHaveArrived) flow.mayHaveArrived = true
        when (val failure = event.failure) {
            is SendFailure.NotSent -> {
                if (failure.isRefused) onTargetCrashed(attempt.target, now)
                onTargetFailure(attempt, isDown = true, now)
                sendElsewhere(flow, attempt, now)
            }

            is SendFailure.NotAttempted -> sendElsewhere(flow, attempt, now)

            is SendFailure.NotRun -> onNotRun(flow, failure.status, now)

            is SendFailure.FailedAnswer -> {
                flow.mayHaveRun = true
                flow.hasBufferedFailure = true
                flow.runs++
                val isServerError = failure.status >= FIRST_SERVER_ERROR_STATUS
                serviceTargets.onResponse(attempt.target, now - attempt.sentMs, isServerError, now)
                if (isServerError) rerun(flow, RepeatReason.FAILED, now) else fail(flow, RejectReason.OUTCOME_UNKNOWN)
            }

            is SendFailure.Lost -> {
                flow.mayHaveRun = true
                flow.lossReason = if (attempt.isGivenUp) RepeatReason.SILENT else RepeatReason.LOST
                flow.runs++
                val point = if (failure.mayHaveBegun) LossPoint.BEGINNING else LossPoint.OTHER
                onLoss(flow, attempt, failure.mayBeCrash, point, now)
                if (flow.waitingRepeat == null) rerun(flow, flow.lossReason, now)
            }

            is SendFailure.Broken -> onResponseBroken(flow, attempt, failure, now)
        }
    }

    private fun onNotRun(flow: Flow, status: Int, now: Long) = when {
        status != INPUTS_GONE_STATUS -> resend(flow, now)
        maySendWithNewResults(flow, now) -> makeStagesAgain(flow, now)
        else -> fail(flow, RejectReason.TARGETS_REFUSED)
    }

    /**
     * Gives up a silent target if another one may run the request now; that may have changed since the send. The pass
     * for the other one is taken first, since other requests may use up the allowance until this send has ended.
     */
    private fun onSendSilent(send: SendId, now: Long) {
        val (flow, attempt) = findSend(send) ?: return
        val mayRunAgain = mayRerun(flow, now, runs = flow.runs + 1) && shutdown.canComplete(flow, now)
        if (!mayRunAgain) return
        if (!attempt.isGivenUp) {
            val isLeft = sendGate.mayRepeat(flow.request.service, now)
            if (!isLeft || !takePass(flow, RepeatReason.SILENT, now)) return
        }
        attempt.isGivenUp = true
        effects += FlowEffect.GiveUpSend(send)
    }

    /** Records a lost response; a request that may be what crashed its target waits before it may be repeated. */
    private fun onLoss(flow: Flow, attempt: SendAttempt, mayBeCrash: Boolean, point: LossPoint, now: Long) {
        crashGuard.onLost(flow, attempt, point, now)
        onTargetFailure(attempt, isDown = false, now)
        if (!mayBeCrash) return
        effects += FlowEffect.CheckTarget(attempt.target)
        val hasSharedParts = flow.request.sharedParts.isNotEmpty()
        if (hasSharedParts && mayRerun(flow, now)) flow.waitingRepeat = WaitingRepeat(attempt.target, now, point)
    }

    private fun onTargetChecked(event: FlowEvent.TargetChecked, now: Long) {
        val target = event.target
        if (event.verdict == TargetVerdict.CRASHED) {
            onTargetCrashed(target, now)
            serviceTargets.onFailure(target, isDown = true, now)
            engines.onFailure(target.id, isDown = true, now)
        }
        for (flow in flows.values.toList()) {
            val repeat = flow.waitingRepeat ?: continue
            if (repeat.target.id == target.id && repeat.target.startTimeMs == target.startTimeMs) {
                repeat.verdict = event.verdict
                continueRepeat(flow, now)
            }
        }
    }

    private fun onTargetCrashed(target: TargetEntry, now: Long) {
        crashGuard.onTargetDown(target.id, target.startTimeMs, now)
        crashGuard.onTargetSilent(flows.values, target.id, target.startTimeMs, now)
    }

    private fun continueRepeat(flow: Flow, now: Long) {
        val repeat = flow.waitingRepeat ?: return
        val decision = crashGuard.decideRepeat(flow, repeat, now)
        if (decision == RepeatDecision.WAIT) return
        flow.waitingRepeat = null
        if (decision ==
            RepeatDecision.REPEAT
        ) {
            rerun(flow, flow.lossReason, now)
        } else {
            fail(flow, RejectReason.QUARANTINED)
        }
    }

    private fun onTargetFailure(attempt: SendAttempt, isDown: Boolean, now: Long) {
        serviceTargets.onFailure(attempt.target, isDown, now)
        engines.onFailure(attempt.target.id, isDown, now)
    }

    private fun onResponseBroken(flow: Flow, attempt: SendAttempt, failure: SendFailure.Broken, now: Long) {
        flow.mayHaveRun = true
        flow.lossReason = RepeatReason.BROKEN_OFF
        flow.runs++
        val point = when {
            !failure.hasEvents -> LossPoint.BEFORE_FIRST_EVENT
            failure.activeForMs < BEGINNING_MS && !attempt.isPastBeginning -> LossPoint.BEGINNING
            else -> LossPoint.OTHER
        }
        onLoss(flow, attempt, failure.mayBeCrash, point, now)
        val mayResume = flow.request.route.isResumable && failure.isAtEvent && mayRerun(flow, now)
        if (!mayResume) {
            flow.waitingRepeat = null
            abort(flow, failure.cause)
            return
        }
        flow.lastEventId = failure.lastEventId ?: flow.lastEventId
        flow.isResponding = true
        if (flow.waitingRepeat == null) rerun(flow, flow.lossReason, now)
    }

    private fun abort(flow: Flow, cause: String) {
        effects += FlowEffect.AbortResponse(flow.request.flow)
        end(flow, "cut: $cause")
    }

    private fun mayResend(flow: Flow, now: Long) = flow.sends < MAX_SENDS && flow.request.deadlineMs - now > MIN_SEND_MS

    /** Sends a request again that has reached no target: that is no repeat. */
    private fun sendElsewhere(flow: Flow, attempt: SendAttempt, now: Long) {
        flow.pass = attempt.pass
        if (mayResend(flow, now)) send(flow, now) else fail(flow, RejectReason.TARGETS_REFUSED)
    }

    /** Sends a request again that a target rejected, if its deadline and the allowance permit. */
    private fun resend(flow: Flow, now: Long) {
        if (mayResend(flow, now) && takePass(flow, RepeatReason.REJECTED, now)) {
            send(flow, now)
        } else {
            fail(flow, RejectReason.TARGETS_REFUSED)
        }
    }

    private fun mayRerun(flow: Flow, now: Long, runs: Int = flow.runs): Boolean = flow.request.route.isIdempotent &&
        runs < flow.request.route.maxAttempts &&
        flow.request.deadlineMs - now > MIN_SEND_MS

    private fun rerun(flow: Flow, reason: RepeatReason, now: Long) {
        if (mayRerun(flow, now) && (flow.pass != null || takePass(flow, reason, now))) {
            if (flow.isResponding) discardResults(flow)
            if (flow.request.route.stages.isEmpty()) send(flow, now) else rerunStages(flow, now)
        } else {
            fail(flow, RejectReason.OUTCOME_UNKNOWN)
        }
    }

    private fun onTick(now: Long) {
        deferred.takeExpired(now).forEach(::rejectDeferred)
        startDeferred(now)
        rejectHopeless(now)
        crashGuard.onTick(flows.values)
        flows.values.filter { it.waitingRepeat != null }.forEach { continueRepeat(it, now) }
        flows.values.filter { it.isSendDeferred || (it.isUnsent && it.waitingRepeat == null) }
            .forEach { applyQuarantine(it, now) }
        flows.values.forEach { reportInputsFetched(it, now) }
        flows.values.filter { it.request.deadlineMs <= now }.forEach { flow ->
            if (flow.currentSend != null) flow.mayHaveRun = true
            flow.currentSend?.let { effects += FlowEffect.CancelSend(it.id) }
            fail(flow, RejectReason.DEADLINE)
        }
    }

    /**
     * Reports the inputs of [flow] as fetched after [INPUT_FETCH_MS], since an engine without a queue fetches them well
     * before its first event.
     */
    private fun reportInputsFetched(flow: Flow, now: Long) {
        val send = flow.currentSend ?: return
        if (send.areInputsReported || send.isPrefilled || now - send.sentMs < INPUT_FETCH_MS) return
        send.areInputsReported = true
        val inputs = flow.heldHandles()
        if (inputs.isNotEmpty() && !serviceTargets.hasWaitingRequests(send.target, now)) {
            effects += FlowEffect.ResultsFetched(inputs)
        }
    }

    /** Rejects an unsent request whose prompt is held back by now, or sends one that waited for that to be decided. */
    private fun applyQuarantine(flow: Flow, now: Long) {
        if (flow.isSendDeferred) send(flow, now) else rejectQuarantined(flow, crashGuard.permit(flow, now))
    }

    /** Rejects the requests that cannot be completed before this host ends, so that other hosts can serve them. */
    private fun rejectHopeless(now: Long) {
        flows.values.filter {
            it.isUnsent && !shutdown.canComplete(it, now)
        }.forEach { fail(it, RejectReason.STOPPING) }
    }

    private fun onShutdownStarted(event: FlowEvent.ShutdownStarted, now: Long) {
        shutdown.start(event, now)
        deferred.flowIds().mapNotNull(flows::get).forEach { fail(it, RejectReason.STOPPING) }
        rejectHopeless(now)
    }

    /** Ends all remaining requests as [fail] does, at the end of a shutdown; later ones are rejected on arrival. */
    fun endAll(): List<FlowEffect> {
        shutdown.end(latency.nowMs)
        flows.values.toList().forEach { flow ->
            flow.currentSend?.let {
                flow.mayHaveRun = true
                effects += FlowEffect.CancelSend(it.id)
            }
            fail(flow, RejectReason.STOPPING)
        }
        return takeEffects()
    }

    /**
     * Ends a request that was not served: aborts a started response, otherwise delivers a buffered error response,
     * otherwise reports whether the request may have run.
     */
    private fun fail(flow: Flow, reason: RejectReason) {
        val id = flow.request.flow
        when {
            flow.isResponding -> abort(flow, "$reason")

            flow.hasBufferedFailure -> {
                effects += FlowEffect.DeliverFailure(id)
                end(flow, "failed answer delivered")
            }

            flow.mayHaveRun -> {
                val status = if (reason == RejectReason.DEADLINE) TIMEOUT_STATUS else OUTCOME_UNKNOWN_STATUS
                effects += FlowEffect.Reject(id, status, null, reason)
                end(flow, "rejected: $reason")
            }

            else -> reject(flow, reason, retryAfterMs(flow, reason))
        }
    }

    /** Without a usable target, callers are told when the first one that asked for a pause returns. */
    private fun retryAfterMs(flow: Flow, reason: RejectReason): Long {
        if (reason == RejectReason.STOPPING) {
            return shutdown.retryAfterMs(isIdle = flows.keys.all { it == flow.request.flow }, latency.nowMs)
        }
        val service = flow.request.service
        val hasNoTarget = reason == RejectReason.NO_TARGET || targetsOf(flow).isEmpty()
        val pauseLeftMs = if (hasNoTarget) context.pauseLeftMs(service) else null
        return pauseLeftMs ?: latency.retryAfterMs(flow)
    }

    private fun reject(
        flow: Flow,
        reason: RejectReason,
        retryAfterMs: Long,
        heldPart: String? = null,
        crashes: List<String> = emptyList(),
        shortage: Shortage? = null,
    ) {
        effects += FlowEffect.Reject(
            flow.request.flow,
            NOT_RUN_STATUS,
            retryAfterMs,
            reason,
            latency.stagesMs(flow),
            heldPart,
            crashes,
            shortage,
        )
        end(flow, "rejected: $reason")
    }

    private fun cancelFlow(flow: Flow, outcome: String) {
        flow.currentSend?.let { effects += FlowEffect.CancelSend(it.id) }
        end(flow, outcome)
    }

    private fun end(flow: Flow, outcome: String) {
        flow.currentSend?.let { endSend(flow, it) }
        cancelStages(flow)
        effects += flow.releaseAll()
        flows.remove(flow.request.flow)
        deferred.remove(flow.request.flow)
        startedDeferred -= flow.request.flow
        if (flow.holdsPieces) pieceMemory.release(flow.totalPieces)
        effects += FlowEffect.Ended(flow.request.flow, outcome, flow.sends)
    }

    private fun endSend(flow: Flow, attempt: SendAttempt) {
        if (flow.currentSend !== attempt) return
        flow.currentSend = null
        serviceTargets.onEnd(attempt.target)
        engines.onEnd(attempt.target.id)
        if (!attempt.isPrefilled) engines.onPrefilled(attempt.target.id, attempt.prefillTokens)
    }

    private fun cancelStages(flow: Flow) {
        for ((job, number) in flow.jobs) {
            flowOfJob.remove(job)
            effects += FlowEffect.CancelStage(flow.request.route.stages[number].service, job)
        }
        flow.jobs.clear()
        flow.startedStages.removeIf { flow.handles[it] == null }
        if (flow.startedStages.any { flow.handles[it]?.isEmpty() == true }) {
            effects += flow.releaseAll()
            discardResults(flow)
        }
    }

    private fun discardResults(flow: Flow) {
        effects += flow.releaseAll()
        flow.handles.fill(null)
        flow.startedStages.clear()
    }
}
