/*
 * The fold of the configuration stream. Every host folds the same records in the same order and so comes to the same
 * resources, refusals and revision. A change names the generation that it was made from: of racing changes the first
 * in log order wins and the others are refused. A change id that stands twice counts once, so that a writer whose
 * reply was lost may be served by either copy. A snapshot counts only when its record directly follows the offset
 * that it covers; any later one is passed over and written again, so one retained snapshot is always enough.
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

/** Number of the latest change ids and refusals that the fold remembers. */
const val REMEMBERED_CHANGES = 1_024

/** A record of the configuration stream. */
@Serializable
sealed interface ConfigurationRecord {
    /**
     * A change of one resource.
     *
     * @property id made by the author, unique.
     * @property base generation that the change was made from, 0 for a resource that is not there, null for any.
     * @property spec new content; null deletes.
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

    /** Everything up to and with the offset [ConfigurationState.revision]. */
    @Serializable
    @SerialName("snapshot")
    data class Snapshot(val state: SnapshotState) : ConfigurationRecord
}

/** The serialized form of a [ConfigurationState]. */
@Serializable
data class SnapshotState(
    val revision: Long,
    val resources: List<Resource>,
    val generations: List<GenerationMark>,
    val outcomes: List<ChangeOutcome>,
)

/** The last generation that a resource had; kept after deletion so that generations never repeat. */
@Serializable
data class GenerationMark(val key: ResourceKey, val generation: Long)

/** What became of a change. */
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
 * The resources after folding every record up to and with [revision].
 *
 * @property revision offset of the last folded record, -1 for none.
 * @property outcomes of the latest [REMEMBERED_CHANGES] changes, oldest first.
 * @property snapshotRevision offset of the latest snapshot that counted, -1 for none.
 */
data class ConfigurationState(
    val revision: Long = -1,
    val resources: PersistentMap<ResourceKey, Resource> = persistentHashMapOf(),
    val generations: PersistentMap<ResourceKey, Long> = persistentHashMapOf(),
    val outcomes: PersistentList<ChangeOutcome> = persistentListOf(),
    val outcomesById: PersistentMap<String, ChangeOutcome> = persistentHashMapOf(),
    val snapshotRevision: Long = -1,
) {
    /** Returns the state for a snapshot record. */
    fun toSnapshot(): SnapshotState = SnapshotState(
        revision,
        resources.values.sortedWith(compareBy({ it.kind }, { it.name })),
        generations.map { (key, generation) -> GenerationMark(key, generation) }
            .sortedWith(compareBy({ it.key.kind }, { it.key.name })),
        outcomes,
    )

    /** Folds [record]; a record at or before [revision] is passed over. */
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
        if (refusal != null) return remember(change, offset, generation, refusal)
        val next = (generations[key] ?: 0) + 1
        val changed = when (change.spec) {
            null -> resources.remove(key)
            else -> resources.put(key, Resource(change.kind, change.name, next, offset, change.spec))
        }
        return copy(resources = changed, generations = generations.put(key, next)).remember(change, offset, next, null)
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

    private fun remember(
        change: ConfigurationRecord.Change,
        offset: Long,
        generation: Long,
        refusal: String?,
    ): ConfigurationState {
        val outcome =
            ChangeOutcome(change.id, change.kind, change.name, offset, generation, refusal, change.author)
        val full = outcomes.size >= REMEMBERED_CHANGES
        val kept = if (full) outcomes.removeAt(0) else outcomes
        val byId = if (full) outcomesById.remove(outcomes[0].id) else outcomesById
        return copy(outcomes = kept.add(outcome), outcomesById = byId.put(change.id, outcome))
    }
}

/** Returns the state that a snapshot holds. */
fun SnapshotState.toState(): ConfigurationState = ConfigurationState(
    revision,
    resources.associateBy { it.key }.toPersistentHashMap(),
    generations.associate { it.key to it.generation }.toPersistentHashMap(),
    outcomes.toPersistentList(),
    outcomes.associateBy { it.id }.toPersistentHashMap(),
)

/** Returns the payload of [record]. */
fun encode(record: ConfigurationRecord): String = WireJson.encodeToString(ConfigurationRecord.serializer(), record)

/** Returns the record in [payload], or null when it is none of ours: such a record changes nothing anywhere. */
fun decode(payload: String): ConfigurationRecord? = WireJson.decodeOrNull(ConfigurationRecord.serializer(), payload)
