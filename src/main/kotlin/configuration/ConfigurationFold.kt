/*
 * Deterministic fold of the configuration stream. All hosts fold the same records in the same order and therefore reach
 * the same resources, refusals and revision.
 *
 * Changes use optimistic concurrency: each one names the generation it is based on. Of concurrent changes the first in
 * log order is accepted and the others are refused. A duplicate change id is ignored, so a writer that lost the reply
 * to an append may append the change again. A snapshot is applied only if its record directly follows the offset it
 * covers. Any other snapshot is ignored and has to be written again, so a single retained snapshot always suffices.
 */
package org.sesamerouter.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.log.LogRecord

/** Maximum number of recent change outcomes that are retained, for deduplication by id and for reporting refusals. */
const val MAX_RETAINED_OUTCOMES = 1_024

/** A record of the configuration stream. */
@Serializable
sealed interface ConfigurationRecord {
    /**
     * A change to one resource.
     *
     * @property id unique id, assigned by the writer.
     * @property base generation the change is based on; 0 if the resource must not exist, null for any generation.
     * @property spec new spec, or null to delete the resource.
     */
    @Serializable
    @SerialName("change")
    data class Change(
        val id: String,
        val author: String,
        val kind: ResourceKind,
        val name: String,
        val base: Long?,
        val spec: JsonObject?,
    ) : ConfigurationRecord

    /** A snapshot of the state up to and including the offset [SnapshotState.revision]. */
    @Serializable
    @SerialName("snapshot")
    data class Snapshot(val state: SnapshotState) : ConfigurationRecord
}

/** Serialized form of a [ConfigurationState]. */
@Serializable
data class SnapshotState(
    val revision: Long,
    val resources: List<Resource>,
    val generations: List<LatestGeneration>,
    val outcomes: List<ChangeOutcome>,
)

/** Latest generation of a resource. Retained after deletion so that generations are never reused. */
@Serializable
data class LatestGeneration(val key: ResourceKey, val generation: Long)

/** Outcome of a change; [refusal] is null if it was accepted. */
@Serializable
data class ChangeOutcome(
    val id: String,
    val kind: ResourceKind,
    val name: String,
    val revision: Long,
    val generation: Long,
    val refusal: String? = null,
    val author: String = "",
)

/**
 * The configuration after folding all records up to and including [revision].
 *
 * @property revision offset of the last folded record, -1 if none.
 * @property outcomes outcomes of the latest [MAX_RETAINED_OUTCOMES] changes, oldest first.
 * @property snapshotRevision offset of the latest applied snapshot record, -1 if none.
 */
data class ConfigurationState(
    val revision: Long = -1,
    val resources: PersistentMap<ResourceKey, Resource> = persistentHashMapOf(),
    val generations: PersistentMap<ResourceKey, Long> = persistentHashMapOf(),
    val outcomes: PersistentList<ChangeOutcome> = persistentListOf(),
    val outcomesById: PersistentMap<String, ChangeOutcome> = persistentHashMapOf(),
    val snapshotRevision: Long = -1,
) {
    /** Returns the serialized form of this state, for a snapshot record. */
    fun toSnapshot(): SnapshotState = SnapshotState(
        revision,
        resources.values.sortedWith(compareBy({ it.kind }, { it.name })),
        generations.map { (key, generation) -> LatestGeneration(key, generation) }
            .sortedWith(compareBy({ it.key.kind }, { it.key.name })),
        outcomes,
    )

    /** Returns the state after folding [record]. Records at or before [revision] are ignored. */
    fun fold(record: LogRecord): ConfigurationState {
        if (record.offset <= revision) return this
        return when (val content = decode(record.payload)) {
            null -> copy(revision = record.offset)
            is ConfigurationRecord.Change -> foldChange(content, record.offset).copy(revision = record.offset)
            is ConfigurationRecord.Snapshot -> foldSnapshot(content.state, record.offset)
        }
    }

    private fun foldSnapshot(snapshot: SnapshotState, offset: Long): ConfigurationState {
        if (snapshot.revision + 1 != offset) return copy(revision = offset)
        val base = if (revision == snapshot.revision) this else snapshot.toState()
        return base.copy(revision = offset, snapshotRevision = offset)
    }

    private fun foldChange(change: ConfigurationRecord.Change, offset: Long): ConfigurationState {
        if (change.id in outcomesById) return this
        val key = ResourceKey(change.kind, change.name)
        val current = resources[key]
        val generation = current?.generation ?: 0
        val refusal = refusalOf(change, current)
        if (refusal != null) return withOutcome(change, offset, generation, refusal)
        val next = (generations[key] ?: 0) + 1
        val updated = when (change.spec) {
            null -> resources.remove(key)
            else -> resources.put(key, Resource(change.kind, change.name, next, offset, change.spec))
        }
        return copy(
            resources = updated,
            generations = generations.put(key, next),
        ).withOutcome(change, offset, next, null)
    }

    private fun refusalOf(change: ConfigurationRecord.Change, current: Resource?): String? {
        val generation = current?.generation ?: 0
        return when {
            change.base != null && change.base != generation ->
                "made from generation ${change.base}, but generation $generation is in force; get it and apply again"

            change.spec == null && current == null -> "there is nothing to delete; check kind and name"

            else -> null
        }
    }

    private fun withOutcome(
        change: ConfigurationRecord.Change,
        offset: Long,
        generation: Long,
        refusal: String?,
    ): ConfigurationState {
        val outcome =
            ChangeOutcome(change.id, change.kind, change.name, offset, generation, refusal, change.author)
        val isFull = outcomes.size >= MAX_RETAINED_OUTCOMES
        val retained = if (isFull) outcomes.removeAt(0) else outcomes
        val byId = if (isFull) outcomesById.remove(outcomes[0].id) else outcomesById
        return copy(outcomes = retained.add(outcome), outcomesById = byId.put(change.id, outcome))
    }
}

/** Restores the state from its serialized form. */
fun SnapshotState.toState(): ConfigurationState = ConfigurationState(
    revision,
    resources.associateBy { it.key }.toPersistentHashMap(),
    generations.associate { it.key to it.generation }.toPersistentHashMap(),
    outcomes.toPersistentList(),
    outcomes.associateBy { it.id }.toPersistentHashMap(),
)

/** Encodes [record] as a log payload. */
fun encode(record: ConfigurationRecord): String = WireJson.encodeToString(ConfigurationRecord.serializer(), record)

/** Decodes [payload], or returns null if it is not a configuration record. All hosts ignore such records. */
fun decode(payload: String): ConfigurationRecord? = WireJson.decodeOrNull(ConfigurationRecord.serializer(), payload)
