/*
 * The way of each forwarded request on this host: its stages, the choice of the target, repeats where they are allowed,
 * and the final answer. A state machine without I/O; it runs on the control thread.
 */
package org.sesamerouter.serving

import org.sesamerouter.batching.JobFailure
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.pipeline.Budget
import org.sesamerouter.quarantine.CrashWatch
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.quarantine.Standing
import org.sesamerouter.routing.PlainTargets

private const val MAX_SENDS = 5
private const val MAX_STAGE_RUNS = 2
private const val RETRY_AFTER_MS = 400L
private const val LANE_WAIT_PART = 8 // of the objective; after that the caller is told when to come back
private const val RETURNED_WAIT_PART = 6 // of the time left: refused twice is worse than late
private const val MAX_IN_LANE = 24 // what the pools catch up with within a caller's deadline after a burst
private const val MAX_FROM_LANE = 2 // of one host at a time, so that all hosts together do not flood the pools
private const val FETCH_MS = 120L // an engine without a queue fetches inputs within some ms
private const val LEAST_SEND_MS = 20L // a send with less time left only wastes the target's work
private const val FIRST_FAULT_STATUS = 500
private const val NOT_RUN_STATUS = 503
private const val UNKNOWN_STATUS = 502
private const val TIMEOUT_STATUS = 504
private const val INPUTS_GONE_STATUS = 409

