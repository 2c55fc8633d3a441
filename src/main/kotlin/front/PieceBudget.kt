/*
 * Counts the pieces of requests and jobs in the memory budget that all connections of the process share.
 */
package org.sesamerouter.front

import org.sesamerouter.serving.PieceMemory
import org.sesamerouter.web.MemoryBudget

// A handle in the job, in its request and in the header for the target, and the state of the piece in the queue.
private const val PIECE_BYTES = 512L

internal class PieceBudget(private val budget: MemoryBudget) : PieceMemory {
    override val freeBytes get() = budget.freeBytes

    override fun tryHold(pieces: Long) = pieces == 0L || budget.reserve(bytesOf(pieces), heldBytes = 0)

    override fun release(pieces: Long) = budget.release(bytesOf(pieces))

    override fun bytesOf(pieces: Long) = pieces * PIECE_BYTES
}
