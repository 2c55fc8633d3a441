/*
 * The batching queue of one stage pool. One host owns the queue and the other hosts submit their pieces to it, so
 * that batches combine work from all hosts. A batch is assembled only when a target of the pool is free. The jobs
 * that the pool can finish in time run first, ordered by due time. If it cannot finish all of them in time, jobs of
 * the lowest ranks, and within a rank of the organisation with most of it, are excluded from that schedule; they fill
 * unused capacity in calls, and get calls of their own when the pool has spare targets. This is a state machine
 * without I/O.
 */
package org.sesamerouter.batching

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec
import org.sesamerouter.serving.PoolCapacity

private const val MAX_ATTEMPTS = 4
private const val FAILED_TARGET_BACKOFF_MS = 800L
private const val OVERDUE_CALL_RATIO = 2.5 // a call this far over its expected time marks its target as slow
private const val OVERHEAD_SMOOTHING = 0.1 // adapts to a change within about 10 calls, a few seconds
private const val CALL_TIMEOUT_FACTOR = 2.5 // a target that takes longer is treated as unresponsive
private const val CALL_TIMEOUT_MARGIN_MS = 400.0
private const val LATE_JOB_START_DELAY_MS = 250L // most late jobs fit into another call before this
private const val EARLY_FREE_USED_SHARE = 0.35 // a full call uses up to two thirds of the space
private const val SPACE_MAX_WAIT_MS = 300L // results that take up the space are usually freed within this time
private const val SMALL_CALL_DIVISOR = 3 // calls filled below a third waste most of their fixed time
private const val LOCAL_TARGET_MAX_WAIT_MS = 400L // a longer wait costs more than a cross-data-centre transfer
private const val LOCAL_TARGET_SLACK_MS = 150L
private const val TRIAL_CALL_DIVISOR = 4 // of the pieces of a call; the trial of a target that is still slow delays few
internal const val SCHEDULE_INTERVAL_MS = 100L // between the checks of which jobs can be in time
private const val BLOCKED_RETRY_MS = 20L // without a change at a target, few submitted jobs make a call possible

/** The batching queue of the pool [service]. Not thread-safe. */
class PieceQueue(val service: String, private var spec: BatchSpec) {
    private class RunningCall(
        val target: PoolTarget,
        val items: List<QueuedPiece>,
        val startedMs: Long,
        val expectedMs: Double,
        val isTrial: Boolean,
    ) {
        val mayWaitAtTarget = !target.isExclusive
    }

    private val targets = LinkedHashMap<String, PoolTarget>()
    private val jobs = HashMap<String, QueuedJob>()
    private val running = HashMap<Long, RunningCall>()
    private val results = StoredResults { sequence++ }
    private val receivedHandles = ReceivedHandles()
    private val effects = ArrayList<PoolEffect>()
    private var sequence = 0L
    private val schedule = QueueSchedule(jobs.values, ::timeline)
    private var nextScheduleMs = Long.MIN_VALUE
    private var blockedUntilMs = Long.MIN_VALUE
    private val stops = StopDetector()

    /** Smoothed time that calls to normal targets take beyond the expected time: fetching inputs and network delay. */
    private var overheadMs = 0.0

    /** While true, no calls are started: this host does not own the queue, or does not know whether it still does. */
    var isSuspended = false

    /** Number of pieces that wait to be assigned to a call. */
    var waiting = 0
        private set

    /** Number of calls in progress. */
    val calls: Int get() = running.size

    /** Number of jobs left out since their organisation was over its share. */
    val displacedByShare: Long get() = schedule.displacedByShare

    /** Space in bytes that counts as used at all targets. */
    val usedBytes: Long get() = targets.values.sumOf { it.usedBytes }

    /**
     * Estimates the completion time of a job submitted now, by rank and due time. Such a job waits for started jobs
     * and for jobs of the same or a higher priority that are due before it.
     */
    fun expectedMs(now: Long): RankedTimes = schedule.expectedMs(now)

    /** Returns the pieces that the requests of this queue's jobs will bring to later pools, without excluded jobs. */
    fun announced(now: Long): List<AnnouncedPieces> = schedule.announced(now)

