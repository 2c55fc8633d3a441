/*
 * The number of hosts that are registered in the store, for a host that may not have met all of them yet.
 */
package org.sesamerouter.front

private const val MEETING_MS = 240_000L // registrations of hosts that are gone are kept for good

/** Not thread-safe. */
internal class RegisteredHosts {
    private var others = 0
    private var readMs = 0L

    /** Called with the number of [others] that were registered when the store was read. */
    fun onRead(others: Int, now: Long) {
        this.others = others
        readMs = now
    }

    /** Returns the number of registered hosts, this one included, or 1 once it has met those that still run. */
    fun count(now: Long): Int = if (now - readMs < MEETING_MS) 1 + others else 1
}
