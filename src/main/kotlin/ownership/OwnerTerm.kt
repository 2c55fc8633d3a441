/*
 * Who owns the queue of a stage pool. An owner holds a numbered term; of two terms of a pool, the one with the higher
 * number is in force on every host that knows it, whatever that host believes about the owner.
 */
package org.sesamerouter.ownership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.sesamerouter.membership.Member
import org.sesamerouter.routing.rendezvous

private const val STRONG_DIVISOR = 2 // hosts with at least half of the processor of the strongest one

/**
 * The term of the owner of the queue of [pool].
 *
 * @property host the owner, in the run of its process that [incarnation] names.
 * @property isTakeover whether the owner before was found silent, so that what it had in its queue is submitted again.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class OwnerTerm(
    @CborLabel(1) val pool: String,
    @CborLabel(2) val number: Long,
    @CborLabel(3) val host: String,
    @CborLabel(4) val incarnation: Long,
    @CborLabel(5) val isTakeover: Boolean = false,
) {
    /** Whether this term is in force rather than [other]. Every host decides the same way for equal numbers. */
    fun supersedes(other: OwnerTerm?): Boolean = other == null || TERM_ORDER.compare(this, other) > 0
}

private val TERM_ORDER = compareBy<OwnerTerm> { it.number }
    .thenByDescending { rendezvous(it.pool, it.host) }
    .thenBy { it.host }
    .thenBy { it.incarnation }

/**
 * Orders [hosts] by how well they suit to own the queue of [pool]: ready ones with much processor time first, since the
 * decisions of a queue take more of it than the requests of callers do. While all hosts are leaving, the one that
 * started last owns every queue, since it will probably leave last.
 */
fun ownerOrder(pool: String, hosts: List<Member>): List<Member> {
    val (leaving, ready) = hosts.partition { it.leaving }
    val most = ready.maxOfOrNull { it.processorPercent } ?: 0
    return ready.sortedWith(
        compareBy({ it.processorPercent * STRONG_DIVISOR < most }, { rendezvous(pool, it.host) }),
    ) + leaving.sortedWith(compareByDescending<Member> { it.incarnation }.thenByDescending { it.host })
}