    /** Returns the organisations over their share by rank, while the pool cannot finish all jobs in time. */
    fun overShare(now: Long): Map<Int, List<String>> = schedule.overShare(now)

    private fun timeline(now: Long): PoolTimeline {
        val available = availableTargets(now)
        val normal = available.filterNot { it.isSlow }.ifEmpty { available }
        val runs = running.values.associateBy { it.target }
        return PoolTimeline(spec, overheadMs, normal.map { freeAtMs(it, runs[it], now) }.sorted())
    }

    /** Applies changed limits of the pool. */
    fun update(spec: BatchSpec) {
        this.spec = spec
    }

    /** Replaces the set of targets that may receive new calls. */
    fun update(entries: List<TargetEntry>, now: Long): List<PoolEffect> {
        val byId = entries.associateBy { it.id }
        targets.values.forEach { it.isListed = it.entry.id in byId }
        for (entry in entries) {
            val known = targets[entry.id]
            if (known == null || known.entry.startTimeMs != entry.startTimeMs) {
                targets[entry.id] = PoolTarget(entry)
            } else {
                known.entry = entry
            }
        }
        targets.values.removeIf { !it.isListed && it.calls == 0 && it.usedBytes == 0L }
        return dispatchAfterChange(now)
    }

    /** Enqueues the pieces of [job]; one that cannot be finished by its deadline ends as [JobFailure.LATE]. */
    fun submit(job: StageJob, now: Long): List<PoolEffect> {
        jobs[job.job]?.let { end(it, JobOutcome(failure = JobFailure.CANCELLED)) }
        if (isUnservable(job.pieces.size, job.deadlineLeftMs)) {
            effects += PoolEffect.Done(job.job, JobOutcome(failure = JobFailure.LATE))
            return dispatch(now)
        }
        val added = QueuedJob(job, now, sequence++)
        jobs[job.job] = added
        waiting += added.waiting.size
        schedule.invalidate()
        return dispatch(now)
    }

    /** Whether all targets together cannot finish [pieces] in [leftMs], even if there were no other jobs. */
    private fun isUnservable(pieces: Int, leftMs: Long): Boolean =
        PoolCapacity(spec, targets.values.count { it.isListed }).isTooSlowFor(pieces.toLong(), leftMs)

    /** Ends the jobs with waiting pieces as [JobFailure.MOVED], so that another owner can run them. */
    fun returnWaitingJobs(now: Long): List<PoolEffect> {
        jobs.values.filter { it.waiting.isNotEmpty() }.forEach { end(it, JobOutcome(failure = JobFailure.MOVED)) }
        return dispatch(now)
    }

    /**
     * Cancels the job [id]; pieces that are already running are completed and their results freed. If the job has
     * ended, its results are freed: whoever submitted it has not received them.
     */
    fun cancel(id: String, now: Long): List<PoolEffect> {
        val job = jobs[id]
        if (job != null) {
            end(job, JobOutcome(failure = JobFailure.CANCELLED))
        } else {
            effects += results.release(results.handlesOf(id))
        }
        return dispatch(now)
    }

    /** Frees results that are no longer needed; also returns the handles that are unknown to this queue. */
    fun free(handles: List<String>, now: Long): Pair<List<PoolEffect>, List<String>> {
        val (ownHandles, unknownHandles) = handles.partition { it in results }
        effects += results.release(ownHandles)
        return dispatch(now) to unknownHandles
    }

    /** Marks [handles] as probably fetched by their consumer; on targets short of space they are freed early. */
    fun onFetched(handles: List<String>, now: Long): List<PoolEffect> {
        effects += results.onFetched(handles) { it.usedBytes > spec.resultSpaceBytes * EARLY_FREE_USED_SHARE }
        return dispatch(now)
    }

    /** Handles the confirmation that a target freed results; their space counts as used until then. */
    fun onFreed(release: Long, now: Long): List<PoolEffect> {
        results.onFreed(release)
        return dispatchAfterChange(now)
    }

