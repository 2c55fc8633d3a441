/*
 * Resources declared by operators. Each has a name, a generation and a spec; its status is derived.
 */
package org.sesamerouter.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

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

    /** Name of the kind in paths and files. */
    val label: String get() = name.split('_').joinToString("") { it.lowercase().replaceFirstChar(Char::uppercase) }

    companion object {
        /** Returns the kind with [label], ignoring case, or null if there is none. */
        fun of(label: String): ResourceKind? = entries.firstOrNull { it.label.equals(label, ignoreCase = true) }
    }
}

/** Kind of work that the targets of a pool perform. */
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

/** Unique key of a resource. */
@Serializable
data class ResourceKey(val kind: ResourceKind, val name: String)

/** Typed spec of a resource. */
sealed interface Spec

/**
 * One target of a pool.
 *
 * @property address IPv4 address and port.
 * @property slots number of requests that the target runs concurrently.
 * @property checksFencing whether the target rejects orders with an outdated fencing number.
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
 * Targets of one pipeline stage or of one standalone service.
 *
 * @property nonIdempotent operations of a service that must not be retried.
 * @property serviceMs initial estimate of the service time, used until measurements are available.
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

/** One stage of a pipeline. For generation stages [model] is the name of a Model resource. */
@Serializable
data class StageSpec(val name: String, val pool: String, val model: String = "")

/** Stages that a request passes through in order, under a single deadline. */
@Serializable
data class PipelineSpec(val stages: List<StageSpec>, val deadlineMs: Long = 6_000, val priority: String = "") : Spec

/** One organisation: its [weight] for fair sharing and its limit of requests in progress per host. */
@Serializable
data class OrganisationSpec(val weight: Int = 1, val maxInProgress: Int = 1_000) : Spec

/** A priority class; requests with a lower [rank] are served first. */
@Serializable
data class PriorityClassSpec(val rank: Int) : Spec

/** A model that the engines of [pool] should keep loaded, on the first [replicas] of its targets. */
@Serializable
data class ModelSpec(
    val pool: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String = "both",
    val replicas: Int = Int.MAX_VALUE,
) : Spec

/** An accepted resource. [spec] is the JSON as submitted; [revision] is the log offset of the latest change. */
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

/** A declaration as written by operators. [generation] is the one it is based on, or null for any generation. */
@Serializable
data class Declaration(val kind: ResourceKind, val name: String, val spec: JsonObject, val generation: Long? = null)
