/*
 * Tests of what a queue believes of its targets: that a slow one is tried again.
 */
package org.sesamerouter.batching

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty

private const val TICK_MS = 25L

class TargetRecoverySpec :
    FunSpec({
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
    })
