/*
 * Types of stage pools: jobs, their pieces, calls to targets, and the actions that the owner of a queue executes.
 */
package org.sesamerouter.batching

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.sesamerouter.discovery.TargetEntry

/** One unit of work of a stage. A piece without [inputs] is computed from [key]. */
@Serializable
data class Piece(val number: Int, val key: String? = null, val inputs: List<String> = emptyList())

/**
 * The pieces of one stage of one request, which differ by their number alone.
 *
 * @property request the request id that the caller set.
 * @property rank the priority; lower values have a higher priority.
 * @property objectiveLeftMs time until the stage has to be finished for the request to meet its latency objective.
 * @property deadlineLeftMs time after which the result is useless.
 * @property stagesLeft number of stages of the request that follow this one.
 * @property dataCentre the data centre that will probably read large results; null if the location does not matter.
 * @property hasCompletedStages whether other stages of the request are finished; their work is lost if this job fails.
 * @property resultLeftMs time until the request ends, after which nobody needs the results.
 * @property inputMakers hosts whose queues count the inputs.
 * @property organisation the organisation that shares its rank in the pool evenly with others; empty if unknown.
 * @property isReturn whether the caller comes back after a rejection; within its organisation it gives way to others.
 * @property later stages of the request that follow and that no other job of it announces.
 */
@Serializable
data class StageJob(
    val job: String,
    val request: String,
    val service: String,
    val stage: Int,
    @Serializable(with = PieceListSerializer::class) val pieces: List<Piece>,
    val resultBytes: Long,
    val rank: Int,
    @SerialName("aimLeftMs") val objectiveLeftMs: Long,
    val deadlineLeftMs: Long,
    val stagesLeft: Int = 0,
    val dataCentre: String? = null,
    @SerialName("hasWorkBehind") val hasCompletedStages: Boolean = false,
    val resultLeftMs: Long = deadlineLeftMs,
    val inputMakers: List<String> = emptyList(),
    val later: List<LaterStage> = emptyList(),
    val organisation: String = "",
    val isReturn: Boolean = false,
) {
    /** The results that each piece reads. */
    val inputs: List<String> get() = pieces.firstOrNull()?.inputs.orEmpty()
}

/** The reason why a job ended without results. */
@Serializable
enum class JobFailure { LATE, INPUT_GONE, FAILED, CANCELLED, MOVED }

/** The result handles of a job in the order of its pieces, or the reason why there are none. */
@Serializable
data class JobOutcome(val handles: List<String> = emptyList(), val failure: JobFailure? = null)

/** The expected duration of a job that is due in [dueMs], or later but before the next entry. */
@Serializable
data class DueTime(val dueMs: Long, val expectedMs: Double)

/**
 * Expected durations by rank and, within a rank, by due time. The entry of a rank applies to all lower priorities up to
 * the next entry.
 */
@Serializable
data class RankedTimes(private val byRank: Map<Int, List<DueTime>>) {
    /**
     * Returns the expected duration of a job of [rank] that is due in [dueMs]; jobs due earlier run first. Returns null
     * if there is no estimate.
     */
    fun of(rank: Int, dueMs: Long): Double? {
        val times = byRank.filterKeys { it <= rank }.maxByOrNull { it.key }?.value ?: return null
        return (times.lastOrNull { it.dueMs <= dueMs } ?: times.first()).expectedMs
    }
}

/** One piece of a call. */
data class CallItem(val request: String, val stage: Int, val piece: Piece, val leftMs: Long)

/** The outcome of one piece of a call. */
sealed interface PieceOutcome {
    data class Made(val handle: String) : PieceOutcome

    data object Late : PieceOutcome

    data object InputGone : PieceOutcome

    data object NoRoom : PieceOutcome

    data object Failed : PieceOutcome
}

/** The outcome of a call. */
sealed interface CallOutcome {
    /** The target returned an outcome for every item, in the order of the items. */
    data class Answered(val items: List<PieceOutcome>) : CallOutcome

    /** The target refused the call without running it. */
    data object Refused : CallOutcome

    /** The call failed; the target may have run it. */
    data class Failed(val cause: String) : CallOutcome
}

/** An action that the owner of a queue has to execute. */
sealed interface PoolEffect {
    /**
     * Runs [items] at [target].
     *
     * @property usedBytes space that results at the target use, including those of this call.
     * @property oldestMs time for which the oldest of the items has waited.
     */
    data class Call(
        val call: Long,
        val target: TargetEntry,
        val items: List<CallItem>,
        val timeoutMs: Long,
        val usedBytes: Long,
        val oldestMs: Long = 0,
    ) : PoolEffect

    /** Frees [handles]; pass [release] to [PieceQueue.onFreed] once the target has confirmed it. */
    data class Free(val release: Long, val target: TargetEntry, val handles: List<String>) : PoolEffect

    /**
     * Reports that targets have probably fetched [inputs], which the queues of the hosts [makers] count, so that the
     * targets that hold them may free them if needed.
     */
    data class InputsFetched(val inputs: List<String>, val makers: List<String>) : PoolEffect

    /** Asks [target] for its free space; pass the reply to [PieceQueue.onSpaceReport]. */
    data class AskSpace(val target: TargetEntry) : PoolEffect

    data class Done(val job: String, val outcome: JobOutcome) : PoolEffect
}
