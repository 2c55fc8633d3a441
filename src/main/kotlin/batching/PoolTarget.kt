/*
 * The state of a target as the owner of a pool's queue sees it: calls in progress, speed and space for results.
 */
package org.sesamerouter.batching

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec

private const val SLOW_RATIO = 1.8 // targets slower than this are used only when the others are full
private const val EXCLUSIVE_RATIO = 1.5 // a call queued behind another one takes about twice as long
private const val DURATION_RATIO_SMOOTHING = 0.4
private const val TRIAL_PAUSE_MS = 1_000L // a target that has recovered is in use again within twice this time
private const val UNACCOUNTED_DECAY_MS = 1_000L // most results, also those of another owner, are read within this time
private const val MIN_REFUSAL_BACKOFF_MS = 60L
private const val MAX_REFUSAL_DOUBLINGS = 10
private const val SPACE_REPORT_DELAY_MS = 500L // results are usually freed within this time
private const val SPACE_REPORT_PAUSE_MS = 2_000L
internal const val USABLE_SPACE_SHARE = 0.92 // a margin, since result sizes are approximate

internal class PoolTarget(var entry: TargetEntry) {
    var calls = 0
    var usedBytes = 0L
    var backoffUntilMs = 0L
    var isListed = true
    var lastCallEndMs = Long.MIN_VALUE / 2

    /** Smoothed ratio of the time of calls to their expected time. */
    var durationRatio = 1.0
        private set

    /** Number of calls that the target refused since the last one that it answered. */
    var refusals = 0
        private set

    /** Whether the last call took no longer than a call alone at its target; false if another owner sends calls too. */
    var isExclusive = false
        private set

    /** Space used at [unaccountedSinceMs] by results unknown to this queue, which a previous owner created. */
    private var unaccountedBytes = 0L
    private var unaccountedSinceMs = 0L
    private var askedSpaceMs = Long.MIN_VALUE / 2

    /** Whether the target is much slower than expected, so that it gets calls only if the others are full. */
    val isSlow: Boolean get() = durationRatio > SLOW_RATIO

    /** Whether the slow target gets a small call now that shows whether it still is: nothing else would. */
    fun isTrialDue(now: Long): Boolean = isSlow && calls == 0 && now - lastCallEndMs >= TRIAL_PAUSE_MS

    /** A call that is in progress has taken [ratio] times its expected time so far. */
    fun onOverdue(ratio: Double) {
        durationRatio = maxOf(durationRatio, ratio)
    }

    /** A call took [ratio] times its expected time. That of a trial says more than the calls before it. */
    fun onAnswered(ratio: Double, isTrial: Boolean) {
        refusals = 0
        isExclusive = ratio <= EXCLUSIVE_RATIO
        durationRatio = if (isTrial) ratio else durationRatio + DURATION_RATIO_SMOOTHING * (ratio - durationRatio)
    }

    /**
     * Counts a refusal and returns the time until the next call. It doubles up to the fixed time of a call, in which a
     * target that is full of another owner's calls gets a free place.
     */
    fun nextRefusalBackoffMs(spec: BatchSpec): Long {
        val longestMs = maxOf(MIN_REFUSAL_BACKOFF_MS, spec.callMs.toLong())
        val doublings = minOf(refusals++, MAX_REFUSAL_DOUBLINGS)
        return minOf(MIN_REFUSAL_BACKOFF_MS shl doublings, longestMs)
    }

    /** Counts [bytes] as free again. */
    fun release(bytes: Long) {
        usedBytes = maxOf(0, usedBytes - bytes)
    }

    /** Handles the report of the target that it has no space for results. */
    fun onOutOfSpace(spec: BatchSpec, now: Long) = setUnaccounted(spec.resultSpaceBytes - usedBytes, now)

    private fun setUnaccounted(bytes: Long, now: Long) {
        unaccountedBytes = maxOf(0, bytes)
        unaccountedSinceMs = now
    }

    /** Whether to ask the target for its free space, since what counts as used has kept it from getting calls. */
    fun mayAskSpace(now: Long): Boolean {
        val mayAsk = calls == 0 && now - lastCallEndMs >= SPACE_REPORT_DELAY_MS &&
            now - askedSpaceMs >= SPACE_REPORT_PAUSE_MS
        if (mayAsk) askedSpaceMs = now
        return mayAsk
    }

    /** Corrects the space that counts as used: the target, which runs no call of this queue, has [freeBytes] left. */
    fun onSpaceReport(spec: BatchSpec, freeBytes: Long, now: Long) {
        val realBytes = maxOf(0, spec.resultSpaceBytes - freeBytes)
        setUnaccounted(realBytes - usedBytes, now)
        usedBytes = minOf(usedBytes, realBytes)
    }

    /** Returns the space that is left for results. */
    fun freeBytes(spec: BatchSpec, now: Long): Long =
        (spec.resultSpaceBytes * USABLE_SPACE_SHARE).toLong() - usedBytes - unaccountedBytes(now)

    /** Estimates the space that previous owners' results still use, decaying linearly; refusals correct it. */
    fun unaccountedBytes(now: Long): Long =
        maxOf(0, unaccountedBytes * (UNACCOUNTED_DECAY_MS - (now - unaccountedSinceMs)) / UNACCOUNTED_DECAY_MS)
}
