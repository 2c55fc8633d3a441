/*
 * What a stage of a request asks of its pool, and where its results are best made.
 */
package org.sesamerouter.serving

import org.sesamerouter.batching.Piece
import org.sesamerouter.batching.StageJob
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.engine.Prompt

private const val LARGE_BYTES = 200_000L // fewer cost little on the way to another data centre
private const val RESUME_AIM_MS = 800L // callers give up a stream that stands still for some seconds

internal class StagePlan(
    private val surroundings: FlowSurroundings,
    private val engines: EngineTable,
    private val times: ChainTimes,
) {
    /** Returns the job named [job] that makes the stage [number] of [flow]. */
    fun jobOf(flow: Flow, number: Int, job: String, now: Long): StageJob {
        val request = flow.request
        val stage = request.route.stages[number]
        val inputs = stage.after.flatMap { flow.handles[it].orEmpty() }
        val key = if (inputs.isEmpty()) request.pieceKey else null
        val rest = times.restMs(flow, number)
        return StageJob(
            job = job,
            request = request.id,
            service = stage.service,
            stage = number,
            pieces = List(flow.piecesOf(number)) { Piece(it, key, inputs) },
            resultBytes = stage.resultBytes,
            rank = flow.rank,
            aimLeftMs = if (flow.isBegun) RESUME_AIM_MS else flow.askedMs + request.route.aimMs - rest - now,
            deadlineLeftMs = request.deadlineMs - rest / 2 - now,
            stagesLeft = flow.stagesAfter(number),
            dataCentre = nearestDataCentre(flow, number, inputs, now),
            hasWorkBehind = flow.handles.any { it != null },
        )
    }

    /** Whether the targets of [service] are engines. */
    fun isEngine(service: String): Boolean = surroundings.config?.services?.get(service)?.engine != null

    /** Returns the prompt of [flow] with the bytes that it takes from each data centre. */
    fun promptOf(flow: Flow) = Prompt(flow.request.parts, bytesByDataCentre(flow))

    /** Returns where most bytes of [stage] come from or go to, if they are many; null when it hardly matters. */
    private fun nearestDataCentre(flow: Flow, stage: Int, inputs: List<String>, now: Long): String? {
        val places = inputs.mapNotNullTo(HashSet(), ::placeOf)
        val read = bytesByDataCentre(flow).filterKeys { it in places }
        val readBytes = read.values.sum() * flow.piecesOf(stage)
        val madeBytes = flow.request.route.stages[stage].resultBytes * flow.piecesOf(stage)
        return when {
            maxOf(readBytes, madeBytes) < LARGE_BYTES -> null
            readBytes >= madeBytes -> read.maxBy { it.value }.key
            else -> readerOf(flow, stage, now)
        }
    }

    /** Returns the data centre of the engine that would take the request now, if it reads the results of [stage]. */
    private fun readerOf(flow: Flow, stage: Int, now: Long): String? {
        val request = flow.request
        if (!isEngine(request.service) || flow.nextStages(stage).isNotEmpty()) return null
        return engines.choose(surroundings.targets(request.service), promptOf(flow), now)?.dataCentre
    }

    private fun placeOf(handle: String): String? = surroundings.dataCentreOf(handle.substringBefore('/'))

    private fun bytesByDataCentre(flow: Flow): Map<String, Long> {
        val stages = flow.request.route.stages
        val bytes = HashMap<String, Long>()
        for (number in stages.indices) {
            for (handle in flow.handles[number].orEmpty()) {
                placeOf(handle)?.let { bytes.merge(it, stages[number].resultBytes, Long::plus) }
            }
        }
        return bytes
    }
}
