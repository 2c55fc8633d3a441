/*
 * A target of a pool as the queue's owner knows it: its calls, its speed and the room for results.
 */
package org.sesamerouter.batching

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec

private const val FOREIGN_LIFE_MS = 1_000L // results are mostly read within this, also those of another owner
internal const val ROOM_SHARE = 0.92 // sizes are approximate

internal class PoolTarget(var entry: TargetEntry) {
    var calls = 0
    var usedBytes = 0L
    var slowness = 1.0
    var restUntilMs = 0L
    var isListed = true

    /** Whether the last call took no longer than alone at its target; not where another owner makes calls too. */
    var isSolo = false

    /** Room that was taken at [foreignSinceMs] by results which the queue does not know: of an owner before it. */
    private var foreignBytes = 0L
    private var foreignSinceMs = 0L

    /** Notes that the target said that it has no room. */
    fun onNoRoom(spec: BatchSpec, now: Long) {
        foreignBytes = maxOf(0, spec.roomBytes - usedBytes)
        foreignSinceMs = now
    }

    /** Room for more results in bytes. */
    fun roomBytes(spec: BatchSpec, now: Long): Long =
        (spec.roomBytes * ROOM_SHARE).toLong() - usedBytes - foreignBytes(now)

    /** Results of other owners are freed one after the other; what is left of them is found out by trying. */
    fun foreignBytes(now: Long): Long =
        maxOf(0, foreignBytes * (FOREIGN_LIFE_MS - (now - foreignSinceMs)) / FOREIGN_LIFE_MS)
}
