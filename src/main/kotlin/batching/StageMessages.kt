/*
 * The work of stage pools: jobs, their pieces, calls to targets, and what the owner of a queue has to do.
 */
package org.sesamerouter.batching

import kotlinx.serialization.Serializable
import org.sesamerouter.discovery.TargetEntry

/** One piece; pieces without inputs start from [key]. */
@Serializable
data class Piece(val number: Int, val key: String? = null, val inputs: List<String> = emptyList())

/**
 * The pieces of one stage of one request.
 *
 * @property request the caller's id of the request.
 * @property aimLeftMs time until the stage has to be done for the request to meet its objective.
 * @property deadlineLeftMs time until the result is of no use.
 * @property stagesLeft stages of the request that follow this one.
 * @property dataCentre where large results will probably be read; null when it does not matter.
 * @property hasWorkBehind whether other stages of the request are done, whose work is lost with this job.
 */
@Serializable
data class StageJob(
    val job: String,
    val request: String,
    val service: String,
    val stage: Int,
    val pieces: List<Piece>,
    val resultBytes: Long,
    val rank: Int,
    val aimLeftMs: Long,
    val deadlineLeftMs: Long,
    val stagesLeft: Int = 0,
    val dataCentre: String? = null,
    val hasWorkBehind: Boolean = false,
)

/** Why a job ended without results. */
@Serializable
enum class JobFailure { LATE, INPUT_GONE, FAILED, CANCELLED, MOVED }

/** Results of a job in the order of its pieces, or why there are none. */
@Serializable
data class JobOutcome(val handles: List<String> = emptyList(), val failure: JobFailure? = null)

/** Time in ms that a job takes which has to be done in [dueMs] or a little later. */
@Serializable
data class DueTime(val dueMs: Long, val expectedMs: Double)

/** Times in ms by rank, each holding for the lower ones up to the next entry; of one rank by the time that is left. */
@Serializable
data class RankedTimes(private val byRank: Map<Int, List<DueTime>>) {
    /**
     * Returns the time that a job of [rank] takes which has to be done in [dueMs]: those due earlier go first. Null
     * where nothing is known.
     */
    fun of(rank: Int, dueMs: Long): Double? {
        val times = byRank.filterKeys { it <= rank }.maxByOrNull { it.key }?.value ?: return null
        return (times.lastOrNull { it.dueMs <= dueMs } ?: times.first()).expectedMs
    }
}

/** One piece within a call. */
data class CallItem(val request: String, val stage: Int, val piece: Piece, val leftMs: Long)

/** What became of one piece of a call. */
sealed interface PieceOutcome {
    data class Made(val handle: String) : PieceOutcome

    data object Late : PieceOutcome

    data object InputGone : PieceOutcome

    data object NoRoom : PieceOutcome

    data object Failed : PieceOutcome
}

/** How a call ended. */
sealed interface CallOutcome {
    /** The target answered for every item, in their order. */
    data class Answered(val items: List<PieceOutcome>) : CallOutcome

    /** The target did not take the call. */
    data object Refused : CallOutcome

    /** The call failed. */
    data class Failed(val cause: String) : CallOutcome
}

/** What the owner of a queue has to do. */
sealed interface PoolEffect {
    /** Makes [items] at [target], whose results take [usedBytes] with these. */
    data class Call(
        val call: Long,
        val target: TargetEntry,
        val items: List<CallItem>,
        val timeoutMs: Long,
        val usedBytes: Long,
    ) : PoolEffect

    /** Frees [handles]; [release] is to be given back once the target has done so. */
    data class Free(val release: Long, val target: TargetEntry, val handles: List<String>) : PoolEffect

    /** Targets have probably fetched [inputs], so their makers may free them if they need the room. */
    data class InputsRead(val inputs: List<String>) : PoolEffect

    data class Done(val job: String, val outcome: JobOutcome) : PoolEffect
}
