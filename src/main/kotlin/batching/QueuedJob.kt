/*
 * A job in the queue of a pool, with its pieces.
 */
package org.sesamerouter.batching

import org.sesamerouter.serving.BatchSpec

private const val LATE_JOB_TIMEOUT_MS = 1_500L // in a backlog, a job not started by then is unlikely to run
private const val UNSCHEDULABLE_TIMEOUT_MS = 250L // 1/8 of the usual objectives; later is too late to reject
private const val NEVER_SCHEDULABLE_TIMEOUT_MS = 150L // the rest of 0.25 s is the way back to the caller and its ticks
private const val FIRST_CHECK_MS = SCHEDULE_INTERVAL_MS + 25 // the next check, at the tick after it
private const val INPUT_FETCH_MS = 60L // an idle target fetches the inputs of a call within a few ms

internal class QueuedJob(val spec: StageJob, val enqueuedAtMs: Long, val sequence: Long) {
    val dueAtMs = enqueuedAtMs + spec.objectiveLeftMs
    val deadlineMs = enqueuedAtMs + spec.deadlineLeftMs
    val waiting = WaitingPieces(this)
    val isStarted get() = running > 0 || made > 0
    private val handles = arrayOfNulls<String>(spec.pieces.size)
    private var made = 0

    /** Whether all pieces were made. */
    val isComplete get() = made == handles.size

    /** The results of the pieces that were made, by their number. */
    val results: List<String> get() = handles.filterNotNull()
    var isEnded = false
    var running = 0
    var lastStartMs = 0L

    /** Number of running pieces whose call may wait at its target behind a call that this queue did not start. */
    var possiblyQueuedPieces = 0

    /** Since when the job cannot be finished in time because of other jobs; null while it can. */
    var unschedulableSinceMs: Long? = null
    var areInputsReported = spec.inputs.isEmpty()

    /** Records the result [handle] of the piece with the number [index]. */
    fun onMade(index: Int, handle: String) {
        handles[index] = handle
        made++
    }

    /**
     * Returns true for a late job that has not started for so long that it would only keep waiting. A job that other
     * jobs made unschedulable, and whose request has no completed work to lose, is dropped earlier so that its caller
     * is informed early.
     */
    fun shouldDrop(now: Long, pool: BatchSpec): Boolean {
        if (isStarted) return false
        val sinceMs = unschedulableSinceMs
        val wasFeasible = spec.objectiveLeftMs >= pool.expectedMs(pool.maxPieces)
        if (sinceMs != null && wasFeasible && !spec.hasCompletedStages) {
            val wasNeverSchedulable = sinceMs - enqueuedAtMs <= FIRST_CHECK_MS
            return if (wasNeverSchedulable) {
                now - enqueuedAtMs >= NEVER_SCHEDULABLE_TIMEOUT_MS
            } else {
                now - sinceMs >= UNSCHEDULABLE_TIMEOUT_MS
            }
        }
        return now > dueAtMs && now - enqueuedAtMs >= LATE_JOB_TIMEOUT_MS
    }

    /** When the results of a call that ended at [now] are gone or useless. */
    fun resultsEndMs(now: Long, pool: BatchSpec): Long =
        minOf(enqueuedAtMs + spec.resultLeftMs, now + pool.resultLifeMs)

    /** Whether the targets have probably fetched all inputs and this has not been reported yet. */
    fun hasUnreportedFetch(now: Long): Boolean =
        !areInputsReported && possiblyQueuedPieces == 0 && waiting.isEmpty() && running > 0 &&
            now - lastStartMs >= INPUT_FETCH_MS
}

internal class QueuedPiece(val job: QueuedJob, val index: Int) {
    var attempts = 0
    val piece get() = job.spec.pieces[index]
}

/** The pieces of [job] that wait for a call. Those that were in no call yet are a number only. */
internal class WaitingPieces(private val job: QueuedJob) {
    private val total = job.spec.pieces.size
    private var next = 0
    private val returned = ArrayDeque<QueuedPiece>()

    val size: Int get() = total - next + returned.size

    fun isEmpty(): Boolean = size == 0

    fun isNotEmpty(): Boolean = size > 0

    /** Adds [piece], whose call did not make it. */
    fun add(piece: QueuedPiece) = returned.addLast(piece)

    /** Removes the first [count] pieces for a call. */
    fun take(count: Int): List<QueuedPiece> = List(count) {
        if (next < total) QueuedPiece(job, next++) else returned.removeFirst()
    }

    fun clear() {
        next = total
        returned.clear()
    }
}