    /** Handles the report of the target [id], whose process started at [startTimeMs], that it has [freeBytes] left. */
    fun onSpaceReport(id: String, startTimeMs: Long, freeBytes: Long, now: Long): List<PoolEffect> {
        targets[id]?.takeIf { it.entry.startTimeMs == startTimeMs && it.calls == 0 }
            ?.onSpaceReport(spec, freeBytes, now)
        return dispatchAfterChange(now)
    }

    /** Handles the completion of a call. */
    fun onCallEnded(call: Long, outcome: CallOutcome, now: Long): List<PoolEffect> {
        val run = running.remove(call) ?: return emptyList()
        run.target.calls--
        run.target.lastCallEndMs = now
        if (run.mayWaitAtTarget) run.items.forEach { it.job.possiblyQueuedPieces-- }
        when (outcome) {
            is CallOutcome.Answered -> onAnswered(run, outcome, now)

            CallOutcome.Refused -> {
                run.target.backoffUntilMs = now + run.target.nextRefusalBackoffMs(spec)
                requeue(run, now, ::enqueue)
            }

            is CallOutcome.Failed -> {
                run.target.backoffUntilMs = now + FAILED_TARGET_BACKOFF_MS
                requeue(run, now, ::retry)
            }
        }
        schedule.invalidate()
        return dispatchAfterChange(now)
    }

    /** Runs the time-based checks. */
    fun onTick(now: Long): List<PoolEffect> {
        running.values.forEach { run ->
            val ratio = (now - run.startedMs) / run.expectedMs
            if (ratio > OVERDUE_CALL_RATIO) run.target.onOverdue(ratio)
        }
        jobs.values.filter { it.hasUnreportedFetch(now) }.forEach { job ->
            job.areInputsReported = true
            effects += PoolEffect.InputsFetched(job.spec.inputs.distinct(), job.spec.inputMakers)
        }
        effects += results.releaseExpired(now)
        if (now >= nextScheduleMs) {
            nextScheduleMs = now + SCHEDULE_INTERVAL_MS
            schedule.updateUnschedulable(waiting <= spec.maxPieces, now)
        }
        jobs.values.filter {
            it.deadlineMs <= now || it.shouldDrop(now, spec) || isUnservable(it.waiting.size, it.deadlineMs - now)
        }.forEach { end(it, JobOutcome(failure = JobFailure.LATE)) }
        stops.onTick(waiting, now)
        return dispatch(now)
    }

    /** Returns why this queue has started no call for a while though pieces wait, once a while; null if it has. */
    fun takeStop(now: Long): QueueStop? = stops.take(now) { sinceCallMs ->
        val listed = targets.values.filter { it.isListed }
        QueueStop(
            sinceCallMs,
            listed.size,
            busy = listed.count { it.calls >= spec.slots },
            backingOff = listed.count { it.backoffUntilMs > now },
            slow = listed.count { it.isSlow },
            full = listed.count { it.freeBytes(spec, now) <= 0 },
        )
    }

    private fun onAnswered(run: RunningCall, outcome: CallOutcome.Answered, now: Long) {
        val ratio = (now - run.startedMs) / run.expectedMs
        run.target.onAnswered(ratio, run.isTrial)
        if (!run.target.isSlow) {
            overheadMs =
                maxOf(0.0, overheadMs + OVERHEAD_SMOOTHING * (now - run.startedMs - run.expectedMs - overheadMs))
        }
        run.items.forEachIndexed { i, item -> onItem(run, item, outcome.items[i], now) }
    }

    private fun onItem(run: RunningCall, item: QueuedPiece, outcome: PieceOutcome, now: Long) {
        val job = item.job.spec
        item.job.running--
        val isRepeated = outcome is PieceOutcome.Made && !receivedHandles.add(outcome.handle, now)
        if (outcome !is PieceOutcome.Made || isRepeated) run.target.release(job.resultBytes)
        when (outcome) {
            is PieceOutcome.Made -> if (isRepeated) {
                retry(item) // a second copy of the reply to an earlier call, perhaps of another request
            } else {
                results.add(outcome.handle, run.target, job.resultBytes, job.job, item.job.resultsEndMs(now, spec))
                onPieceMade(item, outcome.handle)
            }

            PieceOutcome.Late -> end(item.job, JobOutcome(failure = JobFailure.LATE))

            PieceOutcome.InputGone -> end(item.job, JobOutcome(failure = JobFailure.INPUT_GONE))

            PieceOutcome.NoRoom -> {
                run.target.onOutOfSpace(spec, now)
                if (!item.job.isEnded) enqueue(item)
            }

            PieceOutcome.Failed -> retry(item)
        }
    }

