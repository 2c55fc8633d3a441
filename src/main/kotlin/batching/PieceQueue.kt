/*
 * The queue of one stage pool. One host owns it, the others send it their pieces, so that calls are filled from all
 * hosts. A call is closed when a target of the pool is free, not before. Jobs that can still meet their objective go
 * first, then by rank, then by latest start. A state machine without I/O.
 */
package org.sesamerouter.batching

import kotlinx.serialization.Serializable
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec

private const val MAX_TRIES = 4
private const val FAILED_TARGET_REST_MS = 800L
private const val FULL_TARGET_REST_MS = 120L
private const val SLOW_FACTOR = 1.8 // a target this much slower than its peers is used only when they are full
private const val OVERDUE_FACTOR = 2.5 // a call this much over its expected time makes its target slow
private const val SPEED_WEIGHT = 0.4

/** One piece; pieces without inputs start from [key]. */
@Serializable
data class Piece(val number: Int, val key: String? = null, val inputs: List<String> = emptyList())

/**
 * The pieces of one stage of one request.
 *
 * @property request the caller's id of the request.
 * @property aimLeftMs time until the stage has to be done for the request to meet its objective.
 * @property deadlineLeftMs time until the result is of no use.
 */
@Serializable
data class StageJob(
    val job: String,
    val request: String,
    val service: String,
    val stage: Int,
    val pieces: List<Piece>,
    val resultBytes: Long,
    val rank: Int,
    val aimLeftMs: Long,
    val deadlineLeftMs: Long,
)

/** Why a job ended without results. */
@Serializable
enum class JobFailure { LATE, INPUT_GONE, FAILED, CANCELLED }

/** Results of a job in the order of its pieces, or why there are none. */
@Serializable
data class JobOutcome(val handles: List<String> = emptyList(), val failure: JobFailure? = null)

/** One piece within a call. */
data class CallItem(val request: String, val stage: Int, val piece: Piece, val leftMs: Long)

/** What became of one piece of a call. */
sealed interface PieceOutcome {
    data class Made(val handle: String) : PieceOutcome

    data object Late : PieceOutcome

    data object InputGone : PieceOutcome

    data object NoRoom : PieceOutcome

    data object Failed : PieceOutcome
}

/** How a call ended. */
sealed interface CallOutcome {
    /** The target answered for every item, in their order. */
    data class Answered(val items: List<PieceOutcome>) : CallOutcome

    /** The target did not take the call. */
    data object Refused : CallOutcome

    /** The call failed. */
    data class Failed(val cause: String) : CallOutcome
}

/** What the owner of a queue has to do. */
sealed interface PoolEffect {
    data class Call(val call: Long, val target: TargetEntry, val items: List<CallItem>, val timeoutMs: Long) :
        PoolEffect

    data class Free(val target: TargetEntry, val handles: List<String>) : PoolEffect

    data class Done(val job: String, val outcome: JobOutcome) : PoolEffect
}

/** The queue of the pool [service]. Not thread-safe. */
class PieceQueue(val service: String, private var spec: BatchSpec) {
    private class Job(val spec: StageJob, val aimMs: Long, val deadlineMs: Long, val sequence: Long) {
        val handles = arrayOfNulls<String>(spec.pieces.size)
        var isEnded = false
        var running = 0
    }

    private class Item(val job: Job, val index: Int) {
        var tries = 0
        val piece get() = job.spec.pieces[index]
    }

    private class Running(val target: Target, val items: List<Item>, val startedMs: Long, val expectedMs: Double)

    private class Target(var entry: TargetEntry) {
        var calls = 0
        var usedBytes = 0L
        var slowness = 1.0
        var restUntilMs = 0L
        var isListed = true
    }

    private class Result(val target: Target, val bytes: Long)

    private val targets = LinkedHashMap<String, Target>()
    private val jobs = HashMap<String, Job>()
    private val queue = ArrayList<Item>()
    private val running = HashMap<Long, Running>()
    private val results = HashMap<String, Result>()
    private val effects = ArrayList<PoolEffect>()
    private var sequence = 0L

    /** Pieces that wait for a call. */
    val waiting: Int get() = queue.size

    /** Calls in progress. */
    val calls: Int get() = running.size

    /** Calls and pieces since the start. */
    var callCount = 0L
        private set
    var pieceCount = 0L
        private set

