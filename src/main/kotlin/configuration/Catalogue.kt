/*
 * The typed view of the accepted resources that the serving path reads: specs parsed once for each revision, names
 * resolved, so that a request finds its whole plan in one lookup.
 */
package org.sesamerouter.configuration

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** Rank of a request whose priority class is not declared; declared classes run from 0 to 100. */
const val DEFAULT_RANK = 50

/** The resources of one revision, typed. Immutable, so any thread may read it. */
class Catalogue internal constructor(
    val revision: Long,
    val pools: ImmutableMap<String, PoolSpec>,
    val pipelines: ImmutableMap<String, PipelineSpec>,
    val organisations: ImmutableMap<String, OrganisationSpec>,
    val priorities: ImmutableMap<String, PriorityClassSpec>,
    val models: ImmutableMap<String, ModelSpec>,
) {
    /** Returns the rank of the priority class [name], or the default one. */
    fun rankOf(name: String): Int = priorities[name]?.rank ?: DEFAULT_RANK
}

/** Returns the catalogue of [state]. A resource that does not parse is left out; admission refuses such changes. */
fun catalogueOf(state: ConfigurationState): Catalogue {
    val specs = state.resources.values.mapNotNull { r -> readSpec(r.kind, r.name, r.spec).get()?.let { r.name to it } }
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
