/*
 * Measures what decisions of a queue cost, by the number of waiting jobs. Run by hand after `mvn package`:
 * java -XX:TieredStopAtLevel=1 -XX:+UseSerialGC -cp target/test-classes:target/sesamerouter-0.1.0-shaded.jar
 * org.sesamerouter.batching.PieceQueueBenchmarkKt
 */
package org.sesamerouter.batching

import kotlin.random.Random

private const val TARGETS = 15
private const val ROUNDS = 400
private const val WARM_UP_ROUNDS = 400
private const val TICK_MS = 25L
private const val NANOS_PER_MICRO = 1_000.0
private const val MICROS_PER_S = 1_000_000.0
private const val TICKS_PER_S = 40
private const val CALLS_PER_S = 25
private const val SUBMITS_PER_S = 200

/** A queue whose [jobs] wait while all targets are busy, more than can be in time. */
private class Jam(private val jobs: Int) {
    private val random = Random(1)
    private val queue = PieceQueue("stock", SPEC.copy(maxPieces = 52))
    private val running = ArrayDeque<PoolEffect.Call>()
    private var count = 0
    private var now = 0L
    private val nanos = HashMap<String, Long>()

    fun run(): Map<String, Double> {
        queue.update(List(TARGETS) { target("t$it") }, 0)
        repeat(jobs) { submit() }
        repeat(WARM_UP_ROUNDS) { round() }
        nanos.clear()
        repeat(ROUNDS) { round() }
        return nanos.mapValues { it.value / NANOS_PER_MICRO / ROUNDS }
    }

    private fun round() {
        now += TICK_MS
        measure("tick") { queue.onTick(now) }
        val call = running.removeFirst()
        measure("call") { queue.onCallEnded(call.call, CallOutcome.Refused, now) }
        while (queue.waiting < jobs * PIECES) submit()
        measure("submit") { queue.submit(nextJob(), now) }
    }

    private fun submit() {
        running += queue.submit(nextJob(), now).calls()
    }

    private fun nextJob() = job(
        "j${count++}",
        PIECES,
        random.nextInt(3),
        objectiveLeftMs = 500 + random.nextLong(2_000),
        deadlineLeftMs = 3_600_000L,
    ).copy(hasCompletedStages = true)

    private fun measure(name: String, decide: () -> List<PoolEffect>) {
        val start = System.nanoTime()
        val effects = decide()
        nanos.merge(name, System.nanoTime() - start, Long::plus)
        running += effects.calls()
    }

    private companion object {
        const val PIECES = 4
    }
}

fun main() {
    for (jobs in listOf(100, 1_000, 5_000)) {
        val micros = Jam(jobs).run()
        val share = (
            micros.getValue("tick") * TICKS_PER_S + micros.getValue("call") * CALLS_PER_S +
                micros.getValue("submit") * SUBMITS_PER_S
            ) / MICROS_PER_S
        println(
            "%,6d jobs: tick %.0f us, end of a call %.0f us, submit %.0f us; %.2f%% of a core".format(
                jobs,
                micros.getValue("tick"),
                micros.getValue("call"),
                micros.getValue("submit"),
                share * 100,
            ),
        )
    }
}