    private fun onPieceMade(item: QueuedPiece, handle: String) {
        val job = item.job
        if (job.isEnded) {
            effects += results.release(listOf(handle))
            return
        }
        job.onMade(item.index, handle)
        if (job.isComplete) {
            jobs.remove(job.spec.job)
            job.isEnded = true
            effects += PoolEffect.Done(job.spec.job, JobOutcome(job.results))
        }
    }

    /** Returns the items of [run] to the queue with [enqueueAgain], as far as their jobs have not ended. */
    private fun requeue(run: RunningCall, now: Long, enqueueAgain: (QueuedPiece) -> Unit) {
        run.items.forEach { item ->
            item.job.running--
            run.target.release(item.job.spec.resultBytes)
            if (item.job.deadlineMs > now && !item.job.isEnded) enqueueAgain(item)
        }
    }

    private fun retry(item: QueuedPiece) {
        if (item.job.isEnded) return
        item.attempts++
        if (item.attempts >= MAX_ATTEMPTS) end(item.job, JobOutcome(failure = JobFailure.FAILED)) else enqueue(item)
    }

    private fun end(job: QueuedJob, outcome: JobOutcome) {
        if (job.isEnded) return
        job.isEnded = true
        jobs.remove(job.spec.job)
        waiting -= job.waiting.size
        job.waiting.clear()
        schedule.invalidate()
        effects += results.release(job.results)
        effects += PoolEffect.Done(job.spec.job, outcome)
    }

    private fun enqueue(item: QueuedPiece) {
        item.job.waiting.add(item)
        waiting++
        schedule.invalidate()
    }

    private fun dispatch(now: Long): List<PoolEffect> {
        while (mayStartCalls(now) && startNextCall(now)) {
            // Every started call changes the contents of the next one.
        }
        val result = effects.toList()
        effects.clear()
        return result
    }

    private fun mayStartCalls(now: Long) = waiting > 0 && !isSuspended && now >= blockedUntilMs

    /** A change at a target may make a call possible that was not before. */
    private fun dispatchAfterChange(now: Long): List<PoolEffect> {
        blockedUntilMs = Long.MIN_VALUE
        return dispatch(now)
    }

    private fun startNextCall(now: Long): Boolean {
        val free = freeTargets(now)
        if (free.isEmpty()) return false
        val order = jobOrder(now)
        for (target in free) {
            val call = nextCall(target, order, now) ?: continue
            start(target, call.takeItems(), now)
            return true
        }
        blockedUntilMs = now + BLOCKED_RETRY_MS
        return false
    }

    private fun availableTargets(now: Long) = targets.values.filter { it.isListed && it.backoffUntilMs <= now }

    /** Returns the targets that can take a call, best first. Slow ones are used when the others are full, or tried. */
    private fun freeTargets(now: Long): List<PoolTarget> {
        val available = availableTargets(now)
        val normalCount = available.count { !it.isSlow }
        val needsSlowTargets = normalCount == 0 || waiting > normalCount * spec.maxPieces
        return available
            .filter { it.calls < spec.slots && (needsSlowTargets || !it.isSlow || it.isTrialDue(now)) }
            .sortedWith(compareBy({ it.isSlow }, { it.usedBytes }))
    }

    /** Orders jobs for the next call. Started jobs come first: their partial results take space but are not usable. */
    private fun jobOrder(now: Long): List<QueuedJob> {
        val current = schedule.at(now)
        val late = current.excluded
        val hasUrgent = current.started.isNotEmpty() || current.schedulable.isNotEmpty()
        if (!hasUrgent && !canStartLateJobs(late, now)) return emptyList()
        return current.started + current.schedulable + late
    }