/** The requests of one host. Not thread-safe. */
class RequestFlows(
    private val surroundings: FlowSurroundings,
    private val engines: EngineTable,
    private val plain: PlainTargets,
    private val quarantine: Quarantine,
    private val dataCentre: String,
    private val newBudget: () -> Budget,
) {
    private val flows = LinkedHashMap<Long, Flow>()
    private val flowOfJob = HashMap<String, Flow>()
    private val budgets = HashMap<String, Budget>()
    private val effects = ArrayList<FlowEffect>()
    private val times = ChainTimes(surroundings)
    private val plan = StagePlan(surroundings, engines, times)
    private val waits = CallerWaits()
    private val crashes = CrashWatch()
    private val lane = LateLane(MAX_IN_LANE)
    private val startedFromLane = HashSet<Long>()
    private var jobSequence = 0L

    /** Requests that have not ended. */
    val inProgress: Int get() = flows.size

    /** Takes in [event] and returns what is to be done, in order. */
    fun handle(event: FlowEvent, now: Long): List<FlowEffect> {
        times.nowMs = now
        when (event) {
            is FlowEvent.Arrived -> onArrived(event.request, now)
            is FlowEvent.StageEnded -> onStageEnded(event, now)
            is FlowEvent.AnswerBegan -> onAnswerBegan(event, now)
            is FlowEvent.AnswerEnded -> onAnswerEnded(event, now)
            is FlowEvent.SendFailed -> onSendFailed(event, now)
            is FlowEvent.CallerLeft -> flows[event.flow]?.let { abandon(it, "caller left") }
            is FlowEvent.TargetDied -> onDown(event.target, event.bornMs, now)
            FlowEvent.Tick -> onTick(now)
        }
        return drain()
    }

    private fun drain(): List<FlowEffect> {
        val out = effects.toList()
        effects.clear()
        return out
    }

    private fun onArrived(request: ForwardRequest, now: Long) {
        val flow = Flow(request, waits.ageMs(request, now))
        flows[request.flow] = flow
        budgetOf(request.service).earn()
        if (quarantine.standing(request.fingerprint, now) == Standing.QUARANTINED) {
            reject(flow, RejectReason.QUARANTINED, quarantine.remainingMs(request.fingerprint, now))
        } else if (times.isTimely(flow) || times.isSpare(flow)) {
            startStages(flow, now)
        } else {
            waitBeside(flow, now)
        }
    }

    /** Lets a request wait for calm pools, if they may be calm soon. */
    private fun waitBeside(flow: Flow, now: Long) {
        val request = flow.request
        val longestMs = if (flow.isReturned) {
            (request.deadlineMs - now) / RETURNED_WAIT_PART
        } else {
            request.route.aimMs / LANE_WAIT_PART
        }
        if (!flow.isReturned && times.backlogMs(flow) > longestMs * 2) {
            reject(flow, RejectReason.OVERLOAD, times.retryAfterMs(flow))
            return
        }
        val latest = minOf(now + longestMs, request.deadlineMs - times.bestMs(flow))
        lane.add(LaneEntry(request.flow, flow.rank, latest, now))
        lane.overflow(now).forEach(::rejectFromLane)
    }

    private fun rejectFromLane(id: Long) {
        flows[id]?.let { reject(it, RejectReason.OVERLOAD, times.retryAfterMs(it)) }
    }

    /** Starts a request that waits beside the pools, once they have room to spare. */
    private fun startFromLane(now: Long) {
        if (lane.isEmpty || startedFromLane.size >= MAX_FROM_LANE) return
        val next = lane.firstThat { id -> flows[id]?.let { times.isSpare(it) } ?: true } ?: return
        lane.remove(next)
        val flow = flows[next] ?: return
        startedFromLane += next
        startStages(flow, now)
    }

    private fun startStages(flow: Flow, now: Long) {
        val stages = flow.request.route.stages
        for (number in stages.indices) {
            if (number in flow.startedStages || flow.piecesOf(number) == 0) continue
            if (stages[number].after.any { flow.piecesOf(it) > 0 && flow.handles[it] == null }) continue
            if (times.isTooEarly(flow, number)) continue
            flow.startedStages += number
            startStage(flow, number, now)
        }
        val left = stages.indices.any { flow.piecesOf(it) > 0 && flow.handles[it] == null }
        if (!left) send(flow, now)
    }

    private fun startStage(flow: Flow, number: Int, now: Long) {
        val job = plan.jobOf(flow, number, "${flow.request.id}/$number/${jobSequence++}", now)
        flow.jobs[job.job] = number
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
        val mayRunAgain = failure == JobFailure.INPUT_GONE && flow.stageRuns < MAX_STAGE_RUNS
        if (mayRunAgain && now + LEAST_SEND_MS < flow.request.deadlineMs) {
            forgetHandles(flow)
            runStagesAgain(flow, now)
        } else {
            giveUp(flow, if (failure == JobFailure.LATE) RejectReason.OVERLOAD else RejectReason.STAGE_FAILED)
        }
    }

    private fun runStagesAgain(flow: Flow, now: Long) {
        flow.stageRuns++
        cancelStages(flow)
        startStages(flow, now)
    }

    private fun send(flow: Flow, now: Long) {
        val request = flow.request
        startedFromLane -= request.flow
        val left = request.deadlineMs - now
        if (left < LEAST_SEND_MS) {
            giveUp(flow, RejectReason.DEADLINE)
            return
        }
        val candidates = surroundings.targets(request.service)
        val prompt = plan.promptOf(flow)
        val isEngine = plan.isEngine(request.service)
        val target = if (isEngine) {
            engines.choose(candidates.filter { it.id !in flow.tried }.ifEmpty { candidates }, prompt, now)
        } else {
            plain.choose(candidates, flow.tried, dataCentre, now)
        }
        if (target == null) {
            giveUp(flow, RejectReason.NO_TARGET)
            return
        }
        val unread = if (isEngine) engines.onSend(target.id, prompt, cacheTokens(request.service)) else 0
        plain.onSend(target)
        val sent = Sent(SendId(request.flow, ++flow.sends), target, unread, now)
        flow.send = sent
        flow.tried += target.id
        effects += FlowEffect.Send(
            sent.id,
            target,
            surroundings.connectionShare(request.service),
            flow.finalHandles(),
            left,
            flow.lastEventId,
            request.rank,
        )
    }

    private fun cacheTokens(service: String) =
        surroundings.config?.services?.get(service)?.engine?.cacheTokens ?: Long.MAX_VALUE

    private fun sentOf(id: SendId): Pair<Flow, Sent>? {
        val flow = flows[id.flow] ?: return null
        val sent = flow.send?.takeIf { it.id == id } ?: return null
        return flow to sent
    }

    private fun onAnswerBegan(event: FlowEvent.AnswerBegan, now: Long) {
        val (flow, sent) = sentOf(event.send) ?: return
        flow.isBegun = true
        event.load?.let { plain.onLoad(sent.target, it, now) }
        if (!sent.isRead) times.onFirstEvent(flow.request.service, now - sent.sentMs, sent.unread)
        markRead(flow, sent)
    }

    private fun markRead(flow: Flow, sent: Sent) {
        if (sent.isRead) return
        sent.isRead = true
        engines.onRead(sent.target.id, sent.unread)
        engines.onAnswer(sent.target.id)
        effects += flow.releaseAll()
    }

    private fun onAnswerEnded(event: FlowEvent.AnswerEnded, now: Long) {
        val (flow, sent) = sentOf(event.send) ?: return
        endSend(flow, sent)
        plain.onAnswer(sent.target, now - sent.sentMs, failed = false, now)
        quarantine.onSuccess(flow.request.fingerprint, now)
        end(flow, "answered ${event.status}")
    }

    private fun onSendFailed(event: FlowEvent.SendFailed, now: Long) {
        val (flow, sent) = sentOf(event.send) ?: return
        event.load?.let { plain.onLoad(sent.target, it, now) }
        endSend(flow, sent)
        when (val failure = event.failure) {
            is SendFailure.NotSent -> {
                onDown(sent.target.id, sent.target.bornMs, now)
                onTargetFailure(sent, isDown = true, now)
                sendAgain(flow, RejectReason.TARGETS_REFUSED, now)
            }

            is SendFailure.NotRun -> {
                if (failure.status == INPUTS_GONE_STATUS && flow.stageRuns < MAX_STAGE_RUNS) {
                    forgetHandles(flow)
                    runStagesAgain(flow, now)
                } else {
                    sendAgain(flow, RejectReason.TARGETS_REFUSED, now)
                }
            }

            is SendFailure.FailedAnswer -> {
                flow.mayHaveRun = true
                flow.hasHeldAnswer = true
                flow.runs++
                val isFault = failure.status >= FIRST_FAULT_STATUS
                plain.onAnswer(sent.target, now - sent.sentMs, isFault, now)
                if (isFault) runAgain(flow, now) else giveUp(flow, RejectReason.OUTCOME_UNKNOWN)
            }

            is SendFailure.Lost -> {
                flow.mayHaveRun = true
                flow.runs++
                noteLoss(flow, sent, now)
                onTargetFailure(sent, isDown = false, now)
                runAgain(flow, now)
            }

            is SendFailure.Broken -> onBroken(flow, sent, failure, now)
        }
    }

    private fun noteLoss(flow: Flow, sent: Sent, now: Long) =
        crashes.onLost(flow.request.fingerprint, sent.target.id, sent.target.bornMs.toString(), now)

    private fun onDown(target: String, bornMs: Long, now: Long) {
        for (notice in crashes.onDown(target, bornMs.toString(), now)) {
            if (quarantine.onDeath(notice, now)) effects += FlowEffect.ShareDeath(notice)
        }
    }

    private fun onTargetFailure(sent: Sent, isDown: Boolean, now: Long) {
        plain.onFailure(sent.target, isDown, now)
        engines.onFailure(sent.target.id, isDown, now)
    }

    private fun onBroken(flow: Flow, sent: Sent, failure: SendFailure.Broken, now: Long) {
        flow.mayHaveRun = true
        flow.runs++
        noteLoss(flow, sent, now)
        onTargetFailure(sent, isDown = false, now)
        val mayResume = flow.request.route.isResumable && failure.isAtEvent && mayRunAgain(flow, now)
        if (mayResume && budgetOf(flow.request.service).trySpend()) {
            flow.lastEventId = failure.lastEventId ?: flow.lastEventId
            flow.isBegun = true
            forgetHandles(flow)
            runStagesAgain(flow, now)
        } else {
            effects += FlowEffect.Cut(flow.request.flow)
            end(flow, "cut: ${failure.cause}")
        }
    }

    /** Sends a request again that did not run so far. */
    private fun sendAgain(flow: Flow, reason: RejectReason, now: Long) {
        val left = flow.request.deadlineMs - now
        val mayTry = flow.sends < MAX_SENDS && left > LEAST_SEND_MS
        if (mayTry && budgetOf(flow.request.service).trySpend()) send(flow, now) else giveUp(flow, reason)
    }

    private fun mayRunAgain(flow: Flow, now: Long): Boolean = flow.request.route.isIdempotent &&
        flow.runs < flow.request.route.maxAttempts &&
        flow.request.deadlineMs - now > LEAST_SEND_MS

    private fun runAgain(flow: Flow, now: Long) {
        if (mayRunAgain(flow, now) && budgetOf(flow.request.service).trySpend()) {
            if (flow.request.route.stages.isEmpty()) send(flow, now) else runStagesAgain(flow, now)
        } else {
            giveUp(flow, RejectReason.OUTCOME_UNKNOWN)
        }
    }

    private fun budgetOf(service: String) = budgets.getOrPut(service, newBudget)

    private fun onTick(now: Long) {
        lane.expired(now).forEach(::rejectFromLane)
        startFromLane(now)
        flows.values.forEach { tellInputsRead(it, now) }
        flows.values.filter { it.request.deadlineMs <= now }.forEach { flow ->
            if (flow.send != null) flow.mayHaveRun = true
            flow.send?.let { effects += FlowEffect.CancelSend(it.id) }
            giveUp(flow, RejectReason.DEADLINE)
        }
    }

    /** An engine without a queue has fetched its inputs well before its first event. */
    private fun tellInputsRead(flow: Flow, now: Long) {
        val sent = flow.send ?: return
        if (sent.areInputsTold || sent.isRead || now - sent.sentMs < FETCH_MS) return
        sent.areInputsTold = true
        val handles = flow.finalHandles()
        if (handles.isNotEmpty() && !plain.isQueueing(sent.target, now)) effects += FlowEffect.ResultsRead(handles)
    }

    /** Rejects what has not been sent to its target; for a stop, when no time is left for it. */
    fun rejectUnsent(): List<FlowEffect> {
        flows.values.filter { it.send == null && !it.isBegun }.toList().forEach { giveUp(it, RejectReason.STOPPING) }
        return drain()
    }

    /** Ends everything that is left with the best answer that is true; for the end of a stop. */
    fun endAll(): List<FlowEffect> {
        flows.values.toList().forEach { flow ->
            flow.send?.let {
                flow.mayHaveRun = true
                effects += FlowEffect.CancelSend(it.id)
            }
            giveUp(flow, RejectReason.STOPPING)
        }
        return drain()
    }

    /** Rejects what waits beside the pools; for a stop, since other hosts may have room for it. */
    fun rejectWaiting(): List<FlowEffect> {
        lane.all().forEach { id -> flows[id]?.let { reject(it, RejectReason.STOPPING, RETRY_AFTER_MS) } }
        return drain()
    }

    /** Ends a request with the best answer that is true. */
    private fun giveUp(flow: Flow, reason: RejectReason) {
        val id = flow.request.flow
        when {
            flow.isBegun -> {
                effects += FlowEffect.Cut(id)
                end(flow, "cut: $reason")
            }

            flow.hasHeldAnswer -> {
                effects += FlowEffect.DeliverFailure(id)
                end(flow, "failed answer delivered")
            }

            flow.mayHaveRun -> {
                val status = if (reason == RejectReason.DEADLINE) TIMEOUT_STATUS else UNKNOWN_STATUS
                effects += FlowEffect.Reject(id, status, null, reason)
                end(flow, "rejected: $reason")
            }

            else -> reject(flow, reason, times.retryAfterMs(flow))
        }
    }

    private fun reject(flow: Flow, reason: RejectReason, retryAfterMs: Long) {
        effects += FlowEffect.Reject(flow.request.flow, NOT_RUN_STATUS, retryAfterMs, reason, times.ofStages(flow))
        end(flow, "rejected: $reason")
    }

    private fun abandon(flow: Flow, outcome: String) {
        flow.send?.let { effects += FlowEffect.CancelSend(it.id) }
        end(flow, outcome)
    }

    private fun end(flow: Flow, outcome: String) {
        flow.send?.let { endSend(flow, it) }
        cancelStages(flow)
        effects += flow.releaseAll()
        flows.remove(flow.request.flow)
        lane.remove(flow.request.flow)
        startedFromLane -= flow.request.flow
        effects += FlowEffect.Ended(flow.request.flow, outcome, flow.sends)
    }

    private fun endSend(flow: Flow, sent: Sent) {
        if (flow.send !== sent) return
        flow.send = null
        plain.onEnd(sent.target)
        engines.onEnd(sent.target.id)
        if (!sent.isRead) engines.onRead(sent.target.id, sent.unread)
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
            forgetHandles(flow)
        }
    }

    private fun forgetHandles(flow: Flow) {
        effects += flow.releaseAll()
        flow.handles.fill(null)
        flow.startedStages.clear()
    }
}
