/*
 * Keys of idempotent requests that had an attempt here, so that a refusal of a re-sent key speaks for all its sends.
 */
package org.sesamerouter.pipeline

import org.sesamerouter.ledger.ACCEPTED_EPOCHS
import org.sesamerouter.ledger.Holder
import org.sesamerouter.ledger.Ledger
import org.sesamerouter.ledger.ticketOf

private const val MOST_KEYS = 100_000

/** The keys of one host. Not thread-safe. */
internal class DispatchedKeys(private val ledger: Ledger, private val capacity: Int = MOST_KEYS) {
    private val keys = LinkedHashSet<String>()
    private var forgottenEpoch = Long.MIN_VALUE

    operator fun contains(key: String): Boolean = key in keys

    /** Notes that an attempt under [key] was dispatched. */
    fun add(key: String) {
        if (key.isEmpty() || !keys.add(key) || keys.size <= capacity) return
        keys.remove(keys.first())
        forgottenEpoch = ledger.epoch
    }

    /** Takes [key] back when its attempts surely did not run. */
    fun remove(key: String) {
        keys.remove(key)
    }

    /**
     * Tells whether this host can say that nothing under [key] ran. It cannot for a ticket of another host or another
     * incarnation, nor for one whose epoch it has partly forgotten. A request without a ticket speaks for itself only.
     */
    fun mayVouchFor(key: String): Boolean {
        val ticket = ticketOf(key) ?: return true
        val isHome = Holder(ticket.host, ticket.incarnation) == ledger.self
        val isKept = ticket.epoch > maxOf(forgottenEpoch, ledger.epoch - ACCEPTED_EPOCHS)
        return isHome && isKept && key !in keys
    }
}
