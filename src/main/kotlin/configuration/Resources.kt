/*
 * The resources that operators declare. Each has a name, a generation and a spec; the status is derived.
 */
package org.sesamerouter.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** Kinds of resources. */
@Serializable
enum class ResourceKind {
    @SerialName("Pipeline")
    PIPELINE,

    @SerialName("Pool")
    POOL,

    @SerialName("Organisation")
    ORGANISATION,

    @SerialName("PriorityClass")
    PRIORITY_CLASS,

    @SerialName("Model")
    MODEL,
    ;

    /** The name in paths and files. */
    val label: String get() = name.split('_').joinToString("") { it.lowercase().replaceFirstChar(Char::uppercase) }

    companion object {
        /** Returns the kind with [label], in any case, or null. */
        fun of(label: String): ResourceKind? = entries.firstOrNull { it.label.equals(label, ignoreCase = true) }
    }
}

/** What the targets of a pool do. */
@Serializable
enum class StageKind {
    @SerialName("encode")
    ENCODE,

    @SerialName("retrieve")
    RETRIEVE,

    @SerialName("rerank")
    RERANK,

    @SerialName("generate")
    GENERATE,

    @SerialName("service")
    SERVICE,
}

/** Identity of a resource. */
@Serializable
data class ResourceKey(val kind: ResourceKind, val name: String)

/** Typed content of a resource. */
sealed interface Spec

/**
 * One target of a pool.
 *
 * @property address IP and port.
 * @property slots requests that the target runs side by side.
 * @property checksFencing whether the target refuses an order with an old fencing number.
 */
@Serializable
data class TargetSpec(
    val name: String,
    val address: String,
    val dataCentre: String = "",
    val slots: Int = 4,
    val checksFencing: Boolean = false,
)

/**
 * Targets of one stage or of one plain service.
 *
 * @property nonIdempotent operations of a service that may not be repeated.
 * @property serviceMs expected service time until measurements replace it.
 */
@Serializable
data class PoolSpec(
    val stage: StageKind,
    val targets: List<TargetSpec>,
    val nonIdempotent: List<String> = emptyList(),
    val serviceMs: Long = 50,
    val deadlineMs: Long = 2_000,
    val priority: String = "",
) : Spec

/** One stage of a pipeline; [model] names a Model resource for generating stages. */
@Serializable
data class StageSpec(val name: String, val pool: String, val model: String = "")

/** Stages that a request passes in order, under one deadline. */
@Serializable
data class PipelineSpec(val stages: List<StageSpec>, val deadlineMs: Long = 6_000, val priority: String = "") : Spec

/** One organisation: its [weight] in fair sharing and its bound of requests in progress on one host. */
@Serializable
data class OrganisationSpec(val weight: Int = 1, val maxInProgress: Int = 1_000) : Spec

/** A priority; a lower [rank] is served first. */
@Serializable
data class PriorityClassSpec(val rank: Int) : Spec

/** A model that the engines of [pool] should have loaded. */
@Serializable
data class ModelSpec(
    val pool: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String = "both",
    val replicas: Int = Int.MAX_VALUE,
) : Spec

/** An accepted resource. [spec] keeps the JSON that the operator wrote; [revision] is the log offset of the change. */
@Serializable
data class Resource(
    val kind: ResourceKind,
    val name: String,
    val generation: Long,
    val revision: Long,
    val spec: JsonObject,
) {
    val key: ResourceKey get() = ResourceKey(kind, name)
}

/** A declaration as operators write it; [generation] is the one that it was made from, null for whatever is there. */
@Serializable
data class Declaration(val kind: ResourceKind, val name: String, val spec: JsonObject, val generation: Long? = null)
