/*
 * What decisions about requests read of the rest of a host's state.
 */
package org.sesamerouter.serving

import org.sesamerouter.discovery.TargetEntry

/** What the flows read of the rest of this host's state. */
interface FlowSurroundings {
    /** The configuration in force. */
    val config: ServingConfig?

    /** Returns the targets of [service] that may get new work. */
    fun targets(service: String): List<TargetEntry>

    /** Returns the data centre of the target that listens at [address]. */
    fun dataCentreOf(address: String): String?

    /** Most connections of this host to one target of [service]. */
    fun connectionShare(service: String): Int

    /** Expected time of a stage in [service], with its queue, for a request of [rank] that needs it in [dueMs]. */
    fun stageMs(service: String, rank: Int, dueMs: Long): Double

    /** Expected time of a stage in the pool [service] without a queue. */
    fun idleStageMs(service: String): Double
}
