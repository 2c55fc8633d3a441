/*
 * The queue of one stage pool. One host owns it, the others send it their pieces, so that calls are filled from all
 * hosts. A call is closed when a target of the pool is free, not before. Of the jobs that wait, as many as the pool can
 * finish in time go first, by the time at which they have to be done; where it cannot finish all, the lowest ranks are
 * left out. These fill free places, and calls of their own when the pool has targets to spare. No I/O happens here.
 */
package org.sesamerouter.batching

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec

private const val MAX_TRIES = 4
private const val FAILED_TARGET_REST_MS = 800L
private const val FULL_TARGET_REST_MS = 60L
private const val SLOW_FACTOR = 1.8 // a target this much slower than its peers is used only when they are full
private const val OVERDUE_FACTOR = 2.5 // a call this much over its expected time makes its target slow
private const val SPEED_WEIGHT = 0.4
private const val SOLO_FACTOR = 1.5 // behind another call it takes about twice its time
private const val EXTRA_WEIGHT = 0.1 // follows a change within some 10 calls, a few seconds
private const val CALL_PATIENCE_FACTOR = 2.5 // a target that takes longer is silent, or as good as that
private const val CALL_PATIENCE_MS = 400.0
private const val LATE_PATIENCE_MS = 250L // most late jobs find a free place in a call before that
private const val SHORT_ROOM_SHARE = 0.35 // a full call takes up to about two thirds of the room
private const val LATE_LIMIT_MS = 1_500L // a late job that has not begun by then has little hope in a backlog
private const val FRESH_LATE_LIMIT_MS = 250L // an eighth of the usual objectives; later a rejection comes late
private const val ROOM_PATIENCE_MS = 300L // results in the way are freed within about this
private const val SMALL_CALL_SHARE = 3 // a call of less than one in this many places wastes most of its fixed time
private const val NEAR_WAIT_MS = 400L // a longer wait costs more than a result that crosses data centres
private const val NEAR_SLACK_MS = 150L

/** The queue of the pool [service]. Not thread-safe. */
class PieceQueue(val service: String, private var spec: BatchSpec) {
    private class Running(
        val target: PoolTarget,
        val items: List<QueuedPiece>,
        val startedMs: Long,
        val expectedMs: Double,
    ) {
        val mayBeQueued = !target.isSolo
    }

    private class Release(val target: PoolTarget, val bytes: Long)

    private class Result(val target: PoolTarget, val bytes: Long) {
        var isRead = false
    }

    private val targets = LinkedHashMap<String, PoolTarget>()
    private val jobs = HashMap<String, QueuedJob>()
    private val running = HashMap<Long, Running>()
    private val results = HashMap<String, Result>()
    private val releases = HashMap<Long, Release>()
    private val effects = ArrayList<PoolEffect>()
    private var sequence = 0L

    /** What calls to sound targets took lately beyond the expected time: inputs that are fetched, and the way. */
    private var extraMs = 0.0

    /** Pieces that wait for a call. */
    var waiting = 0
        private set

    /** Calls in progress. */
    val calls: Int get() = running.size

    /**
     * Returns how long a job takes that is added now, by its rank and the time that it has. It waits for what was begun
     * and for the jobs of no lower rank that are due before it.
     */
    fun expectedMs(now: Long): RankedTimes {
        val (begun, fresh) = waitingJobs().partition { it.isBegun }
        return timeline(now).expectedMs(begun.sumOf { it.waiting.size }, fresh, now)
    }

    private fun waitingJobs() = jobs.values.filter { it.waiting.isNotEmpty() }

    private fun timeline(now: Long) = PoolTimeline(spec, extraMs, usableTargets(now).map { freeAtMs(it, now) }.sorted())

    /** Takes over the pool's bounds. */
    fun update(spec: BatchSpec) {
        this.spec = spec
    }

    /** Takes over the targets that may get new calls. */
    fun update(entries: List<TargetEntry>, now: Long): List<PoolEffect> {
        val byId = entries.associateBy { it.id }
        targets.values.forEach { it.isListed = it.entry.id in byId }
        for (entry in entries) {
            val known = targets[entry.id]
            if (known == null || known.entry.bornMs != entry.bornMs) {
                targets[entry.id] = PoolTarget(entry)
            } else {
                known.entry = entry
            }
        }
        targets.values.removeIf { !it.isListed && it.calls == 0 && it.usedBytes == 0L }
        return pump(now)
    }

