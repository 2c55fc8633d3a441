/*
 * How long the way of a request through its stages takes, with what waits in their pools or without.
 */
package org.sesamerouter.serving

import org.sesamerouter.admission.StageId
import org.sesamerouter.admission.StageTimes
import org.sesamerouter.engine.READ_TOKENS_PER_MS

private const val FIRST_EVENT = "first event"
private const val FIRST_EVENT_MS = 100L // an engine's time to the first event beside reading, until some were seen
private const val RETRY_AFTER_MS = 400L
private const val LONGEST_RETRY_MS = 4_000L // bursts of callers last some seconds
private const val SPARE_FACTOR = 1.2 // pools are calm when the way through takes hardly longer than without queues
private const val LAST = 3_600_000L // due later than anything that waits
private const val EARLY_MARGIN_MS = 200L // a call that takes longer than expected still ends with the others

internal class ChainTimes(private val surroundings: FlowSurroundings) {
    private val firstEvents = StageTimes()

    /** The time of the event that is being handled. */
    var nowMs = 0L

    /** Notes that [service] began to answer [ms] after a send, of which it read [unread] tokens. */
    fun onFirstEvent(service: String, ms: Long, unread: Long) {
        val beside = maxOf(0, ms - (unread / READ_TOKENS_PER_MS).toLong())
        firstEvents.record(StageId(service, FIRST_EVENT), beside, nowMs)
    }

    /** Time until the pools on the way have done what waits there now. */
    fun backlogMs(flow: Flow): Long = maxOf(0, chainMs(flow, LAST, queued(flow)) - bestMs(flow))

    /** Returns when a rejected caller should come back. */
    fun retryAfterMs(flow: Flow): Long = (backlogMs(flow) + RETRY_AFTER_MS).coerceAtMost(LONGEST_RETRY_MS)

    /** Whether the request would meet its objective if its stages began now. */
    fun isTimely(flow: Flow): Boolean {
        val left = aimLeftMs(flow)
        return chainMs(flow, left, queued(flow)) <= left
    }

    /** Expected time of each stage of the request behind all that waits there. */
    fun ofStages(flow: Flow): List<Long> =
        flow.request.route.stages.map { surroundings.stageMs(it.service, flow.rank, LAST).toLong() }

    /** Time that the request takes through pools without queues. */
    fun bestMs(flow: Flow): Long = chainMs(flow, LAST) { service, _ -> surroundings.idleStageMs(service) }

    /** Whether the pools on the way are calm. */
    fun isSpare(flow: Flow): Boolean = chainMs(flow, LAST, queued(flow)) <= bestMs(flow) * SPARE_FACTOR

    /** A stage that only the target waits for begins so that it ends with the others: its results take room. */
    fun isTooEarly(flow: Flow, number: Int): Boolean {
        val stages = flow.request.route.stages
        if (flow.nextStages(number).isNotEmpty()) return false
        val others = stages.indices.filter { it != number && flow.piecesOf(it) > 0 && flow.handles[it] == null }
        val aimLeft = aimLeftMs(flow)
        val left = others.maxOfOrNull { fromStageMs(flow, it, aimLeft, queued(flow)) } ?: return false
        val own = fromStageMs(flow, number, LAST, queued(flow))
        return left > own + EARLY_MARGIN_MS
    }

    /** Expected time from the end of [stage] to the first event. */
    fun restMs(flow: Flow, stage: Int): Long = restMs(flow, stage, aimLeftMs(flow), queued(flow))

    private fun aimLeftMs(flow: Flow) = flow.askedMs + flow.request.route.aimMs - nowMs

    private fun queued(flow: Flow) = { service: String, dueMs: Long -> surroundings.stageMs(service, flow.rank, dueMs) }

    private fun chainMs(flow: Flow, left: Long, stageMs: (String, Long) -> Double): Long {
        val stages = flow.request.route.stages
        val firsts = stages.indices.filter { n ->
            flow.piecesOf(n) > 0 && stages[n].after.none { flow.piecesOf(it) > 0 }
        }
        return firsts.maxOfOrNull { fromStageMs(flow, it, left, stageMs) } ?: 0
    }

    /** Expected time from the begin of [stage] to the first event, of a request that has [left]. */
    private fun fromStageMs(flow: Flow, stage: Int, left: Long, stageMs: (String, Long) -> Double): Long {
        val rest = restMs(flow, stage, left, stageMs)
        return stageMs(flow.request.route.stages[stage].service, left - rest).toLong() + rest
    }

    private fun restMs(flow: Flow, stage: Int, left: Long, stageMs: (String, Long) -> Double): Long {
        val longest = flow.nextStages(stage).maxOfOrNull { fromStageMs(flow, it, left, stageMs) }
        return longest ?: firstEventMs(flow)
    }

    /** Nine of ten first events come within this. */
    private fun firstEventMs(flow: Flow): Long {
        val seen = firstEvents.quantiles(StageId(flow.request.service, FIRST_EVENT), FIRST_EVENT_MS, nowMs)
        return seen.highMs + (flow.request.parts.sumOf { it.tokens } / READ_TOKENS_PER_MS).toLong()
    }
}
