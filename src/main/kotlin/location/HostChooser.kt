/*
 * Answers the question which address a caller should use. Hosts that leave or are not ready are left out; of the
 * caller's data centre the less loaded of two random hosts is taken.
 */
package org.sesamerouter.location

import org.sesamerouter.membership.Member
import org.sesamerouter.membership.MemberStatus
import java.util.random.RandomGenerator

/** Chooses the host for a caller in [dataCentre] out of [members], or null when none may be named. */
fun chooseHost(members: List<Member>, dataCentre: String, random: RandomGenerator): Member? {
    val open = members.filter { it.status == MemberStatus.ALIVE && it.ready && !it.leaving }
    val near = open.filter { it.dataCentre == dataCentre }.ifEmpty { open }
    if (near.isEmpty()) return null
    val one = near[random.nextInt(near.size)]
    val other = near[random.nextInt(near.size)]
    return if (one.inProgress <= other.inProgress) one else other
}
