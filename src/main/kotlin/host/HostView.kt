/*
 * Immutable snapshot of the host's state, published by the control thread and read by the traffic threads.
 */
package org.sesamerouter.host

import org.sesamerouter.configuration.ConfigurationState
import org.sesamerouter.membership.Member

/**
 * State of this host that is safe to read from any thread.
 *
 * @property settledRevision latest configuration revision that all live hosts have applied.
 * @property isolated whether other hosts are known but none of them is live, and the log has not been read for longer
 * than `timing.isolated_refusal_ms`.
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
    /** Returns the live hosts that have not applied [revision] yet. */
    fun waitingFor(revision: Long): List<String> =
        members.filter { it.isLive && it.revision < revision }.map { it.host }.sorted()
}
