/*
 * Keys of idempotent requests that were dispatched by this host. A refusal of a repeated request may report "not run"
 * only when no earlier request with the same key was dispatched.
 */
package org.sesamerouter.pipeline

import org.sesamerouter.ledger.ACCEPTED_EPOCHS
import org.sesamerouter.ledger.Holder
import org.sesamerouter.ledger.Ledger
import org.sesamerouter.ledger.ticketOf

private const val MAX_KEYS = 100_000

/** The dispatched keys of one host; the oldest are evicted above [capacity]. Not thread-safe. */
internal class DispatchedKeys(private val ledger: Ledger, private val capacity: Int = MAX_KEYS) {
    private val keys = LinkedHashSet<String>()
    private var newestEvictedEpoch = Long.MIN_VALUE

    operator fun contains(key: String): Boolean = key in keys

    /** Records that an attempt under [key] was dispatched. */
    fun add(key: String) {
        if (key.isEmpty() || !keys.add(key) || keys.size <= capacity) return
        keys.remove(keys.first())
        newestEvictedEpoch = ledger.epoch
    }

    /** Removes [key] once it is known that none of its attempts ran. */
    fun remove(key: String) {
        keys.remove(key)
    }

    /**
     * Returns whether this host can confirm that nothing ran under [key]. It cannot for a ticket issued by another host
     * or incarnation, nor for a ticket from an epoch of which keys have been evicted. For a key without a ticket the
     * result covers the current request only.
     */
    fun canConfirmNotRun(key: String): Boolean {
        val ticket = ticketOf(key) ?: return true
        val isIssuedHere = Holder(ticket.host, ticket.incarnation) == ledger.self
        val isTracked = ticket.epoch > maxOf(newestEvictedEpoch, ledger.epoch - ACCEPTED_EPOCHS)
        return isIssuedHere && isTracked && key !in keys
    }
}
