/*
 * Work that is on its way to a pool: the later stages of requests whose jobs are in the queue of an earlier pool. The
 * owner of that queue knows them from the jobs and reports them, so that admission counts them before they arrive.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.sesamerouter.batching

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

private const val MAX_DUE_GROUPS = 4 // for each rank and pool; finer steps would differ by less than one call

/**
 * A stage that the request of a job runs after the stage of the job.
 *
 * @property afterMs time from when the job is due until this stage is due.
 */
@Serializable
data class LaterStage(
    @CborLabel(1) val service: String,
    @CborLabel(2) val pieces: Int,
    @CborLabel(3) val afterMs: Long,
)

/** Number of pieces that are due in [dueMs] or earlier. */
@Serializable
data class DuePieces(@CborLabel(1) val dueMs: Long, @CborLabel(2) val pieces: Int)

/** The pieces that are on their way to the pool [service], by rank and cumulative by due time. */
@Serializable
data class AnnouncedPieces(
    @CborLabel(1) val service: String,
    @CborLabel(2) private val byRank: Map<Int, List<DuePieces>>,
) {
    /** Returns the number of pieces that run before a job of [rank] that is due in [dueMs]. */
    fun ahead(rank: Int, dueMs: Long): Long = byRank.entries.filter { it.key <= rank }.sumOf { (_, groups) ->
        groups.lastOrNull { it.dueMs <= dueMs }?.pieces?.toLong() ?: 0L
    }
}

/** Returns what [jobs] announce for later pools, by pool. */
internal fun announcedPieces(jobs: Collection<QueuedJob>, now: Long): List<AnnouncedPieces> {
    val announced = jobs.flatMap { job -> job.spec.later.map { job to it } }
    return announced.groupBy { it.second.service }.map { (service, stages) ->
        val byRank = stages.groupBy({ it.first.spec.rank }) { (job, later) ->
            DuePieces(job.dueAtMs + later.afterMs - now, later.pieces)
        }
        AnnouncedPieces(service, byRank.mapValues { cumulative(it.value) })
    }
}

private fun cumulative(pieces: List<DuePieces>): List<DuePieces> {
    var sum = 0L
    return pieces.sortedBy { it.dueMs }.chunked((pieces.size + MAX_DUE_GROUPS - 1) / MAX_DUE_GROUPS).map { group ->
        sum += group.sumOf { it.pieces.toLong() }
        DuePieces(group.last().dueMs, sum.coerceAtMost(Int.MAX_VALUE.toLong()).toInt())
    }
}
