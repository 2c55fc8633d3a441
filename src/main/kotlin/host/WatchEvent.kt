/*
 * What operators read of resources: status and the events of a watch.
 */
package org.sesamerouter.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import org.sesamerouter.configuration.ChangeOutcome
import org.sesamerouter.configuration.Resource
import org.sesamerouter.configuration.ResourceKind

/** Kinds of events of a watch. */
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

/** One event of a watch; [revision] is where to watch on from. */
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
        fun accepted(o: ChangeOutcome, view: HostView) = of(WatchEventType.ACCEPTED, o, view.waitingFor(o.revision))

        fun settled(o: ChangeOutcome) = of(WatchEventType.SETTLED, o, emptyList())

        fun refused(o: ChangeOutcome) = of(WatchEventType.REFUSED, o, emptyList())

        fun listed(r: Resource, view: HostView) = WatchEvent(
            WatchEventType.LISTED,
            r.kind,
            r.name,
            r.generation,
            r.revision,
            waitingFor = view.waitingFor(r.revision),
        )

        private fun of(type: WatchEventType, o: ChangeOutcome, waitingFor: List<String>) =
            WatchEvent(type, o.kind, o.name, o.generation, o.revision, o.refusal, waitingFor)
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

/** A list of resources at a revision. */
@Serializable
data class ResourceList(val revision: Long, val items: List<ResourceAnswer>)

/** A change that lost, with the reason. */
@Serializable
data class RefusedChange(val id: String, val author: String, val revision: Long, val reason: String)

/**
 * How far a resource has come.
 *
 * @property accepted whether its change was committed in log order and won.
 * @property settled whether every live host has it in force; otherwise [waitingFor] names those that do not.
 * @property refusals latest changes of it that lost.
 */
@Serializable
data class ResourceStatus(
    val accepted: Boolean,
    val settled: Boolean,
    val waitingFor: List<String>,
    val refusals: List<RefusedChange>,
)

private const val SHOWN_REFUSALS = 5

/** Returns [resource] as operators read it. */
internal fun answerOf(resource: Resource, view: HostView): ResourceAnswer {
    val waitingFor = view.waitingFor(resource.revision)
    val refusals = view.configuration.outcomes
        .filter { it.kind == resource.kind && it.name == resource.name && it.refusal != null }
        .takeLast(SHOWN_REFUSALS)
        .map { RefusedChange(it.id, it.author, it.revision, it.refusal.orEmpty()) }
    val status = ResourceStatus(accepted = true, settled = waitingFor.isEmpty(), waitingFor, refusals)
    return ResourceAnswer(resource.kind, resource.name, resource.generation, resource.revision, resource.spec, status)
}
