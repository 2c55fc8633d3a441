/*
 * The handles of results that were received of late. A handle names one result, so an answer with one that was received
 * before is a second copy of an earlier answer.
 */
package org.sesamerouter.batching

private const val HANDLE_MEMORY_MS = 30_000L // longer than an idle connection, on which a copy may wait, is kept

/** Remembers received handles for a while, also of results that were freed since. Not thread-safe. */
class ReceivedHandles {
    /** Times at which handles were received, oldest first. */
    private val receivedMs = LinkedHashMap<String, Long>()

    /** Records that [handle] was received at [now]; returns whether it was not received before. */
    fun add(handle: String, now: Long): Boolean {
        forget(now)
        return receivedMs.putIfAbsent(handle, now) == null
    }

    private fun forget(now: Long) {
        val times = receivedMs.values.iterator()
        while (times.hasNext() && now - times.next() >= HANDLE_MEMORY_MS) times.remove()
    }
}
