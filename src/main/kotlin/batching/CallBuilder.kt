/*
 * Assembles the pieces of one batch call.
 */
package org.sesamerouter.batching

import org.sesamerouter.serving.BatchSpec

/** Assembles a call of up to [maxPieces] pieces to a target with [availableBytes] of space for results. */
internal class CallBuilder(
    private val spec: BatchSpec,
    private var availableBytes: Long,
    private val maxPieces: Int = spec.maxPieces,
) {
    private val parts = ArrayList<Pair<QueuedJob, Int>>()

    /** Number of pieces of the call. */
    var size = 0
        private set
    val remainingPieces: Int get() = maxPieces - size

    /** Whether a piece was left out because its result would not fit into the available space. */
    var isOutOfSpace = false
        private set

    /** Adds as many pieces of [job] as the call and the available space allow. */
    fun add(job: QueuedJob) {
        val fitCount = fitCount(job.spec.resultBytes)
        val count = minOf(remainingPieces, fitCount, job.waiting.size)
        if (fitCount < minOf(remainingPieces, job.waiting.size)) isOutOfSpace = true
        val isSplit = count < job.waiting.size
        if (count <= 0 || (isSplit && !canSplit(job, fitCount))) return
        parts += job to count
        size += count
        availableBytes -= count * job.spec.resultBytes
    }

    private fun fitCount(resultBytes: Long): Int =
        if (resultBytes == 0L) Int.MAX_VALUE else minOf(availableBytes / resultBytes, Int.MAX_VALUE.toLong()).toInt()

    /** Removes the pieces of the call from those that wait in their jobs. */
    fun takeItems(): List<QueuedPiece> = parts.flatMap { (job, count) -> job.waiting.take(count) }

    /** A partial job takes space that others need, so a job is not split for lack of space unless it is too large. */
    private fun canSplit(job: QueuedJob, fitCount: Int): Boolean {
        val isTooLarge = job.spec.pieces.size > maxPieces ||
            job.spec.pieces.size.toDouble() * job.spec.resultBytes > spec.resultSpaceBytes * USABLE_SPACE_SHARE
        return job.isStarted || isTooLarge || fitCount >= remainingPieces
    }
}
