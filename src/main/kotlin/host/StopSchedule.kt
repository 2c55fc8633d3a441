/*
 * The moments of a planned stop. Serving ends some time before the grace does, which is left for telling the other
 * hosts and for writing out the last answers.
 */
package org.sesamerouter.host

import org.sesamerouter.settings.TimingSettings

private const val CLOSE_TIMEOUT_MS = 5_000L
private const val MAX_CLOSING_SHARE = 4
private const val ANNOUNCED_PROBES = 2

/**
 * The moments of a planned stop.
 *
 * @property addressesExpireMs time at which no caller holds an address answer that names the host.
 * @property servingEndMs time at which every request has ended.
 * @property announcementMs time given to the announcement that the host has left.
 * @property endMs time at which the process has ended.
 */
internal data class StopSchedule(
    val addressesExpireMs: Long,
    val servingEndMs: Long,
    val announcementMs: Long,
    val endMs: Long,
)

/** Returns the schedule of a planned stop that was requested at [now]. */
internal fun stopScheduleOf(now: Long, timing: TimingSettings): StopSchedule {
    val announcementMs = timing.probeIntervalMs * ANNOUNCED_PROBES
    val closingMs = minOf(timing.graceMs / MAX_CLOSING_SHARE, announcementMs + CLOSE_TIMEOUT_MS)
    val servingEndMs = now + timing.graceMs - closingMs
    return StopSchedule(
        addressesExpireMs = minOf(now + timing.addressLifetimeMs, servingEndMs),
        servingEndMs,
        announcementMs = minOf(announcementMs, closingMs / 2),
        endMs = now + timing.graceMs,
    )
}