    /** Adds the pieces of [job]. */
    fun submit(job: StageJob, now: Long): List<PoolEffect> {
        val added = QueuedJob(job, now, sequence++)
        jobs[job.job] = added
        job.pieces.indices.forEach { enqueue(QueuedPiece(added, it)) }
        return pump(now)
    }

    /** Hands back the jobs of which nothing was begun, for another owner. */
    fun handBack(now: Long): List<PoolEffect> {
        jobs.values.filter { job -> job.running == 0 && job.handles.all { it == null } }
            .forEach { end(it, JobOutcome(failure = JobFailure.MOVED)) }
        return pump(now)
    }

    /** Gives up the job [id]; pieces that run are made and freed. */
    fun cancel(id: String, now: Long): List<PoolEffect> {
        jobs[id]?.let { end(it, JobOutcome(failure = JobFailure.CANCELLED)) }
        return pump(now)
    }

    /** Frees results that are no longer needed; returns the handles that this queue does not know. */
    fun free(handles: List<String>, now: Long): Pair<List<PoolEffect>, List<String>> {
        val (mine, foreign) = handles.partition { it in results }
        release(mine)
        return pump(now) to foreign
    }

    /** Notes that the consumer of [handles] has probably fetched them; they are freed early where room is short. */
    fun onRead(handles: List<String>, now: Long): List<PoolEffect> {
        val known = handles.filter { it in results }
        known.forEach { results.getValue(it).isRead = true }
        release(known.filter { results.getValue(it).target.usedBytes > spec.roomBytes * SHORT_ROOM_SHARE })
        return pump(now)
    }

    /** Takes in that a target has freed results; only then is there room for others. */
    fun onFreed(release: Long, now: Long): List<PoolEffect> {
        val freed = releases.remove(release) ?: return emptyList()
        freed.target.usedBytes -= freed.bytes
        return pump(now)
    }

    /** Takes in the end of a call. */
    fun onCallEnded(call: Long, outcome: CallOutcome, now: Long): List<PoolEffect> {
        val run = running.remove(call) ?: return emptyList()
        run.target.calls--
        if (run.mayBeQueued) run.items.forEach { it.job.queuedPieces-- }
        when (outcome) {
            is CallOutcome.Answered -> onAnswered(run, outcome, now)

            CallOutcome.Refused -> {
                run.target.restUntilMs = now + FULL_TARGET_REST_MS
                requeue(run, now)
            }

            is CallOutcome.Failed -> {
                run.target.restUntilMs = now + FAILED_TARGET_REST_MS
                requeue(run, now)
            }
        }
        return pump(now)
    }

    /** Lets time go on. */
    fun onTick(now: Long): List<PoolEffect> {
        running.values.forEach { run ->
            val ratio = (now - run.startedMs) / run.expectedMs
            if (ratio > OVERDUE_FACTOR) run.target.slowness = maxOf(run.target.slowness, ratio)
        }
        jobs.values.filter { it.isFetched(now) }.forEach { job ->
            job.areInputsRead = true
            effects += PoolEffect.InputsRead(job.spec.pieces.flatMap { it.inputs }.distinct())
        }
        noteCrowdedOut(now)
        jobs.values.filter {
            it.deadlineMs <= now || isHopeless(it, now)
        }.forEach { end(it, JobOutcome(failure = JobFailure.LATE)) }
        return pump(now)
    }

    /**
     * A late job that has not begun for a while would only wait on. One whose request has nothing to lose so far, and
     * that was crowded out by others, is let go early, so that its caller hears of it early.
     */
    private fun isHopeless(job: QueuedJob, now: Long): Boolean {
        if (job.isBegun) return false
        val crowdedOutMs = job.crowdedOutMs
        val hadHope = job.spec.aimLeftMs >= spec.expectedMs(spec.maxPieces)
        if (crowdedOutMs != null && hadHope && !job.spec.hasWorkBehind) return now - crowdedOutMs >= FRESH_LATE_LIMIT_MS
        return now > job.aimMs && now - job.addedMs >= LATE_LIMIT_MS
    }

    /** Notes which jobs cannot be done in time beside the others. */
    private fun noteCrowdedOut(now: Long) {
        val (begun, fresh) = waitingJobs().partition { it.isBegun }
        if (waiting <= spec.maxPieces) {
            fresh.forEach { it.crowdedOutMs = null }
            return
        }
        val timely = timeline(now).timelyJobs(fresh, begun.sumOf { it.waiting.size })
        fresh.forEach { job ->
            job.crowdedOutMs = if (job in timely) null else job.crowdedOutMs ?: now
        }
    }

