/*
 * How long the way of a request through its stages takes, with what waits in their pools or without.
 */
package org.sesamerouter.serving

import org.sesamerouter.engine.READ_TOKENS_PER_MS

private const val FIRST_EVENT_MS = 100L // an engine's time to the first event beside the reading of the prompt
private const val RETRY_AFTER_MS = 400L
private const val LONGEST_RETRY_MS = 4_000L // bursts of callers last some seconds
private const val SPARE_FACTOR = 1.2 // pools are calm when the way through takes hardly longer than without queues
private const val EARLY_MARGIN_MS = 200L // a call that takes longer than expected still ends with the others

internal class ChainTimes(private val surroundings: FlowSurroundings) {
    /** Time until the pools on the way have done what waits there now. */
    fun backlogMs(flow: Flow): Long = maxOf(
        0,
        chainMs(flow) { surroundings.stageMs(it, flow.rank) } - bestMs(flow),
    )

    /** Returns when a rejected caller should come back. */
    fun retryAfterMs(flow: Flow): Long = (backlogMs(flow) + RETRY_AFTER_MS).coerceAtMost(LONGEST_RETRY_MS)

    /** Whether the request would meet its objective if its stages began now. */
    fun isTimely(flow: Flow, now: Long): Boolean {
        val expected = chainMs(flow) { surroundings.stageMs(it, flow.rank) }
        return now + expected <= flow.request.arrivedMs + flow.request.route.aimMs
    }

    /** Expected time of each stage of the request. */
    fun ofStages(flow: Flow): List<Long> =
        flow.request.route.stages.map { surroundings.stageMs(it.service, flow.rank).toLong() }

    /** Time that the request takes through pools without queues. */
    fun bestMs(flow: Flow): Long = chainMs(flow) { surroundings.idleStageMs(it) }

    private fun chainMs(flow: Flow, stageMs: (String) -> Double): Long {
        val stages = flow.request.route.stages
        val firsts = stages.indices.filter { n ->
            flow.piecesOf(n) > 0 && stages[n].after.none { flow.piecesOf(it) > 0 }
        }
        return firsts.maxOfOrNull { (stageMs(stages[it].service) + restMs(flow, it, stageMs)).toLong() } ?: 0
    }

    /** Whether the pools on the way are calm. */
    fun isSpare(flow: Flow): Boolean =
        chainMs(flow) { surroundings.stageMs(it, flow.rank) } <= bestMs(flow) * SPARE_FACTOR

    /** A stage that only the target waits for begins so that it ends with the others: its results take room. */
    fun isTooEarly(flow: Flow, number: Int): Boolean {
        val stages = flow.request.route.stages
        if (flow.nextStages(number).isNotEmpty()) return false
        val others = stages.indices.filter { it != number && flow.piecesOf(it) > 0 && flow.handles[it] == null }
        val left = others.maxOfOrNull { leftMs(flow, it) } ?: return false
        val own = leftMs(flow, number)
        return left > own + EARLY_MARGIN_MS
    }

    /** Expected time from the begin of [stage] to the first event. */
    private fun leftMs(flow: Flow, stage: Int): Long {
        val stageMs = { service: String -> surroundings.stageMs(service, flow.rank) }
        return stageMs(flow.request.route.stages[stage].service).toLong() + restMs(flow, stage, stageMs)
    }

    /** Expected time from the end of [stage] to the first event. */
    fun restMs(flow: Flow, stage: Int): Long = restMs(flow, stage) { surroundings.stageMs(it, flow.rank) }

    private fun restMs(flow: Flow, stage: Int, stageMs: (String) -> Double): Long {
        val stages = flow.request.route.stages
        val longest = flow.nextStages(stage).maxOfOrNull {
            stageMs(stages[it].service).toLong() + restMs(flow, it, stageMs)
        }
        return longest ?: (FIRST_EVENT_MS + flow.request.parts.sumOf { it.tokens } / READ_TOKENS_PER_MS).toLong()
    }
}
