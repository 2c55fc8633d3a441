/*
 * Targets that have just started, or have become cold again, take only a few requests a second and crash at a rate well
 * above that. This host sends to such a target only within its share of that rate. What it knows of a target comes from
 * discovery entries, which may be two seconds old, and from responses. A state machine without I/O.
 */
package org.sesamerouter.warmup

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.discovery.TargetIncarnation
import org.sesamerouter.serving.ColdStart

private const val MARGIN_MS = 300L // a time left that was stated is whole milliseconds of a clock that may run faster
private const val NEVER_MS = Long.MIN_VALUE / 2
private const val MAX_KNOWN_TARGETS = 20_000 // targets that are gone are kept, so that one that is back is not new

/** A target that became cold or, if not [isCold], warm. */
data class ColdChange(val target: String, val service: String, val isCold: Boolean, val leftMs: Long)

/** What one host knows of cold targets. Not thread-safe. */
class ColdTargets(val shares: PermitShares) {
    private class Known(val service: String, val startTimeMs: Long) {
        /** When the target is warm by its own statements. */
        var statedUntilMs = NEVER_MS

        /** When this incarnation was first seen, if it started since this host knows all targets. */
        var startSeenMs: Long? = null
    }

    private val known = HashMap<String, Known>()
    private val lastPermitMs = HashMap<String, Long>()
    private var rules: Map<String, ColdStart> = emptyMap()
    private var loggedCold: Map<String, String> = emptyMap()

    /** Number of times that a target was not considered for a request since this host had no permit for it. */
    @Volatile
    var refused = 0L
        private set

    /** Number of targets that were cold at the last tick. */
    @Volatile
    var coldCount = 0
        private set

    /** Applies the cold starts of services by name; targets of other services are never cold. */
    fun onServices(services: Map<String, ColdStart>) {
        rules = services
    }

    /**
     * Handles the newest [entry] of a target. An incarnation that is seen first [afterFirstRead] of all targets has
     * just started, whatever it states: the entry may have been written before it knew that it is cold.
     */
    fun onEntry(entry: TargetEntry, afterFirstRead: Boolean, now: Long) {
        val previous = known[entry.id]
        val isNew = previous == null || previous.startTimeMs != entry.startTimeMs
        val target = if (isNew) Known(entry.service, entry.startTimeMs) else checkNotNull(previous)
        if (isNew) {
            known[entry.id] = target
            if (afterFirstRead) target.startSeenMs = now
        }
        state(target, entry.coldLeftMs, now)
    }

    /** Handles that [target] stated in a response that it stays cold for [leftMs] more. */
    fun onStated(target: TargetIncarnation, leftMs: Long, now: Long) {
        known[target.id]?.takeIf { it.startTimeMs == target.startTimeMs }?.let { state(it, leftMs, now) }
    }

    /** A statement that was made some time ago counts as if it were new, which errs on the safe side. */
    private fun state(target: Known, leftMs: Long, now: Long) {
        if (leftMs > 0) target.statedUntilMs = maxOf(target.statedUntilMs, now + leftMs + MARGIN_MS)
    }

    /** Forgets targets that are not [listed] when too many are known. */
    fun retain(listed: Set<String>) {
        if (known.size <= MAX_KNOWN_TARGETS) return
        known.keys.retainAll(listed)
        lastPermitMs.keys.retainAll(listed)
    }

    /** Time for which [target] stays cold as far as this host knows; 0 if it is warm. */
    fun leftMs(target: TargetEntry, now: Long): Long {
        if (rules.isEmpty()) return 0
        val state = known[target.id]?.takeIf { it.startTimeMs == target.startTimeMs } ?: return 0
        return leftMs(state, now)
    }

    private fun leftMs(target: Known, now: Long): Long {
        val rule = rules[target.service] ?: return 0
        val startEndMs = target.startSeenMs?.let { it + rule.durationMs + MARGIN_MS } ?: NEVER_MS
        return maxOf(0, maxOf(startEndMs, target.statedUntilMs) - now)
    }

    /** Whether this host may send a request to [target] now. */
    fun hasPermit(target: TargetEntry, now: Long): Boolean {
        val isFree = permitLeftMs(target, now) == 0L
        if (!isFree) refused++
        return isFree
    }

    /** Takes the permit for a request to [target]; returns whether there is one. A warm target needs none. */
    fun tryTake(target: TargetEntry, now: Long): Boolean {
        if (leftMs(target, now) == 0L) return true
        if (!hasPermit(target, now)) return false
        lastPermitMs[target.id] = now
        return true
    }

    /** Takes the permit for a stage call to [target], which only the owner of its queue makes. */
    fun tryTakeCall(target: TargetEntry, now: Long): Boolean {
        if (leftMs(target, now) == 0L) return true
        val intervalMs = shares.ownerIntervalMs(rules.getValue(target.service))
        val isFree = maxOf(shares.startHoldEndMs, nextPermitMs(target, intervalMs)) <= now
        if (isFree) lastPermitMs[target.id] = now else refused++
        return isFree
    }

    /** Time until this host may send a request to [target], as far as is known now; 0 if it may. */
    fun permitLeftMs(target: TargetEntry, now: Long): Long {
        val coldLeftMs = leftMs(target, now)
        if (coldLeftMs == 0L) return 0
        val rule = rules.getValue(target.service)
        if (!shares.isHolder(target.id, rule)) return coldLeftMs
        val permitMs = maxOf(shares.usableFromMs(), nextPermitMs(target, shares.intervalMs(rule)))
        return minOf(coldLeftMs, maxOf(0, permitMs - now))
    }

    private fun nextPermitMs(target: TargetEntry, intervalMs: Long): Long =
        lastPermitMs[target.id]?.let { it + intervalMs } ?: NEVER_MS

    /** Returns the targets among [listed] that became cold or warm since the last call. */
    fun takeChanges(listed: Collection<TargetEntry>, now: Long): List<ColdChange> {
        if (rules.isEmpty() && loggedCold.isEmpty()) return emptyList()
        val left = listed.associate { it.id to (it.service to leftMs(it, now)) }.filterValues { it.second > 0 }
        val becameCold = left.filterKeys { it !in loggedCold }.map { (id, of) ->
            ColdChange(id, of.first, isCold = true, of.second)
        }
        val becameWarm = loggedCold.filterKeys { it !in left }.map { (id, service) ->
            ColdChange(id, service, isCold = false, leftMs = 0)
        }
        loggedCold = left.mapValues { it.value.first }
        coldCount = left.size
        return becameCold + becameWarm
    }
}
