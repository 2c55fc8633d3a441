/*
 * Targets that refused a request of this host and named the time after which it may send the next one. They are not
 * used until then. This is a state machine without I/O.
 */
package org.sesamerouter.routing

import org.sesamerouter.discovery.TargetEntry

private const val MAX_PAUSE_MS = 60_000L // a longer one is more likely a fault than a wish

/**
 * What a target announces about itself in a response.
 *
 * @property isLeaving whether it is about to leave and accepts no new requests.
 * @property pauseMs how long it wants no requests from this host; 0 if it wants them.
 * @property coldMs how much longer it stays cold; 0 if it is not.
 */
data class TargetNotice(val isLeaving: Boolean, val pauseMs: Long, val coldMs: Long = 0)

/** The pauses that targets requested from this host. Not thread-safe. */
class TargetPauses {
    private class Pause(val startTimeMs: Long, val untilMs: Long)

    private val pauses = HashMap<String, Pause>()

    /** Records that [target] wants no requests for [pauseMs]. Returns whether it was not paused before. */
    fun pause(target: TargetEntry, pauseMs: Long, now: Long): Boolean {
        val wasPaused = isPaused(target, now)
        val untilMs = now + minOf(pauseMs, MAX_PAUSE_MS)
        val previousEndMs = if (wasPaused) pauses.getValue(target.id).untilMs else 0
        pauses[target.id] = Pause(target.startTimeMs, maxOf(untilMs, previousEndMs))
        return !wasPaused
    }

    /** Whether [target] wants no requests at [now]; a new incarnation has not asked for a pause. */
    fun isPaused(target: TargetEntry, now: Long): Boolean = leftMs(target, now) > 0

    /** Time until the pause of [target] ends; 0 without one. */
    fun leftMs(target: TargetEntry, now: Long): Long {
        val pause = pauses[target.id]?.takeIf { it.startTimeMs == target.startTimeMs } ?: return 0
        return maxOf(0, pause.untilMs - now)
    }

    /** Removes the pauses that have ended; returns whether there were any. */
    fun onTick(now: Long): Boolean = pauses.values.removeIf { it.untilMs <= now }
}
