/*
 * The plan of a request: its stages and their pools, resolved against a single revision of the catalogue, so that a
 * configuration change cannot mix two versions within one request.
 */
package org.sesamerouter.pipeline

import org.sesamerouter.admission.StageId
import org.sesamerouter.api.RunCall
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.configuration.PoolSpec
import org.sesamerouter.configuration.StageKind

/** One stage of a plan. */
data class PlanStage(
    val id: StageId,
    val pool: String,
    val kind: StageKind,
    val model: String,
    val operation: String,
    val expectedMs: Long,
)

/** The stages of a request with its deadline and rank; a lower [rank] is more urgent. */
data class RequestPlan(
    val name: String,
    val stages: List<PlanStage>,
    val deadlineMs: Long,
    val rank: Int,
    val idempotent: Boolean,
)

/** Returns the plan of [call] to [target], or null when the pipeline, a pool or the service is not declared. */
fun planOf(catalogue: Catalogue, target: CallTarget, call: RunCall): RequestPlan? = when (target) {
    is CallTarget.PipelineCall -> pipelinePlan(catalogue, target.name, call)
    is CallTarget.ServiceCall -> servicePlan(catalogue, target, call)
}

private fun pipelinePlan(catalogue: Catalogue, name: String, call: RunCall): RequestPlan? {
    val spec = catalogue.pipelines[name] ?: return null
    val stages = spec.stages.map { stage ->
        val pool = catalogue.pools[stage.pool] ?: return null
        planStage(StageId(name, stage.name), stage.pool, pool, stage.model, "")
    }
    val rank = catalogue.rankOf(call.priority.ifEmpty { spec.priority })
    return RequestPlan(name, stages, deadlineOf(call, spec.deadlineMs), rank, idempotent = true)
}

private fun servicePlan(catalogue: Catalogue, target: CallTarget.ServiceCall, call: RunCall): RequestPlan? {
    val pool = catalogue.pools[target.pool] ?: return null
    if (pool.stage != StageKind.SERVICE) return null
    val id = StageId(target.pool, target.operation)
    val stage = planStage(id, target.pool, pool, "", target.operation)
    val rank = catalogue.rankOf(call.priority.ifEmpty { pool.priority })
    val idempotent = target.operation !in pool.nonIdempotent
    return RequestPlan(target.pool, listOf(stage), deadlineOf(call, pool.deadlineMs), rank, idempotent)
}

private fun planStage(id: StageId, pool: String, spec: PoolSpec, model: String, operation: String) =
    PlanStage(id, pool, spec.stage, model, operation, spec.serviceMs)

private fun deadlineOf(call: RunCall, declared: Long): Long = if (call.deadlineMs > 0) call.deadlineMs else declared
