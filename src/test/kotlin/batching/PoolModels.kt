/*
 * Fixtures for tests of the batching queue: builders, a model that checks random events against invariants, and a
 * simulation of the load from several hosts.
 */
package org.sesamerouter.batching

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.histories
import org.sesamerouter.serving.BatchSpec
import java.util.PriorityQueue
import kotlin.random.Random

internal val SPEC = BatchSpec(slots = 1, maxPieces = 8, callMs = 240.0, pieceMs = 20.0, resultSpaceBytes = 8_000_000)

internal fun target(id: String, startTimeMs: Long = 1) =
    TargetEntry(id, "stock", "10.0.0.${id.filter { it.isDigit() }}:80", "a", 1, isDraining = false, startTimeMs)

internal fun job(
    id: String,
    pieces: Int,
    rank: Int = 1,
    objectiveLeftMs: Long = 2_000,
    bytes: Long = 8_000,
    deadlineLeftMs: Long = 12_000,
) = StageJob(id, "r-$id", "stock", 0, List(pieces) { Piece(it, "key") }, bytes, rank, objectiveLeftMs, deadlineLeftMs)

internal fun StageJob.withInput() = copy(pieces = pieces.map { Piece(it.number, null, listOf("10.9.9.9:80/h")) })

internal fun List<PoolEffect>.calls() = filterIsInstance<PoolEffect.Call>()

internal fun List<PoolEffect>.done() = filterIsInstance<PoolEffect.Done>()

internal fun List<PoolEffect>.freed() = filterIsInstance<PoolEffect.Free>()

internal fun made(call: PoolEffect.Call, from: Int = 0) = CallOutcome.Answered(
    call.items.indices.map { PieceOutcome.Made("${call.target.address}/${call.call}-${from + it}") },
)

/** Sends random events to one queue and checks the outcomes of jobs and the freeing of results. */
internal class PieceQueueModel(private val random: Random) {
    private val queue = PieceQueue("stock", SPEC)
    private val submitted = HashMap<String, StageJob>()
    private val running = LinkedHashMap<Long, PoolEffect.Call>()
    private val pieceByHandle = HashMap<String, String>()
    private val unfreedHandles = HashSet<String>()
    private val ended = HashSet<String>()
    private val startTimes = HashMap<String, Long>()
    private var now = 0L
    private var sequence = 0

    fun run() {
        execute(queue.update(listOf(target("t1"), target("t2"), target("t3")), now))
        repeat(60) {
            now += random.nextLong(0, 200)
            step()
        }
        repeat(400) {
            now += 50
            running.values.toList().forEach { end(it, made(it, sequence++ * 100)) }
            execute(queue.onTick(now))
        }
        submitted.keys.filter { it !in ended }.shouldBeEmpty()
    }

    private fun step() {
        when (random.nextInt(8)) {
            0, 1, 2 -> submit()

            3, 4 -> running.values.randomOrNull(random)?.let { end(it, outcome(it)) }

            5 -> submitted.keys.filter { it !in ended }.randomOrNull(random)?.let { execute(queue.cancel(it, now)) }

            6 -> free()

            else -> execute(
                queue.update(listOf("t1", "t2", "t3").filter { random.nextInt(4) > 0 }.map(::maybeRestarted), now),
            )
        }
        execute(queue.onTick(now))
    }

    private fun maybeRestarted(id: String): TargetEntry {
        if (random.nextInt(10) == 0) startTimes[id] = now + 1
        return target(id, startTimeMs = startTimes[id] ?: 1)
    }

    private fun submit() {
        val job = job(
            "j${sequence++}",
            random.nextInt(1, 12),
            random.nextInt(3),
            random.nextLong(-100, 2_000),
            random.nextLong(0, 900_000),
            random.nextLong(300, 5_000),
        )
        submitted[job.job] = job
        execute(queue.submit(job, now))
    }

    private fun free() {
        val handles = unfreedHandles.take(3)
        unfreedHandles -= handles.toSet()
        val (effects, foreign) = queue.free(handles, now)
        foreign.shouldBeEmpty()
        execute(effects)
    }

    private fun outcome(call: PoolEffect.Call): CallOutcome = when (random.nextInt(6)) {
        0 -> CallOutcome.Refused

        1 -> CallOutcome.Failed("reset")

        else -> CallOutcome.Answered(
            call.items.mapIndexed { i, _ ->
                when (random.nextInt(8)) {
                    0 -> PieceOutcome.NoRoom
                    1 -> PieceOutcome.Failed
                    2 -> if (random.nextInt(4) == 0) PieceOutcome.InputGone else PieceOutcome.Late
                    else -> PieceOutcome.Made("${call.target.address}/${call.call}-$i")
                }
            },
        )
    }

