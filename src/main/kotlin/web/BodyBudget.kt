/*
 * Bounds the memory of request bodies. All bodies that are being received, or belong to requests without a complete
 * answer, share one budget; a connection without a request holds none of it.
 */
package org.sesamerouter.web

import io.netty.buffer.ByteBuf

private const val HEAP_DIVISOR = 4 // the rest is for the state of the process, and for copies on the way to targets
private const val LARGE_BODY_BYTES = 64 * 1024
private const val LARGE_BODIES_SHARE = 0.75 // the rest of the budget is for small bodies
private const val INITIAL_BYTES = 1_024

/** Returns the budget of a process with this heap. */
fun bodyBudgetOfHeap(onRejected: (bytes: Int, usedBytes: Long) -> Unit = { _, _ -> }): BodyBudget =
    BodyBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR, onRejected)

/**
 * A budget of [maxBytes]. It calls [onRejected] with the size of a body that it has no room for. Must be used on one
 * event loop.
 */
class BodyBudget(private val maxBytes: Long, private val onRejected: (bytes: Int, usedBytes: Long) -> Unit) {
    /** Bytes that are in use. */
    var usedBytes = 0L
        private set

    /** Makes a body that has [heldBytes] one of [neededBytes]; returns whether there is room for it. */
    internal fun resize(heldBytes: Int, neededBytes: Int): Boolean {
        val limit = if (neededBytes > LARGE_BODY_BYTES) (maxBytes * LARGE_BODIES_SHARE).toLong() else maxBytes
        val hasRoom = neededBytes <= heldBytes || usedBytes - heldBytes + neededBytes <= limit
        if (hasRoom) usedBytes += neededBytes - heldBytes else onRejected(neededBytes, usedBytes)
        return hasRoom
    }

    internal fun release(heldBytes: Int) {
        usedBytes -= heldBytes
    }
}

/** The body of a request that is being received; [declaredBytes] is its length, if the caller has sent one. */
internal class ReceivedBody(private val budget: BodyBudget, private val declaredBytes: Int?) {
    private var bytes = ByteArray(0)

    /** Number of bytes received so far. */
    var size = 0
        private set

    /** Bytes of the budget that this body holds. */
    val heldBytes: Int get() = bytes.size

    /** Adds [part]; returns false if the budget has no room for it. */
    fun add(part: ByteBuf): Boolean {
        val count = part.readableBytes()
        if (!ensureCapacity(size + count)) return false
        part.readBytes(bytes, size, count)
        size += count
        return true
    }

    private fun ensureCapacity(needed: Int): Boolean {
        if (needed <= bytes.size) return true
        val doubled = maxOf(needed, bytes.size * 2, INITIAL_BYTES)
        val capacity = if (declaredBytes != null && declaredBytes >= needed) minOf(doubled, declaredBytes) else doubled
        if (!budget.resize(bytes.size, capacity)) return false
        bytes = bytes.copyOf(capacity)
        return true
    }

    /** Returns the bytes received; they stay in the budget until [heldBytes] are released. */
    fun take(): ByteArray {
        if (size < bytes.size) {
            budget.resize(bytes.size, size)
            bytes = bytes.copyOf(size)
        }
        return bytes
    }

    /** Drops the bytes of a body that will not be handled. */
    fun discard() {
        budget.release(bytes.size)
        bytes = ByteArray(0)
        size = 0
    }
}
