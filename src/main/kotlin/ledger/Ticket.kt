/*
 * A ticket binds the keys that a caller derives from it to one incarnation of one host. To avoid comparing clocks of
 * different hosts, it carries an epoch of that host instead of a timestamp. The host increments its epoch, publishes it
 * through membership, and accepts new keys only for recent epochs.
 */
package org.sesamerouter.ledger

/**
 * A ticket issued by [host], the holder of the keys derived from it.
 *
 * @property incarnation incarnation of that host; its tickets become invalid when it restarts.
 * @property epoch epoch of that host when the ticket was issued.
 * @property nonce makes the ticket unique.
 */
data class Ticket(val host: String, val incarnation: Long, val epoch: Long, val nonce: String) {
    override fun toString(): String = "t:$host:${incarnation.toString(36)}:$epoch:$nonce"
}

private const val TICKET_FIELDS = 5

/** Parses the ticket at the start of [key], or returns null if the key has none. */
fun ticketOf(key: String): Ticket? {
    val fields = key.substringBefore('/', "").split(':')
    if (fields.size != TICKET_FIELDS || fields[0] != "t") return null
    val incarnation = fields[2].toLongOrNull(36) ?: return null
    val epoch = fields[3].toLongOrNull() ?: return null
    return Ticket(fields[1], incarnation, epoch, fields[4])
}
