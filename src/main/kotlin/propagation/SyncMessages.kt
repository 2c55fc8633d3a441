/*
 * What goes into and comes out of the decisions about following the configuration.
 */
package org.sesamerouter.propagation

import org.sesamerouter.discovery.StreamPosition

/** Another host and the newest version that it is known to have; -1 if none. */
data class HostVersion(val host: String, val version: Long)

/** What a host knows of itself and of the fleet. */
interface FleetView {
    /** Version in force on this host, -1 if none. */
    val version: Long

    /** Number of live hosts, including this one. */
    val liveHosts: Int

    /** Position of this host in the order in which hosts read the store; 0 reads first. */
    val readOrder: Int

    /** The live hosts that answer, without this one. */
    val others: List<HostVersion>

    /** Whether a read of the targets by this host has succeeded recently. */
    fun reachesStore(now: Long): Boolean
}

/** How a read of the store ended. */
sealed interface StoreRead {
    /** The next read continues at [position]. */
    data class Done(val position: StreamPosition) : StoreRead

    /** The records that were asked for are no longer retained. */
    data object Truncated : StoreRead

    data class Failed(val cause: String) : StoreRead
}

/** What a host does to follow the configuration. */
sealed interface SyncEffect {
    /** Reads the newest configuration, or waits for one after [position]; it replaces the read before it. */
    data class ReadStore(val read: Long, val position: StreamPosition?) : SyncEffect

    /** Fetches the configuration from [host]. */
    data class Fetch(val host: String) : SyncEffect

    /** Calls [ConfigurationSync.onTick] after [ms]. */
    data class Wake(val ms: Long) : SyncEffect

    /** Logs that a read failed; it is repeated after [retryMs]. */
    data class ReadFailed(val cause: String, val retryMs: Long) : SyncEffect
}
