/*
 * Estimates how long the stages of a request take, with the current pool queues or without queues.
 */
package org.sesamerouter.serving

import org.sesamerouter.admission.StageId
import org.sesamerouter.admission.StageTimes

private const val FIRST_EVENT = "first event"
private const val RESPONSE = "response"

// An engine's time to the first event, excluding the prefill of the prompt, until enough samples were recorded.
private const val DEFAULT_FIRST_EVENT_MS = 100L
private const val DEFAULT_RESPONSE_MS = 500L // of a response from its first event, until enough samples were recorded
private const val MIN_RETRY_AFTER_MS = 400L

// Pools have spare capacity when the request takes at most this much longer than without queues.
private const val SPARE_CAPACITY_FACTOR = 1.2
private const val LATEST_DUE_MS = 3_600_000L // due after every queued job
private const val STAGE_END_MARGIN_MS = 200L // lets a call that overruns its estimate still end with the others

internal class LatencyEstimator(
    private val context: FlowContext,
    private val prefillTokensPerMs: (service: String) -> Double,
) {
    private val overheads = StageTimes()

    /** Time of the event being handled. */
    var nowMs = 0L

    /** Records that [service] started its response [ms] after a send that needed prefill for [prefillTokens] tokens. */
    fun onFirstEvent(service: String, ms: Long, prefillTokens: Long) {
        val overheadMs = maxOf(0, ms - (prefillTokens / prefillTokensPerMs(service)).toLong())
        overheads.record(StageId(service, FIRST_EVENT), overheadMs, nowMs)
    }

    /** Records that a response of [service] ended [ms] after its first event. */
    fun onResponseEnd(service: String, ms: Long) = overheads.record(StageId(service, RESPONSE), ms, nowMs)

    /** Expected time of the stage [number] of the request if it starts now. */
    fun queuedStageMs(flow: Flow, number: Int): Long {
        val dueMs = objectiveLeftMs(flow) - remainingMs(flow, number)
        return queuedStageMs(flow)(number, dueMs).toLong()
    }

    /** Expected time to the end of the response of a request that is at no target, with the stages that are left. */
    fun remainingMs(flow: Flow): Long {
        val response = overheads.quantiles(StageId(flow.request.service, RESPONSE), DEFAULT_RESPONSE_MS, nowMs)
        return remainingStagesMs(flow) + timeToFirstEventMs(flow) + response.p95Ms
    }

    /** Expected time to the end of the stages that are left. */
    fun remainingStagesMs(flow: Flow): Long {
        val unfinished = flow.request.route.stages.indices.filter {
            flow.pieceCount(it) > 0 && flow.handles[it] == null
        }
        val toFirstEventMs = unfinished.maxOfOrNull { stage ->
            val ownMs = if (stage in flow.startedStages) {
                maxOf(0, (flow.expectedStageEndMs[stage] ?: nowMs) - nowMs)
            } else {
                queuedStageMs(flow, stage)
            }
            ownMs + remainingMs(flow, stage)
        }
        return toFirstEventMs?.let { maxOf(0, it - timeToFirstEventMs(flow)) } ?: 0
    }

    /** Time that the current queues of the request's pools add. */
    fun backlogMs(flow: Flow): Long =
        maxOf(0, criticalPathMs(flow, LATEST_DUE_MS, queuedStageMs(flow)) - unloadedMs(flow))

    /** Returns after how long a rejected caller should retry. */
    fun retryAfterMs(flow: Flow): Long = (backlogMs(flow) + MIN_RETRY_AFTER_MS).coerceAtMost(MAX_RETRY_AFTER_MS)

    /** Whether the request would meet its latency objective if its stages started now. */
    fun meetsObjective(flow: Flow): Boolean {
        val left = objectiveLeftMs(flow)
        return criticalPathMs(flow, left, queuedStageMs(flow)) <= left
    }

    /** Expected time of each stage of the request when it is queued last in its pool. */
    fun stagesMs(flow: Flow): List<Long> =
        flow.request.route.stages.map { context.expectedStageMs(it.service, flow.rank, LATEST_DUE_MS).toLong() }

    /** Expected time of the request when the pools have no queues. */
    fun unloadedMs(flow: Flow): Long =
        criticalPathMs(flow, LATEST_DUE_MS) { stage, _ -> context.unloadedStageMs(serviceOf(flow, stage)) }

    /** Whether all pools that the request needs have spare capacity. */
    fun hasSpareCapacity(flow: Flow): Boolean =
        criticalPathMs(flow, LATEST_DUE_MS, queuedStageMs(flow)) <= unloadedMs(flow) * SPARE_CAPACITY_FACTOR

    /**
     * Whether stage [number] should start later. Results occupy space at their target until they are fetched, so a
     * stage whose results only the final target fetches is started so that it ends together with the other stages.
     */
    fun shouldDelayStage(flow: Flow, number: Int): Boolean {
        val stages = flow.request.route.stages
        if (flow.dependentStages(number).isNotEmpty()) return false
        val others = stages.indices.filter { it != number && flow.pieceCount(it) > 0 && flow.handles[it] == null }
        val objectiveLeft = objectiveLeftMs(flow)
        val longestOther =
            others.maxOfOrNull { fromStageMs(flow, it, objectiveLeft, queuedStageMs(flow)) } ?: return false
        val ownMs = fromStageMs(flow, number, LATEST_DUE_MS, queuedStageMs(flow))
        return longestOther > ownMs + STAGE_END_MARGIN_MS
    }

    /** Expected time from the end of [stage] to the first event of the response. */
    fun remainingMs(flow: Flow, stage: Int): Long = remainingMs(flow, stage, objectiveLeftMs(flow), queuedStageMs(flow))

    private fun objectiveLeftMs(flow: Flow) = flow.firstAttemptMs + flow.request.route.objectiveMs - nowMs

    private fun serviceOf(flow: Flow, stage: Int) = flow.request.route.stages[stage].service

    /**
     * Expected time of a stage by its number and due time. The queue of a later pool is that of now, plus the work that
     * arrives before the request does as far as the pool does not get it done meanwhile.
     */
    private fun queuedStageMs(flow: Flow) = { stage: Int, dueMs: Long ->
        val service = serviceOf(flow, stage)
        val queuedMs = context.expectedStageMs(service, flow.rank, dueMs)
        val startsInMs = startsInMs(flow, stage)
        if (startsInMs == 0L) {
            queuedMs
        } else {
            queuedMs + maxOf(0.0, context.announcedMs(service, flow.rank, dueMs) - startsInMs)
        }
    }

    /** Expected time until the results that [stage] needs are there; 0 if it can start now. */
    private fun startsInMs(flow: Flow, stage: Int): Long {
        val missing = flow.request.route.stages[stage].dependencies.filter {
            flow.pieceCount(it) > 0 && flow.handles[it] == null
        }
        return missing.maxOfOrNull {
            if (it in flow.startedStages) {
                maxOf(0, (flow.expectedStageEndMs[it] ?: nowMs) - nowMs)
            } else {
                val dueMs = objectiveLeftMs(flow)
                startsInMs(flow, it) + context.expectedStageMs(serviceOf(flow, it), flow.rank, dueMs).toLong()
            }
        } ?: 0
    }

    private fun criticalPathMs(flow: Flow, left: Long, stageMs: (Int, Long) -> Double): Long {
        val stages = flow.request.route.stages
        val initialStages = stages.indices.filter { n ->
            flow.pieceCount(n) > 0 && stages[n].dependencies.none { flow.pieceCount(it) > 0 }
        }
        return initialStages.maxOfOrNull { fromStageMs(flow, it, left, stageMs) } ?: 0
    }

    /** Expected time from the start of [stage] to the first event, for a request with [left] ms to its objective. */
    private fun fromStageMs(flow: Flow, stage: Int, left: Long, stageMs: (Int, Long) -> Double): Long {
        val remaining = remainingMs(flow, stage, left, stageMs)
        return stageMs(stage, left - remaining).toLong() + remaining
    }

    private fun remainingMs(flow: Flow, stage: Int, left: Long, stageMs: (Int, Long) -> Double): Long {
        val longestRemaining = flow.dependentStages(stage).maxOfOrNull { fromStageMs(flow, it, left, stageMs) }
        return longestRemaining ?: timeToFirstEventMs(flow)
    }

    /** The 90th percentile of the time to the first event. */
    private fun timeToFirstEventMs(flow: Flow): Long {
        val quantiles = overheads.quantiles(StageId(flow.request.service, FIRST_EVENT), DEFAULT_FIRST_EVENT_MS, nowMs)
        val prefillMs = flow.request.promptParts.sumOf { it.tokens } / prefillTokensPerMs(flow.request.service)
        return quantiles.p90Ms + prefillMs.toLong()
    }

    companion object {
        /** Longest time after which a rejected caller should retry. */
        const val MAX_RETRY_AFTER_MS = 4_000L // request bursts last a few seconds
    }
}
