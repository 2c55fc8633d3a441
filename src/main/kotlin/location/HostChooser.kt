/*
 * Chooses the host whose address a caller should use. Hosts that are leaving or not ready are excluded. Of two random
 * hosts, in the caller's data centre if it has any, the one with fewer requests in progress is chosen.
 */
package org.sesamerouter.location

import org.sesamerouter.membership.Member
import org.sesamerouter.membership.MemberStatus
import java.util.random.RandomGenerator

/** Returns the host among [members] for a caller in [dataCentre], or null if no host accepts work. */
fun chooseHost(members: List<Member>, dataCentre: String, random: RandomGenerator): Member? {
    val available = members.filter { it.status == MemberStatus.ALIVE && it.ready && !it.leaving }
    val candidates = available.filter { it.dataCentre == dataCentre }.ifEmpty { available }
    if (candidates.isEmpty()) return null
    val first = candidates[random.nextInt(candidates.size)]
    val second = candidates[random.nextInt(candidates.size)]
    return if (first.inProgress <= second.inProgress) first else second
}
