/*
 * What the control thread publishes for the traffic threads: immutable, replaced as a whole.
 */
package org.sesamerouter.host

import org.sesamerouter.configuration.ConfigurationState
import org.sesamerouter.membership.Member

/**
 * The state of this host that any thread may read.
 *
 * @property settledRevision revision that every live host has in force.
 * @property isolated whether neither the log nor any other host was reachable for longer than allowed.
 */
internal data class HostView(
    val self: Member,
    val members: List<Member>,
    val configuration: ConfigurationState,
    val settledRevision: Long,
    val ready: Boolean,
    val leaving: Boolean,
    val isolated: Boolean,
) {
    /** Returns the hosts that do not have [revision] in force yet. */
    fun waitingFor(revision: Long): List<String> =
        members.filter { it.isLive && it.revision < revision }.map { it.host }.sorted()
}
