/*
 * Decides to which hosts state updates go. In a small fleet each host sends its updates to all others. In a larger one
 * that would cost each host a share of the work of all others, so each sends them to the relay of its data centre,
 * which passes them in batches to the hosts of its data centre and to the other relays. A host that is leaving is a
 * relay only where there is no other one.
 */
package org.sesamerouter.membership

import org.sesamerouter.routing.rendezvous

private const val MAX_DIRECT_HOSTS = 16 // above this, the receivers spend more on single messages than on their content

/** Hosts that get the same message; one that [isFinal] is not passed on by them. */
data class Recipients(val hosts: List<String>, val isFinal: Boolean)

/** The plan of the host [self] in a fleet of [usable] hosts, including itself. */
class DisseminationPlan(private val self: Member, usable: List<Member>) {
    private val others = usable.filter { it.host != self.host }
    private val isDirect = others.size < MAX_DIRECT_HOSTS
    private val localHosts = others.filter { it.dataCentre == self.dataCentre }.map { it.host }
    private val relays = (others + self).groupBy { it.dataCentre }
        .mapValues { (_, of) -> of.minWith(compareBy({ it.leaving }, { rendezvous("relay", it.host) })).host }

    /** Recipients of the updates of this host itself. */
    val own: List<Recipients> = when {
        isDirect -> listOf(Recipients(others.map { it.host }, isFinal = true))
        relays[self.dataCentre] == self.host -> everywhere()
        else -> listOf(Recipients(listOf(relays.getValue(self.dataCentre)), isFinal = false))
    }.filter { it.hosts.isNotEmpty() }

    /** Recipients of updates that are not final and come from a host in [dataCentre]. */
    fun passedOnFrom(dataCentre: String): List<Recipients> {
        val recipients =
            if (dataCentre == self.dataCentre) everywhere() else listOf(Recipients(localHosts, isFinal = true))
        return recipients.filter { it.hosts.isNotEmpty() }
    }

    private fun everywhere(): List<Recipients> {
        val otherRelays = relays.filterKeys { it != self.dataCentre }.values.toList()
        return listOf(Recipients(localHosts, isFinal = true), Recipients(otherRelays, isFinal = false))
    }
}
