/*
 * Creates the pool jobs of stages and chooses the data centre where their results should be made.
 */
package org.sesamerouter.serving

import org.sesamerouter.batching.LaterStage
import org.sesamerouter.batching.StageJob
import org.sesamerouter.batching.equalPieces
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.engine.Prompt

private const val LARGE_RESULT_BYTES = 200_000L // smaller results are cheap to transfer between data centres

// Two hops between data centres: in an overload, jobs end just when they are due, and their results have to get back.
private const val RESULT_RETURN_MS = 50L
private const val RESUME_DUE_MS = 800L // callers give up a stream that stalls for a few seconds

internal class StageJobFactory(
    private val context: FlowContext,
    private val engines: EngineTable,
    private val latency: LatencyEstimator,
) {
    /** Returns the job with the id [job] for the stage [number] of [flow]. */
    fun createJob(flow: Flow, number: Int, job: String, now: Long): StageJob {
        val request = flow.request
        val stage = request.route.stages[number]
        val inputs = stage.dependencies.flatMap { flow.handles[it].orEmpty() }
        val key = if (inputs.isEmpty()) request.pieceKey else null
        val remaining = latency.remainingMs(flow, number)
        val dueMs = flow.firstAttemptMs + request.route.objectiveMs - remaining - RESULT_RETURN_MS
        return StageJob(
            job = job,
            request = request.id,
            service = stage.service,
            stage = number,
            pieces = equalPieces(flow.pieceCount(number), key, inputs),
            resultBytes = stage.resultBytes,
            rank = flow.rank,
            objectiveLeftMs = if (flow.isResponding) RESUME_DUE_MS else dueMs - now,
            deadlineLeftMs = request.deadlineMs - remaining / 2 - now,
            stagesLeft = flow.longestChainAfter(number),
            dataCentre = preferredDataCentre(flow, number, inputs, now),
            hasCompletedStages = flow.handles.any { it != null },
            resultLeftMs = request.deadlineMs - now,
            organisation = request.organisation,
            isReturn = flow.isCallerRetry,
            later = announce(flow, number, job, remaining),
        )
    }

    /** Returns the later stages that [job], after whose stage [remaining] ms are left, announces for its request. */
    private fun announce(flow: Flow, number: Int, job: String, remaining: Long): List<LaterStage> {
        val unannounced = flow.stagesAfter(number).filter { stage ->
            stage !in flow.startedStages && flow.announcingJobs[stage]?.let { it in flow.jobs } != true
        }
        return unannounced.sorted().map { stage ->
            flow.announcingJobs[stage] = job
            val service = flow.request.route.stages[stage].service
            LaterStage(service, flow.pieceCount(stage), remaining - latency.remainingMs(flow, stage))
        }
    }

    /** Whether the targets of [service] are engines. */
    fun isEngine(service: String): Boolean = context.config?.services?.get(service)?.engine != null

    /** Returns the prompt of [flow] with the input bytes that it reads from each data centre. */
    fun promptOf(flow: Flow) = Prompt(flow.request.promptParts, bytesByDataCentre(flow))

    /**
     * Returns the data centre where most bytes of [stage] are read from or will be read; null when they are too few to
     * matter.
     */
    private fun preferredDataCentre(flow: Flow, stage: Int, inputs: List<String>, now: Long): String? {
        val inputDataCentres = inputs.mapNotNullTo(HashSet(), ::dataCentreOfHandle)
        val inputBytes = bytesByDataCentre(flow).filterKeys { it in inputDataCentres }
        val totalInputBytes = inputBytes.values.sum() * flow.pieceCount(stage)
        val totalResultBytes = flow.request.route.stages[stage].resultBytes * flow.pieceCount(stage)
        return when {
            maxOf(totalInputBytes, totalResultBytes) < LARGE_RESULT_BYTES -> null
            totalInputBytes >= totalResultBytes -> inputBytes.maxBy { it.value }.key
            else -> consumerDataCentre(flow, stage, now)
        }
    }

    /** Returns the data centre of the engine that would be chosen now, if it is what reads the results of [stage]. */
    private fun consumerDataCentre(flow: Flow, stage: Int, now: Long): String? {
        val request = flow.request
        if (!isEngine(request.service) || flow.dependentStages(stage).isNotEmpty()) return null
        return engines.choose(context.targets(request.service), promptOf(flow), now)?.dataCentre
    }

    private fun dataCentreOfHandle(handle: String): String? = context.dataCentreOf(handle.substringBefore('/'))

    private fun bytesByDataCentre(flow: Flow): Map<String, Long> {
        val stages = flow.request.route.stages
        val bytes = HashMap<String, Long>()
        for (number in stages.indices) {
            for (handle in flow.handles[number].orEmpty()) {
                dataCentreOfHandle(handle)?.let { bytes.merge(it, stages[number].resultBytes, Long::plus) }
            }
        }
        return bytes
    }
}
