/*
 * A ticket binds the keys that a caller derives from it to one incarnation of one host. It carries an epoch of that
 * host instead of a time, so that no two clocks are compared: the host counts its epochs, tells them through
 * membership, and takes new keys only for recent ones.
 */
package org.sesamerouter.ledger

/**
 * A ticket of the home host [host].
 *
 * @property incarnation of the home host; after a restart its tickets are void.
 * @property epoch of the home host when the ticket was issued.
 * @property nonce makes the ticket unique.
 */
data class Ticket(val host: String, val incarnation: Long, val epoch: Long, val nonce: String) {
    override fun toString(): String = "t:$host:${incarnation.toString(36)}:$epoch:$nonce"
}

private const val FIELDS = 5

/** Returns the ticket that [key] starts with, or null when the key carries none. */
fun ticketOf(key: String): Ticket? {
    val fields = key.substringBefore('/', "").split(':')
    if (fields.size != FIELDS || fields[0] != "t") return null
    val incarnation = fields[2].toLongOrNull(36) ?: return null
    val epoch = fields[3].toLongOrNull() ?: return null
    return Ticket(fields[1], incarnation, epoch, fields[4])
}
