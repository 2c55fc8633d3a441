/*
 * Typed view of the accepted resources for the serving path. Specs are parsed once per revision and indexed by name, so
 * that planning a request needs only map lookups.
 */
package org.sesamerouter.configuration

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** Rank of requests whose priority class is not declared. Declared ranks range from 0 to 100. */
const val DEFAULT_RANK = 50

/** Typed resources of one revision. Immutable and therefore thread-safe. */
class Catalogue internal constructor(
    val revision: Long,
    val pools: ImmutableMap<String, PoolSpec>,
    val pipelines: ImmutableMap<String, PipelineSpec>,
    val organisations: ImmutableMap<String, OrganisationSpec>,
    val priorities: ImmutableMap<String, PriorityClassSpec>,
    val models: ImmutableMap<String, ModelSpec>,
) {
    /** Returns the rank of the priority class [name], or [DEFAULT_RANK] if it is not declared. */
    fun rankOf(name: String): Int = priorities[name]?.rank ?: DEFAULT_RANK
}

/**
 * Returns the catalogue of [state]. Resources whose spec does not parse are skipped; such changes are already rejected
 * when they are submitted.
 */
fun catalogueOf(state: ConfigurationState): Catalogue {
    val specs = state.resources.values.mapNotNull { r -> parseSpec(r.kind, r.name, r.spec).get()?.let { r.name to it } }
    return Catalogue(
        state.revision,
        specs.typed<PoolSpec>(),
        specs.typed<PipelineSpec>(),
        specs.typed<OrganisationSpec>(),
        specs.typed<PriorityClassSpec>(),
        specs.typed<ModelSpec>(),
    )
}

private inline fun <reified S : Spec> List<Pair<String, Spec>>.typed(): ImmutableMap<String, S> =
    mapNotNull { (name, spec) -> (spec as? S)?.let { name to it } }.toMap().toImmutableMap()