    private fun nextCall(target: PoolTarget, order: List<QueuedJob>, now: Long): CallBuilder? {
        val isTrial = target.isTrialDue(now)
        val maxPieces = if (isTrial) maxOf(1, spec.maxPieces / TRIAL_CALL_DIVISOR) else spec.maxPieces
        val call = CallBuilder(spec, target.freeBytes(spec, now), maxPieces)
        for (job in if (isTrial) order.asReversed() else order) {
            if (call.remainingPieces == 0) break
            if (!shouldWaitForLocalTarget(job, target, now)) call.add(job)
        }
        if (call.isOutOfSpace) {
            effects += results.releaseFetched(target)
            if (target.mayAskSpace(now)) effects += PoolEffect.AskSpace(target.entry)
        }
        return call.takeIf { it.size > 0 && !shouldWaitForSpace(it, target, order, now) }
    }

    /** Whether to delay a call that is small for lack of space, because results will be freed soon. */
    private fun shouldWaitForSpace(call: CallBuilder, target: PoolTarget, order: List<QueuedJob>, now: Long): Boolean {
        if (!call.isOutOfSpace || target.usedBytes + target.unaccountedBytes(now) == 0L) return false
        val isSmall = call.size * SMALL_CALL_DIVISOR < minOf(waiting, spec.maxPieces)
        val mayStillWait = order.firstOrNull()?.let { now - it.enqueuedAtMs < SPACE_MAX_WAIT_MS } ?: true
        return isSmall && mayStillWait
    }

    /** Whether [job] has time to wait for a target in the data centre of the consumer of its large results. */
    private fun shouldWaitForLocalTarget(job: QueuedJob, target: PoolTarget, now: Long): Boolean {
        val preferred = job.spec.dataCentre ?: return false
        if (preferred == target.entry.dataCentre || job.isStarted || waiting > spec.maxPieces) return false
        val local = availableTargets(now).filter { it.entry.dataCentre == preferred && !it.isSlow }
        val localFreeMs = local.minOfOrNull { freeAtMs(it, runOf(it), now) } ?: return false
        val isSoon = localFreeMs - now <= LOCAL_TARGET_MAX_WAIT_MS
        return isSoon && localFreeMs + spec.expectedMs(spec.maxPieces) + LOCAL_TARGET_SLACK_MS <= job.dueAtMs
    }

    /** Late jobs start a call of their own only if a target stays free, they fill a call or have waited long enough. */
    private fun canStartLateJobs(late: List<QueuedJob>, now: Long): Boolean {
        val free = availableTargets(now).count { it.calls < spec.slots }
        return free > 1 || late.sumOf { it.waiting.size } >= spec.maxPieces ||
            late.any { now - it.enqueuedAtMs >= LATE_JOB_START_DELAY_MS }
    }

    private fun runOf(target: PoolTarget) = running.values.firstOrNull { it.target === target }

    private fun freeAtMs(target: PoolTarget, run: RunningCall?, now: Long): Double {
        if (run == null) return now.toDouble()
        return maxOf(now.toDouble(), run.startedMs + overheadMs + run.expectedMs * maxOf(1.0, target.durationRatio))
    }

    private fun start(target: PoolTarget, items: List<QueuedPiece>, now: Long) {
        val isTrial = target.isTrialDue(now)
        target.calls++
        items.forEach {
            target.usedBytes += it.job.spec.resultBytes
            it.job.running++
            it.job.lastStartMs = now
            if (!target.isExclusive) it.job.possiblyQueuedPieces++
        }
        waiting -= items.size
        schedule.invalidate()
        stops.onCall(now)
        val call = sequence++
        val expected = spec.expectedMs(items.size)
        running[call] = RunningCall(target, items, now, expected, isTrial)
        val callItems =
            items.map { CallItem(it.job.spec.request, it.job.spec.stage, it.piece, it.job.deadlineMs - now) }
        val callTimeoutMs =
            (expected * maxOf(1.0, target.durationRatio) * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_MS).toLong()
        val timeoutMs = minOf(callTimeoutMs, callItems.maxOf { it.leftMs })
        val oldestMs = now - items.minOf { it.job.enqueuedAtMs }
        effects += PoolEffect.Call(call, target.entry, callItems, timeoutMs, target.usedBytes, oldestMs)
    }
}