    private fun end(call: PoolEffect.Call, outcome: CallOutcome) {
        running.remove(call.call)
        if (outcome is CallOutcome.Answered) {
            outcome.items.forEachIndexed { i, made ->
                if (made is PieceOutcome.Made) {
                    pieceByHandle[made.handle] =
                        "${call.items[i].request}/${call.items[i].piece.number}"
                }
            }
        }
        execute(queue.onCallEnded(call.call, outcome, now))
    }

    private fun execute(effects: List<PoolEffect>) {
        for (effect in effects) {
            when (effect) {
                is PoolEffect.Call -> {
                    effect.items.size shouldBeLessThanOrEqual SPEC.maxPieces
                    running.values.count {
                        it.target.id == effect.target.id && it.target.startTimeMs == effect.target.startTimeMs
                    } shouldBe
                        0
                    running[effect.call] = effect
                }

                is PoolEffect.Free -> {
                    effect.handles.forEach {
                        check(pieceByHandle.remove(it) != null) { "result $it freed twice or never created" }
                    }
                    unfreedHandles -= effect.handles.toSet()
                    execute(queue.onFreed(effect.release, now))
                }

                is PoolEffect.InputsFetched, is PoolEffect.AskSpace -> Unit

                is PoolEffect.Done -> onDone(effect)
            }
        }
    }

    private fun onDone(done: PoolEffect.Done) {
        check(ended.add(done.job)) { "job ${done.job} ended twice" }
        if (done.outcome.failure != null) {
            done.outcome.handles.shouldBeEmpty()
            return
        }
        done.outcome.handles.forEachIndexed { i, handle -> pieceByHandle[handle] shouldBe "r-${done.job}/$i" }
        done.outcome.handles shouldHaveSize submitted.getValue(done.job).pieces.size
        unfreedHandles += done.outcome.handles
    }
}

/** Simulates Poisson arrivals of jobs at a pool of four targets, with a single queue or with one queue per host. */
internal class PoolSimulation(private val random: Random, private val hosts: Int) {
    data class Summary(val piecesPerCall: Double, val inTime: Double)

    private sealed interface Event {
        data class Arrival(val job: StageJob, val host: Int) : Event

        data class CallEnd(val call: PoolEffect.Call, val host: Int) : Event
    }

    private val events = PriorityQueue<Pair<Long, Event>>(compareBy { it.first })
    private val queues = List(hosts) { PieceQueue("stock", SPEC) }
    private val busyUntil = HashMap<String, Long>()
    private val dueMs = HashMap<String, Long>()
    private var calls = 0
    private var pieces = 0
    private var inTime = 0

    fun run(): Summary {
        queues.forEach { it.update(List(4) { i -> target("t$i") }, 0) }
        var at = 0.0
        var count = 0
        while (at < 30_000) {
            at += -Math.log(1 - random.nextDouble()) * 1_000 / ARRIVALS_PER_S
            val job = job("l${count++}", random.nextInt(1, 5), objectiveLeftMs = 900)
            dueMs[job.job] = at.toLong() + 900
            events += at.toLong() to Event.Arrival(job, random.nextInt(hosts))
        }
        while (events.isNotEmpty()) {
            val (now, event) = events.poll()
            when (event) {
                is Event.Arrival -> execute(queues[event.host].submit(event.job, now), event.host, now)

                is Event.CallEnd -> execute(
                    queues[event.host].onCallEnded(event.call.call, made(event.call), now),
                    event.host,
                    now,
                )
            }
        }
        return Summary(pieces.toDouble() / calls, inTime.toDouble() / count)
    }

    /** Executes [effects] of the queue of [host]. A target runs one call at a time, whichever host sends it. */
    private fun execute(effects: List<PoolEffect>, host: Int, now: Long) {
        for (effect in effects) {
            when (effect) {
                is PoolEffect.Call -> {
                    calls++
                    pieces += effect.items.size
                    val start = maxOf(now, busyUntil[effect.target.id] ?: 0)
                    val end = start + SPEC.expectedMs(effect.items.size).toLong()
                    busyUntil[effect.target.id] = end
                    events += end to Event.CallEnd(effect, host)
                }

                is PoolEffect.Done -> {
                    if (now <= dueMs.getValue(effect.job)) inTime++
                    if (effect.outcome.failure ==
                        null
                    ) {
                        execute(queues[host].free(effect.outcome.handles, now).first, host, now)
                    }
                }

                is PoolEffect.Free -> execute(queues[host].onFreed(effect.release, now), host, now)

                is PoolEffect.InputsFetched, is PoolEffect.AskSpace -> Unit
            }
        }
    }

    private companion object {
        const val ARRIVALS_PER_S = 16.0 // 40 pieces per second, half of the pool's capacity with full calls
    }
}
