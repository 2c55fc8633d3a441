/*
 * The state of a target as the owner of a pool's queue sees it: calls in progress, speed and space for results.
 */
package org.sesamerouter.batching

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec

private const val UNACCOUNTED_DECAY_MS = 1_000L // most results, also those of another owner, are read within this time
internal const val USABLE_SPACE_SHARE = 0.92 // a margin, since result sizes are approximate

internal class PoolTarget(var entry: TargetEntry) {
    var calls = 0
    var usedBytes = 0L
    var durationRatio = 1.0
    var backoffUntilMs = 0L
    var isListed = true

    /** Whether the last call took no longer than a call alone at its target; false if another owner sends calls too. */
    var isExclusive = false

    /** Space used at [unaccountedSinceMs] by results unknown to this queue, which a previous owner created. */
    private var unaccountedBytes = 0L
    private var unaccountedSinceMs = 0L

    /** Handles the report of the target that it has no space for results. */
    fun onOutOfSpace(spec: BatchSpec, now: Long) {
        unaccountedBytes = maxOf(0, spec.resultSpaceBytes - usedBytes)
        unaccountedSinceMs = now
    }

    /** Returns the space that is left for results. */
    fun freeBytes(spec: BatchSpec, now: Long): Long =
        (spec.resultSpaceBytes * USABLE_SPACE_SHARE).toLong() - usedBytes - unaccountedBytes(now)

    /** Estimates the space that previous owners' results still use, decaying linearly; refusals correct it. */
    fun unaccountedBytes(now: Long): Long =
        maxOf(0, unaccountedBytes * (UNACCOUNTED_DECAY_MS - (now - unaccountedSinceMs)) / UNACCOUNTED_DECAY_MS)
}