    private fun onAnswered(run: Running, outcome: CallOutcome.Answered, now: Long) {
        val ratio = (now - run.startedMs) / run.expectedMs
        run.target.isSolo = ratio <= SOLO_FACTOR
        run.target.slowness += SPEED_WEIGHT * (ratio - run.target.slowness)
        if (ratio <= SLOW_FACTOR) {
            extraMs = maxOf(0.0, extraMs + EXTRA_WEIGHT * (now - run.startedMs - run.expectedMs - extraMs))
        }
        run.items.forEachIndexed { i, item -> onItem(run, item, outcome.items[i], now) }
    }

    private fun onItem(run: Running, item: QueuedPiece, outcome: PieceOutcome, now: Long) {
        val bytes = item.job.spec.resultBytes
        item.job.running--
        if (outcome !is PieceOutcome.Made || outcome.handle in results) run.target.usedBytes -= bytes
        when (outcome) {
            is PieceOutcome.Made -> if (outcome.handle in results) {
                retry(item) // a handle that is taken answers an earlier call
            } else {
                results[outcome.handle] = Result(run.target, bytes)
                made(item, outcome.handle)
            }

            PieceOutcome.Late -> end(item.job, JobOutcome(failure = JobFailure.LATE))

            PieceOutcome.InputGone -> end(item.job, JobOutcome(failure = JobFailure.INPUT_GONE))

            PieceOutcome.NoRoom -> {
                run.target.onNoRoom(spec, now)
                if (!item.job.isEnded) enqueue(item)
            }

            PieceOutcome.Failed -> retry(item)
        }
    }

    private fun made(item: QueuedPiece, handle: String) {
        val job = item.job
        if (job.isEnded) {
            release(listOf(handle))
            return
        }
        job.handles[item.index] = handle
        if (job.handles.all { it != null }) {
            jobs.remove(job.spec.job)
            job.isEnded = true
            effects += PoolEffect.Done(job.spec.job, JobOutcome(job.handles.filterNotNull()))
        }
    }

    private fun requeue(run: Running, now: Long) {
        run.items.forEach { item ->
            item.job.running--
            run.target.usedBytes -= item.job.spec.resultBytes
            if (item.job.deadlineMs > now) retry(item)
        }
    }

    private fun retry(item: QueuedPiece) {
        if (item.job.isEnded) return
        item.tries++
        if (item.tries >= MAX_TRIES) end(item.job, JobOutcome(failure = JobFailure.FAILED)) else enqueue(item)
    }

    private fun end(job: QueuedJob, outcome: JobOutcome) {
        if (job.isEnded) return
        job.isEnded = true
        jobs.remove(job.spec.job)
        waiting -= job.waiting.size
        job.waiting.clear()
        release(job.handles.filterNotNull())
        effects += PoolEffect.Done(job.spec.job, outcome)
    }

    private fun release(handles: List<String>) {
        val byTarget = handles.mapNotNull { h -> results.remove(h)?.let { it to h } }.groupBy({ it.first.target })
        for ((target, freed) in byTarget) {
            val id = sequence++
            releases[id] = Release(target, freed.sumOf { it.first.bytes })
            effects += PoolEffect.Free(id, target.entry, freed.map { it.second })
        }
    }

    private fun enqueue(item: QueuedPiece) {
        item.job.waiting += item
        waiting++
    }

    private fun pump(now: Long): List<PoolEffect> {
        while (waiting > 0 && startNext(now)) {
            // Each call that starts changes what the next one holds.
        }
        val out = effects.toList()
        effects.clear()
        return out
    }

    private fun startNext(now: Long): Boolean {
        val free = freeTargets(now)
        if (free.isEmpty()) return false
        val order = jobOrder(now)
        for (target in free) {
            val items = nextItems(target, order, now)
            if (items.isEmpty()) continue
            start(target, items, now)
            return true
        }
        return false
    }

    private fun usableTargets(now: Long) = targets.values.filter { it.isListed && it.restUntilMs <= now }

    /** Targets that may take a call, the best first. Slow ones are used only when the others would be full. */
    private fun freeTargets(now: Long): List<PoolTarget> {
        val usable = usableTargets(now)
        val soundOnes = usable.count { it.slowness <= SLOW_FACTOR }
        val needsSlow = soundOnes == 0 || waiting > soundOnes * spec.maxPieces
        return usable.filter { it.calls < spec.slots && (needsSlow || it.slowness <= SLOW_FACTOR) }
            .sortedWith(compareBy({ it.slowness > SLOW_FACTOR }, { it.usedBytes }))
    }

