/*
 * Operator-facing representations of resources: status and watch events.
 */
package org.sesamerouter.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import org.sesamerouter.configuration.ChangeOutcome
import org.sesamerouter.configuration.Resource
import org.sesamerouter.configuration.ResourceKind

/** Types of watch events. */
@Serializable
enum class WatchEventType {
    @SerialName("listed")
    LISTED,

    @SerialName("accepted")
    ACCEPTED,

    @SerialName("settled")
    SETTLED,

    @SerialName("refused")
    REFUSED,
}

/** One watch event; a client resumes the watch from [revision]. */
@Serializable
data class WatchEvent(
    val type: WatchEventType,
    val kind: ResourceKind,
    val name: String,
    val generation: Long,
    val revision: Long,
    val refusal: String? = null,
    val waitingFor: List<String> = emptyList(),
) {
    internal companion object {
        fun accepted(outcome: ChangeOutcome, view: HostView) =
            of(WatchEventType.ACCEPTED, outcome, view.waitingFor(outcome.revision))

        fun settled(outcome: ChangeOutcome) = of(WatchEventType.SETTLED, outcome, emptyList())

        fun refused(outcome: ChangeOutcome) = of(WatchEventType.REFUSED, outcome, emptyList())

        fun listed(resource: Resource, view: HostView) = WatchEvent(
            WatchEventType.LISTED,
            resource.kind,
            resource.name,
            resource.generation,
            resource.revision,
            waitingFor = view.waitingFor(resource.revision),
        )

        private fun of(type: WatchEventType, outcome: ChangeOutcome, waitingFor: List<String>) = WatchEvent(
            type,
            outcome.kind,
            outcome.name,
            outcome.generation,
            outcome.revision,
            outcome.refusal,
            waitingFor,
        )
    }
}

/** A resource with its status. */
@Serializable
data class ResourceAnswer(
    val kind: ResourceKind,
    val name: String,
    val generation: Long,
    val revision: Long,
    val spec: JsonObject,
    val status: ResourceStatus,
)

/** Resources at a revision. */
@Serializable
data class ResourceList(val revision: Long, val items: List<ResourceAnswer>)

/** A rejected change with the reason. */
@Serializable
data class RefusedChange(val id: String, val author: String, val revision: Long, val reason: String)

/**
 * Rollout status of a resource.
 *
 * @property accepted whether its change was committed and took effect in log order.
 * @property settled whether all live hosts have applied it; otherwise [waitingFor] lists the hosts that have not.
 * @property refusals most recent rejected changes of the resource.
 */
@Serializable
data class ResourceStatus(
    val accepted: Boolean,
    val settled: Boolean,
    val waitingFor: List<String>,
    val refusals: List<RefusedChange>,
)

private const val MAX_SHOWN_REFUSALS = 5

/** Returns the operator-facing representation of [resource]. */
internal fun answerOf(resource: Resource, view: HostView): ResourceAnswer {
    val waitingFor = view.waitingFor(resource.revision)
    val refusals = view.configuration.outcomes
        .filter { it.kind == resource.kind && it.name == resource.name && it.refusal != null }
        .takeLast(MAX_SHOWN_REFUSALS)
        .map { RefusedChange(it.id, it.author, it.revision, it.refusal.orEmpty()) }
    val status = ResourceStatus(accepted = true, settled = waitingFor.isEmpty(), waitingFor, refusals)
    return ResourceAnswer(resource.kind, resource.name, resource.generation, resource.revision, resource.spec, status)
}
