/*
 * Notices services that have had no target for a while, as far as this host knows. Whoever reads the store may have
 * passed on less than this host lacks, so that the host then lists the targets itself. A state machine without I/O.
 */
package org.sesamerouter.discovery

private const val CHECK_INTERVAL_MS = 250L
private const val MISSING_MS = 1_000L // a read of the reader reaches all hosts well before
private const val MAX_PAUSE_MS = 30_000L // a service whose targets are all gone costs few calls

/** The services of one host without a target. Not thread-safe. */
class MissingTargets {
    private var missingSinceMs: Map<String, Long> = emptyMap()
    private var nextCheckMs = Long.MIN_VALUE
    private var nextListMs = Long.MIN_VALUE
    private var pauseMs = MISSING_MS

    /** The services without a target at the last check. */
    val services: Set<String> get() = missingSinceMs.keys

    /**
     * Whether the host should list [targets] itself, since one of the [needed] services has had none for too long. The
     * pause to the next list doubles while that lasts.
     */
    fun isListDue(needed: Set<String>, targets: Collection<TargetEntry>, now: Long): Boolean {
        if (now < nextCheckMs) return false
        nextCheckMs = now + CHECK_INTERVAL_MS
        val known = targets.mapTo(HashSet()) { it.service }
        missingSinceMs = needed.filter { it !in known }.associateWith { missingSinceMs[it] ?: now }
        if (missingSinceMs.isEmpty()) {
            pauseMs = MISSING_MS
            nextListMs = Long.MIN_VALUE
        }
        if (now < nextListMs || missingSinceMs.values.none { now - it >= MISSING_MS }) return false
        nextListMs = now + pauseMs
        pauseMs = minOf(pauseMs * 2, MAX_PAUSE_MS)
        return true
    }
}
