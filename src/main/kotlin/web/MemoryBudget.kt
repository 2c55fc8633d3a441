/*
 * Bounds the memory that a process holds for others: decoded heads while they are read and while their request lasts,
 * bodies, input that is not decoded yet, and responses that are not written yet. All connections share one budget; it
 * counts estimated bytes of memory and not bytes on the wire. A connection without a request holds none of it.
 */
package org.sesamerouter.web

import io.netty.buffer.ByteBuf
import java.util.concurrent.atomic.AtomicLong

private const val HEAP_DIVISOR = 4 // the rest is for the state of the process, and for copies on the way to targets
private const val SMALL_BYTES = 16 * 1024L // an ordinary request with its head takes 4 to 8 kB
private const val LARGE_BYTES = 64 * 1024L
private const val LARGE_SHARE = 0.75 // the rest of the budget is for connections that hold less
private const val MEDIUM_SHARE = 0.875
private const val TIGHT_SHARE = 0.5
private const val INITIAL_BYTES = 1_024

/** Returns the budget of a process with this heap. */
fun memoryBudgetOfHeap(onRejected: (bytes: Long, usedBytes: Long) -> Unit = { _, _ -> }): MemoryBudget =
    MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR, onRejected)

/**
 * A budget of [maxBytes]. It calls [onRejected] with what a connection would hold that it has no room for, on the event
 * loop of that connection.
 */
class MemoryBudget(private val maxBytes: Long, private val onRejected: (bytes: Long, usedBytes: Long) -> Unit) {
    private val used = AtomicLong()

    /** Bytes that are in use. */
    val usedBytes: Long get() = used.get()

    /** Bytes that are not in use. */
    val freeBytes: Long get() = maxOf(0, maxBytes - used.get())

    /** Whether so much is in use that no more is read for a peer that does not take what it was sent. */
    internal val isTight: Boolean get() = used.get() > maxBytes * TIGHT_SHARE

    /** Adds [bytes] for a connection that has [heldBytes]; returns false and adds nothing if there is no room. */
    internal fun reserve(bytes: Long, heldBytes: Long): Boolean {
        val total = heldBytes + bytes
        val share = when {
            total > LARGE_BYTES -> LARGE_SHARE
            total > SMALL_BYTES -> MEDIUM_SHARE
            else -> 1.0
        }
        if (bytes > maxBytes) { // counted even for a moment, it would have others rejected
            onRejected(total, usedBytes)
            return false
        }
        val usedThen = used.addAndGet(bytes)
        if (usedThen <= maxBytes * share) return true
        used.addAndGet(-bytes)
        onRejected(total, usedThen - bytes)
        return false
    }

    internal fun release(bytes: Long) {
        used.addAndGet(-bytes)
    }
}

/** What one connection holds of [budget]. Must be used on one event loop. */
internal class BudgetAccount(private val budget: MemoryBudget) {
    private var isClosed = false

    /** Bytes of the budget that the connection holds. */
    var heldBytes = 0L
        private set

    val isTight: Boolean get() = budget.isTight

    /** Adds [bytes]; returns false and adds nothing if the budget has no room. */
    fun reserve(bytes: Int): Boolean {
        if (isClosed || !budget.reserve(bytes.toLong(), heldBytes)) return false
        heldBytes += bytes
        return true
    }

    fun release(bytes: Int) {
        if (isClosed) return
        heldBytes -= bytes
        budget.release(bytes.toLong())
    }

    /** Releases all that the connection holds; it holds nothing from then on. */
    fun close() {
        release(heldBytes.toInt())
        isClosed = true
    }
}

/** A part of what a connection holds whose size changes. */
internal class BudgetPart(private val account: BudgetAccount) {
    /** Bytes of the budget that this part holds. */
    var heldBytes = 0
        private set

    /** Makes this part hold [bytes]; returns false and changes nothing if the budget has no room. */
    fun resize(bytes: Int): Boolean {
        val added = bytes - heldBytes
        if (added > 0 && !account.reserve(added)) return false
        if (added < 0) account.release(-added)
        heldBytes = bytes
        return true
    }

    /** Makes this part hold nothing; what it held stays in the account until it is released there. */
    fun forget() {
        heldBytes = 0
    }
}

/** The body of a request that is being received; [declaredBytes] is its length, if the caller has sent one. */
internal class ReceivedBody(account: BudgetAccount, private val declaredBytes: Int?) {
    private val held = BudgetPart(account)
    private var bytes = ByteArray(0)

    /** Number of bytes received so far. */
    var size = 0
        private set

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
        if (!held.resize(capacity)) return false
        bytes = bytes.copyOf(capacity)
        return true
    }

    /** Returns the bytes received; as many stay in the account until they are released. */
    fun take(): ByteArray {
        if (size < bytes.size) {
            held.resize(size)
            bytes = bytes.copyOf(size)
        }
        return bytes
    }

    /** Drops the bytes of a body that will not be handled. */
    fun discard() {
        held.resize(0)
        bytes = ByteArray(0)
        size = 0
    }
}
