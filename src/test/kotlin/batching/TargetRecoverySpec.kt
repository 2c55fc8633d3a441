/*
 * Tests of what a queue believes of its targets: that a slow one is tried again, and that the space that counts as used
 * is the space that is used, whatever messages about it were lost.
 */
package org.sesamerouter.batching

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.histories
import kotlin.random.Random

private const val REQUEST_MS = 4_000L
private const val FREE_MS = 50L
private const val TICK_MS = 25L
private val SMALL_SPACE = SPEC.copy(resultSpaceBytes = 400_000, resultLifeMs = 20_000)

/** A queue before four targets, with the space that results really take up, on a virtual clock. */
private class SpaceModel(private val random: Random) {
    private val queue = PieceQueue("stock", SMALL_SPACE).also { it.update(List(4) { i -> target("t$i") }, 0) }
    private val stored = HashMap<String, Long>()
    private val calls = ArrayDeque<Pair<Long, PoolEffect.Call>>()
    private val frees = ArrayDeque<Pair<Long, PoolEffect.Free>>()
    private val bytesByRequest = HashMap<String, Long>()
    private var count = 0
    var now = 0L

    val countedBytes get() = queue.usedBytes
    val realBytes get() = stored.values.sum()

    fun step() {
        now += TICK_MS
        while (frees.isNotEmpty() && frees.first().first <= now) {
            val free = frees.removeFirst().second
            stored.keys.removeAll(free.handles.toSet())
            execute(queue.onFreed(free.release, now))
        }
        calls.filter { it.first <= now }.forEach { entry ->
            calls.remove(entry)
            end(entry.second)
        }
        execute(queue.onTick(now))
    }

    fun disturb() {
        when (random.nextInt(6)) {
            0, 1, 2 -> submit()

            3 -> execute(queue.cancel("j${random.nextInt(count + 1)}", now))

            // The queue is told of half of the results only, as if messages to it were lost.
            4 -> execute(queue.free(stored.keys.filter { random.nextBoolean() }, now).first)

            else -> execute(queue.returnWaitingJobs(now))
        }
    }

    private fun submit() {
        val id = "j${count++}"
        val bytes = random.nextLong(1_000, 90_000)
        bytesByRequest["r-$id"] = bytes
        execute(queue.submit(job(id, random.nextInt(1, 6), bytes = bytes, deadlineLeftMs = REQUEST_MS), now))
    }

    private fun end(call: PoolEffect.Call) {
        val outcome = when (random.nextInt(8)) {
            0 -> CallOutcome.Refused
            1 -> CallOutcome.Failed("reset")
            else -> made(call)
        }
        if (outcome is CallOutcome.Answered) {
            outcome.items.forEachIndexed { i, item ->
                stored[(item as PieceOutcome.Made).handle] = bytesByRequest.getValue(call.items[i].request)
            }
        }
        execute(queue.onCallEnded(call.call, outcome, now))
    }

    private fun execute(effects: List<PoolEffect>) = effects.forEach {
        when (it) {
            is PoolEffect.Call -> calls += now + SPEC.expectedMs(it.items.size).toLong() to it
            is PoolEffect.Free -> frees += now + FREE_MS to it
            else -> Unit
        }
    }
}

class TargetRecoverySpec :
    FunSpec({
        // Guards against space that counts as used for good, which left pools with waiting pieces and no calls (SHORT).
        test("when all requests have ended, no space counts as used, whatever messages about results were lost") {
            checkAll(histories(seed = 43), Arb.long()) { seed ->
                val model = SpaceModel(Random(seed))
                repeat(120) {
                    if (it % 3 == 0) model.disturb()
                    model.step()
                }
                repeat(((REQUEST_MS + 3_000) / TICK_MS).toInt()) { model.step() }
                withClue("seed $seed") {
                    model.countedBytes shouldBe model.realBytes
                    model.countedBytes shouldBe 0
                }
            }
        }

        // Guards against targets that get no call for the rest of a day after they were slow for seconds (SHORT).
        test("targets that were slow for four seconds are all in use two seconds after they have recovered") {
            val ids = List(12) { "t$it" }
            val queue = PieceQueue("stock", SPEC).also { it.update(ids.map { id -> target(id) }, 0) }
            val running = ArrayList<Pair<Long, PoolEffect.Call>>()
            val used = HashSet<String>()
            var jobs = 0
            var now = 0L
            fun execute(effects: List<PoolEffect>) = effects.calls().forEach {
                val slowness = if (now < 4_000 && it.target.id < "t5") 6 else 1
                running += now + SPEC.expectedMs(it.items.size).toLong() * slowness to it
                if (now in 6_000..8_000) used += it.target.id
            }
            while (now < 8_000) {
                if (now % 50 == 0L) execute(queue.submit(job("j${jobs++}", 6, objectiveLeftMs = 900), now))
                running.filter { it.first <= now }.forEach {
                    running.remove(it)
                    execute(queue.onCallEnded(it.second.call, made(it.second), now))
                }
                execute(queue.onTick(now))
                now += TICK_MS
            }
            ids.filter { it !in used }.shouldBeEmpty()
        }

        test("the report of a target corrects the space that counts as used in both directions") {
            val queue = PieceQueue("stock", SMALL_SPACE).also { it.update(listOf(target("t1")), 0) }
            val call = queue.submit(job("a", 4, bytes = 90_000), 0).calls().single()
            queue.onCallEnded(call.call, made(call), 300)
            queue.submit(job("b", 4, bytes = 90_000), 310).calls().shouldBeEmpty()
            val asked = (1..30).flatMap { queue.onTick(310 + it * TICK_MS) }.filterIsInstance<PoolEffect.AskSpace>()
            asked.size shouldBe 1
            queue.onSpaceReport("t1", 1, freeBytes = 400_000, 1_200).calls().single().items.size shouldBe 4
            queue.usedBytes shouldBe 360_000
        }
    })
