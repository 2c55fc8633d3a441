/*
 * A call as it is filled.
 */
package org.sesamerouter.batching

import org.sesamerouter.serving.BatchSpec

/** A call to a target with [room] bytes for results. */
internal class CallFill(private val spec: BatchSpec, private var room: Long) {
    val items = ArrayList<QueuedPiece>()
    val places: Int get() = spec.maxPieces - items.size

    /** Whether a piece was left out for lack of room. */
    var lacksRoom = false
        private set

    /** Takes in pieces of [job], as many as there are places and room for. */
    fun add(job: QueuedJob) {
        val fitting = if (job.spec.resultBytes == 0L) Int.MAX_VALUE else (room / job.spec.resultBytes).toInt()
        val count = minOf(places, fitting, job.waiting.size)
        if (fitting < minOf(places, job.waiting.size)) lacksRoom = true
        val isSplit = count < job.waiting.size
        if (count <= 0 || (isSplit && !mayBeSplit(job, fitting))) return
        items += job.waiting.take(count)
        room -= count * job.spec.resultBytes
    }

    /** Half a job holds room that others need, so a job is not split for lack of room. */
    private fun mayBeSplit(job: QueuedJob, fitting: Int): Boolean {
        val isTooLarge = job.spec.pieces.size > spec.maxPieces ||
            job.spec.pieces.size * job.spec.resultBytes > spec.roomBytes * ROOM_SHARE
        return job.isBegun || isTooLarge || fitting >= places
    }
}