    /** Expected time until a piece that is added now has its result. */
    fun expectedMs(): Double {
        val usable = maxOf(1, targets.values.count { it.isListed })
        val callMs = spec.expectedMs(spec.maxPieces)
        return queue.size / (usable * spec.maxPieces.toDouble()) * callMs + spec.expectedMs(spec.maxPieces / 2 + 1)
    }

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
                targets[entry.id] = Target(entry)
            } else {
                known.entry = entry
            }
        }
        targets.values.removeIf { !it.isListed && it.calls == 0 && it.usedBytes == 0L }
        return pump(now)
    }

    /** Adds the pieces of [job]. */
    fun submit(job: StageJob, now: Long): List<PoolEffect> {
        val added = Job(job, now + job.aimLeftMs, now + job.deadlineLeftMs, sequence++)
        jobs[job.job] = added
        job.pieces.indices.forEach { queue += Item(added, it) }
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

    /** Takes in the end of a call. */
    fun onCallEnded(call: Long, outcome: CallOutcome, now: Long): List<PoolEffect> {
        val run = running.remove(call) ?: return emptyList()
        run.target.calls--
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
        jobs.values.filter { it.deadlineMs <= now }.forEach { end(it, JobOutcome(failure = JobFailure.LATE)) }
        return pump(now)
    }

    private fun onAnswered(run: Running, outcome: CallOutcome.Answered, now: Long) {
        val ratio = (now - run.startedMs) / run.expectedMs
        run.target.slowness += SPEED_WEIGHT * (ratio - run.target.slowness)
        run.items.forEachIndexed { i, item -> onItem(run, item, outcome.items[i], now) }
    }

    private fun onItem(run: Running, item: Item, outcome: PieceOutcome, now: Long) {
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
                run.target.restUntilMs = now + FULL_TARGET_REST_MS
                if (!item.job.isEnded) queue += item
            }

            PieceOutcome.Failed -> retry(item)
        }
    }

    private fun made(item: Item, handle: String) {
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

    private fun retry(item: Item) {
        if (item.job.isEnded) return
        item.tries++
        if (item.tries >= MAX_TRIES) end(item.job, JobOutcome(failure = JobFailure.FAILED)) else queue += item
    }

    private fun end(job: Job, outcome: JobOutcome) {
        if (job.isEnded) return
        job.isEnded = true
        jobs.remove(job.spec.job)
        queue.removeIf { it.job === job }
        release(job.handles.filterNotNull())
        effects += PoolEffect.Done(job.spec.job, outcome)
    }

    private fun release(handles: List<String>) {
        val byTarget = handles.mapNotNull { h -> results.remove(h)?.let { it to h } }.groupBy({ it.first.target })
        for ((target, freed) in byTarget) {
            freed.forEach { target.usedBytes -= it.first.bytes }
            effects += PoolEffect.Free(target.entry, freed.map { it.second })
        }
    }

    private fun pump(now: Long): List<PoolEffect> {
        while (queue.isNotEmpty()) {
            val target = nextTarget(now) ?: break
            val items = nextItems(target, now)
            if (items.isEmpty()) break
            start(target, items, now)
        }
        val out = effects.toList()
        effects.clear()
        return out
    }

    private fun nextTarget(now: Long): Target? {
        val usable = targets.values.filter { it.isListed && it.restUntilMs <= now }
        val free = usable.filter { it.calls < spec.slots }
        val best = free.minWithOrNull(compareBy({ it.slowness > SLOW_FACTOR }, { it.usedBytes })) ?: return null
        if (best.slowness <= SLOW_FACTOR) return best
        val soundOnes = usable.filter { it.slowness <= SLOW_FACTOR }
        val soonFull = soundOnes.isEmpty() || queue.size > soundOnes.size * spec.maxPieces
        return best.takeIf { soonFull }
    }

    private fun nextItems(target: Target, now: Long): List<Item> {
        val order = compareBy<Item>(
            { it.job.aimMs < now },
            { it.job.spec.rank },
            { it.job.aimMs },
            { it.job.sequence },
            { it.index },
        )
        queue.sortWith(order)
        val picked = ArrayList<Item>()
        var room = spec.roomBytes - target.usedBytes
        for (item in queue) {
            if (picked.size >= spec.maxPieces) break
            if (item.job.spec.resultBytes > room) continue
            room -= item.job.spec.resultBytes
            picked += item
        }
        // A result that never fits has to be tried on an empty target, which then tells that it has no room.
        if (picked.isEmpty() && target.usedBytes == 0L) picked += queue.first()
        return picked
    }

    private fun start(target: Target, items: List<Item>, now: Long) {
        queue.removeAll(items.toSet())
        target.calls++
        items.forEach {
            target.usedBytes += it.job.spec.resultBytes
            it.job.running++
        }
        callCount++
        pieceCount += items.size
        val call = sequence++
        val expected = spec.expectedMs(items.size)
        running[call] = Running(target, items, now, expected)
        val wire = items.map { CallItem(it.job.spec.request, it.job.spec.stage, it.piece, it.job.deadlineMs - now) }
        effects += PoolEffect.Call(call, target.entry, wire, wire.maxOf { it.leftMs })
    }
}
