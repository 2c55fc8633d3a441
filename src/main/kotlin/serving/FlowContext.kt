/*
 * The host state that decisions about requests depend on.
 */
package org.sesamerouter.serving

import org.sesamerouter.discovery.TargetEntry

/** Host state that [RequestFlows] reads. */
interface FlowContext {
    /** The configuration in force. */
    val config: ServingConfig?

    /** Whether callers can be sent to other hosts. */
    val hasOtherHosts: Boolean

    /** Returns the targets of [service] that accept new requests. */
    fun targets(service: String): List<TargetEntry>

    /** Whether [target] may get a request of this host now; a cold one takes only a few from all hosts together. */
    fun hasPermit(target: TargetEntry): Boolean = true

    /** Takes the permit to send a request to [target]; called before each send. Returns whether there is one. */
    fun maySendTo(target: TargetEntry): Boolean = true

    /** Time until the first of [targets] may get a request of this host; 0 if one may now or there is none. */
    fun permitLeftMs(targets: List<TargetEntry>): Long = 0

    /** Whether [target] is in one of [regions]; always, if the deployment has no regions. */
    fun isInRegion(target: TargetEntry, regions: Set<String>): Boolean = true

    /** Time until a target of [service] that is paused or cold may be used again; null if there is none. */
    fun pauseLeftMs(service: String): Long?

    /** Returns the data centre of the target that listens at [address]; null when there is none. */
    fun dataCentreOf(address: String): String?

    /** Maximum number of connections from this host to one target of [service]. */
    fun maxConnectionsPerTarget(service: String): Int

    /**
     * Whether it is this host's turn to try [part] again, which is overdue by [overdueMs]; at most one host of a fleet
     * has the turn at a time.
     */
    fun mayTryPart(part: String, overdueMs: Long): Boolean

    /** Expected time of a stage in [service] with its queue, for a request of [rank] that needs it done in [dueMs]. */
    fun expectedStageMs(service: String, rank: Int, dueMs: Long): Double

    /**
     * Time that the pool [service] needs for the pieces that are on their way to it, in the queues of earlier pools,
     * and that run before those of a request of [rank] that needs them done in [dueMs].
     */
    fun announcedMs(service: String, rank: Int, dueMs: Long): Double = 0.0

    /** Expected time of a stage in the pool [service] with an empty queue. */
    fun unloadedStageMs(service: String): Double
}
