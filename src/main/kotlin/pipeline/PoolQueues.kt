/*
 * The queues in front of one pool. A target runs at most one suspect request at a time, so suspects are queued
 * separately and do not block other requests while they wait for such a target.
 */
package org.sesamerouter.pipeline

import org.sesamerouter.admission.FairQueue

internal class PoolQueues {
    val normal = FairQueue()
    val suspects = FairQueue()
    val size: Int get() = normal.size + suspects.size

    fun of(suspect: Boolean): FairQueue = if (suspect) suspects else normal

    fun remove(id: String) {
        normal.remove(id)
        suspects.remove(id)
    }
}
