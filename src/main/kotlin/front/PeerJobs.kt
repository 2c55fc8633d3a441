/*
 * The jobs of other hosts in the queues of this one, with the memory that their pieces take. Runs on the control
 * thread.
 */
package org.sesamerouter.front

import org.sesamerouter.batching.JobFailure
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.batching.StageJob
import org.sesamerouter.membership.StageReply
import org.sesamerouter.serving.PieceMemory

internal class PeerJobs(private val memory: PieceMemory) {
    private class PeerJob(val heldPieces: Long, val reply: (StageReply) -> Unit)

    private val jobs = HashMap<String, PeerJob>()

    val size: Int get() = jobs.size

    val ids: List<String> get() = jobs.keys.toList()

    operator fun contains(job: String): Boolean = job in jobs

    /** Adds [job], which ends with [reply]; returns false if there is no memory for its pieces. */
    fun add(job: StageJob, reply: (StageReply) -> Unit): Boolean {
        end(job.job, StageReply(JobOutcome(failure = JobFailure.CANCELLED)))
        val pieces = job.pieces.size.toLong() + job.inputs.size
        if (!memory.tryHold(pieces)) return false
        jobs[job.job] = PeerJob(pieces, reply)
        return true
    }

    /** Ends [job] with [reply]; returns false if it is no job of another host. */
    fun end(job: String, reply: StageReply): Boolean {
        val ended = jobs.remove(job) ?: return false
        memory.release(ended.heldPieces)
        ended.reply(reply)
        return true
    }
}
