/*
 * Parses and validates the JSON spec of a declaration. All validation errors are reported, each with a remedy.
 */
package org.sesamerouter.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import org.sesamerouter.api.StrictJson

private val namePattern = Regex("[a-z0-9][a-z0-9-]{0,62}")

/** Parses the [spec] of a resource of [kind] and [name], or returns all of its faults. */
fun parseSpec(kind: ResourceKind, name: String, spec: JsonObject): Result<Spec, List<SpecFault>> {
    val typed = try {
        StrictJson.decodeFromJsonElement(serializerOf(kind), spec)
    } catch (e: SerializationException) {
        return Err(listOf(SpecFault("spec", firstLine(e), "correct the key or its type, see docs/API.md")))
    } catch (e: IllegalArgumentException) {
        return Err(listOf(SpecFault("spec", firstLine(e), "correct the value, see docs/API.md")))
    }
    val faults = nameFaults("name", name) + specFaults(typed)
    return if (faults.isEmpty()) Ok(typed) else Err(faults)
}

private fun firstLine(e: Exception): String = e.message.orEmpty().lineSequence().first()

@Suppress("UNCHECKED_CAST")
private fun serializerOf(kind: ResourceKind): KSerializer<Spec> = when (kind) {
    ResourceKind.PIPELINE -> PipelineSpec.serializer()
    ResourceKind.POOL -> PoolSpec.serializer()
    ResourceKind.ORGANISATION -> OrganisationSpec.serializer()
    ResourceKind.PRIORITY_CLASS -> PriorityClassSpec.serializer()
    ResourceKind.MODEL -> ModelSpec.serializer()
} as KSerializer<Spec>

private fun specFaults(spec: Spec): List<SpecFault> = when (spec) {
    is PipelineSpec -> pipelineFaults(spec)

    is PoolSpec -> poolFaults(spec)

    is OrganisationSpec -> listOfNotNull(
        rangeFault("spec.weight", spec.weight.toLong(), 1L..10_000L),
        rangeFault("spec.max_in_progress", spec.maxInProgress.toLong(), 1L..1_000_000L),
    )

    is PriorityClassSpec -> listOfNotNull(rangeFault("spec.rank", spec.rank.toLong(), 0L..100L))

    is ModelSpec -> nameFaults("spec.pool", spec.pool) +
        listOfNotNull(rangeFault("spec.replicas", spec.replicas.toLong(), 1L..Int.MAX_VALUE.toLong()))
}

private fun pipelineFaults(spec: PipelineSpec): List<SpecFault> {
    val count = rangeFault("spec.stages", spec.stages.size.toLong(), 1L..16L)
    val deadline = rangeFault("spec.deadline_ms", spec.deadlineMs, 1L..3_600_000L)
    val names = spec.stages.flatMapIndexed { i, stage ->
        nameFaults("spec.stages[$i].name", stage.name) + nameFaults("spec.stages[$i].pool", stage.pool)
    }
    return listOfNotNull(count, deadline) + names
}

private fun poolFaults(spec: PoolSpec): List<SpecFault> {
    val ranges = listOfNotNull(
        rangeFault("spec.service_ms", spec.serviceMs, 1L..600_000L),
        rangeFault("spec.deadline_ms", spec.deadlineMs, 1L..3_600_000L),
    )
    val targets = spec.targets.flatMapIndexed { i, target ->
        val path = "spec.targets[$i]"
        nameFaults("$path.name", target.name) + listOfNotNull(
            rangeFault("$path.slots", target.slots.toLong(), 1L..100_000L),
            addressFault("$path.address", target.address),
        )
    }
    val duplicates = spec.targets.groupBy { it.name }.filterValues { it.size > 1 }.keys.map {
        SpecFault("spec.targets", "duplicate target name $it", "give each target of the pool a unique name")
    }
    return ranges + targets + duplicates
}

private fun nameFaults(path: String, name: String): List<SpecFault> {
    if (namePattern.matches(name)) return emptyList()
    return listOf(SpecFault(path, "'$name' is not a valid name", "use 1 to 63 of a-z, 0-9 and '-', not '-' first"))
}
