/*
 * A job in the queue of a pool, and its pieces.
 */
package org.sesamerouter.batching

private const val FETCH_MS = 60L // a target that was free fetches the inputs of a call within a few ms

internal class QueuedJob(val spec: StageJob, val addedMs: Long, val sequence: Long) {
    val aimMs = addedMs + spec.aimLeftMs
    val deadlineMs = addedMs + spec.deadlineLeftMs
    val waiting = ArrayList<QueuedPiece>()
    val isBegun get() = running > 0 || handles.any { it != null }
    val handles = arrayOfNulls<String>(spec.pieces.size)
    var isEnded = false
    var running = 0
    var lastStartMs = 0L

    /** Running pieces whose call may wait at its target behind one that the queue did not start. */
    var queuedPieces = 0

    /** Since when it could not be done in time beside the others; null while it can. */
    var crowdedOutMs: Long? = null
    var areInputsRead = spec.pieces.all { it.inputs.isEmpty() }

    /** Whether the targets have probably fetched all inputs, and nobody was told so far. */
    fun isFetched(now: Long): Boolean =
        !areInputsRead && queuedPieces == 0 && waiting.isEmpty() && running > 0 && now - lastStartMs >= FETCH_MS
}

internal class QueuedPiece(val job: QueuedJob, val index: Int) {
    var tries = 0
    val piece get() = job.spec.pieces[index]
}