    /** Jobs that were begun hold room without being of use, so they come first. */
    private fun jobOrder(now: Long): List<QueuedJob> {
        val (begun, fresh) = waitingJobs().partition { it.isBegun }
        val timely = timeline(now).timelyJobs(fresh, begun.sumOf { it.waiting.size })
        val late = fresh.filter { it !in timely }
            .sortedWith(compareBy({ it.spec.stagesLeft }, { it.spec.rank }, { it.sequence }))
        val urgent = begun.sortedBy { it.aimMs } + timely.sortedBy { it.aimMs }
        return if (urgent.isEmpty() && !mayStartLate(late, now)) emptyList() else urgent + late
    }

    private fun nextItems(target: PoolTarget, order: List<QueuedJob>, now: Long): List<QueuedPiece> {
        val call = CallFill(spec, target.roomBytes(spec, now))
        for (job in order) {
            if (call.places == 0) break
            if (!mayWaitForNear(job, target, now)) call.add(job)
        }
        if (call.lacksRoom) release(results.filterValues { it.target === target && it.isRead }.keys.toList())
        return if (mayWaitForRoom(call, target, order, now)) emptyList() else call.items
    }

    /** A call that lack of room keeps small is better started once results in the way are freed. */
    private fun mayWaitForRoom(call: CallFill, target: PoolTarget, order: List<QueuedJob>, now: Long): Boolean {
        if (!call.lacksRoom || target.usedBytes + target.foreignBytes(now) == 0L) return false
        val isSmall = call.items.size * SMALL_CALL_SHARE < minOf(waiting, spec.maxPieces)
        val isPatient = order.firstOrNull()?.let { now - it.addedMs < ROOM_PATIENCE_MS } ?: true
        return isSmall && isPatient
    }

    /** Whether [job] has the time to wait for a target beside the consumer of its large results. */
    private fun mayWaitForNear(job: QueuedJob, target: PoolTarget, now: Long): Boolean {
        val wanted = job.spec.dataCentre ?: return false
        if (wanted == target.entry.dataCentre || job.isBegun || waiting > spec.maxPieces) return false
        val near = usableTargets(now).filter { it.entry.dataCentre == wanted && it.slowness <= SLOW_FACTOR }
        val freeMs = near.minOfOrNull { freeAtMs(it, now) } ?: return false
        val isSoon = freeMs - now <= NEAR_WAIT_MS
        return isSoon && freeMs + spec.expectedMs(spec.maxPieces) + NEAR_SLACK_MS <= job.aimMs
    }

    /** Late jobs alone start a call only when a job that is in time would still find a free target. */
    private fun mayStartLate(late: List<QueuedJob>, now: Long): Boolean {
        val free = usableTargets(now).count { it.calls < spec.slots }
        return free > 1 || late.sumOf { it.waiting.size } >= spec.maxPieces ||
            late.any { now - it.addedMs >= LATE_PATIENCE_MS }
    }

    private fun freeAtMs(target: PoolTarget, now: Long): Double {
        val run = running.values.firstOrNull { it.target === target } ?: return now.toDouble()
        return maxOf(now.toDouble(), run.startedMs + extraMs + run.expectedMs * maxOf(1.0, target.slowness))
    }

    private fun start(target: PoolTarget, items: List<QueuedPiece>, now: Long) {
        target.calls++
        items.forEach {
            it.job.waiting -= it
            target.usedBytes += it.job.spec.resultBytes
            it.job.running++
            it.job.lastStartMs = now
            if (!target.isSolo) it.job.queuedPieces++
        }
        waiting -= items.size
        val call = sequence++
        val expected = spec.expectedMs(items.size)
        running[call] = Running(target, items, now, expected)
        val wire = items.map { CallItem(it.job.spec.request, it.job.spec.stage, it.piece, it.job.deadlineMs - now) }
        val patienceMs = (expected * maxOf(1.0, target.slowness) * CALL_PATIENCE_FACTOR + CALL_PATIENCE_MS).toLong()
        val timeoutMs = minOf(patienceMs, wire.maxOf { it.leftMs })
        effects += PoolEffect.Call(call, target.entry, wire, timeoutMs, target.usedBytes)
    }
}
