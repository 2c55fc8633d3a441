/*
 * The memory that this host needs for the pieces of requests and of jobs of other hosts.
 */
package org.sesamerouter.serving

/** Counts pieces in a bounded memory. */
interface PieceMemory {
    /** Counts [pieces]; returns false and counts nothing if there is no room for them. */
    fun tryHold(pieces: Long): Boolean

    /** Returns what [pieces] held. */
    fun release(pieces: Long)

    /** Bytes that [pieces] take. */
    fun bytesOf(pieces: Long): Long

    /** Bytes that are free. */
    val freeBytes: Long
}

/** A memory without a bound. */
internal object UnboundedPieceMemory : PieceMemory {
    override val freeBytes get() = Long.MAX_VALUE

    override fun tryHold(pieces: Long) = true

    override fun release(pieces: Long) = Unit

    override fun bytesOf(pieces: Long) = 0L
}
