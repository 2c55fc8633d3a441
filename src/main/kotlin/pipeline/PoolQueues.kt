/*
 * The queues before one pool: suspects wait apart, so that the one free target that they may need holds up nobody else.
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
