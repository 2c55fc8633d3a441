/*
 * Load reports of targets that cannot be decoded. Each is counted; the first of each incarnation of a target is logged,
 * since a target that sends one usually sends them in every response.
 */
package org.sesamerouter.front

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.discovery.TargetIncarnation

private const val MAX_LOGGED_CHARACTERS = 64

internal class InvalidLoads(private val metrics: FrontMetrics, private val log: DecisionLog) {
    private val logged = HashSet<TargetIncarnation>()

    /** Removes what is known of targets that are not among [entries]. */
    fun update(entries: Collection<TargetEntry>) {
        logged.retainAll(entries.mapTo(HashSet(), ::incarnationOf))
    }

    /** Counts the report [text] of [target]. */
    fun onReport(target: TargetEntry, text: String) {
        metrics.invalidLoads.increment()
        if (!logged.add(incarnationOf(target))) return
        log.write(
            "load-invalid",
            "target" to target.id,
            "start-ms" to target.startTimeMs,
            "service" to target.service,
            "report" to text.take(MAX_LOGGED_CHARACTERS),
        )
    }

    private fun incarnationOf(entry: TargetEntry) = TargetIncarnation(entry.id, entry.startTimeMs)
}
