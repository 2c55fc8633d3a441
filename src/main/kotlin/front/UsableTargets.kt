/*
 * The targets that a host may use, from their discovery entries, the pauses that they asked this host for and the data
 * centres that the operator has evacuated.
 */
package org.sesamerouter.front

import org.sesamerouter.discovery.TargetDirectory
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.routing.TargetPauses

/** An index of the targets in [directory], rebuilt by [refresh]. Used on the control thread. */
internal class UsableTargets(
    private val directory: TargetDirectory,
    private val isEvacuated: (dataCentre: String) -> Boolean = { false },
) {
    private val pauses = TargetPauses()
    private var active: List<TargetEntry> = emptyList()
    private var byService: Map<String, List<TargetEntry>> = emptyMap()
    private var byAddress: Map<String, TargetEntry> = emptyMap()

    /** Rebuilds the index after a change. Returns the targets that ended or started anew without draining first. */
    fun refresh(now: Long): List<TargetEntry> {
        val all = directory.targets
        val ended = active.filter { all[it.id]?.startTimeMs != it.startTimeMs }
        active = all.values.filter { !it.isDraining }
        byService = active.filter { !pauses.isPaused(it, now) && !isEvacuated(it.dataCentre) }.groupBy { it.service }
        byAddress = all.values.associateBy { it.address }
        return ended
    }

    /** Returns the targets of [service] that accept requests of this host. */
    fun of(service: String): List<TargetEntry> = byService[service].orEmpty()

    /** Returns the target at [address], also a draining, paused or evacuated one. */
    fun at(address: String): TargetEntry? = byAddress[address]

    /** Records that [target] asked for a pause of [pauseMs]; returns whether it was in use until now. */
    fun pause(target: TargetEntry, pauseMs: Long, now: Long): Boolean = pauses.pause(target, pauseMs, now)

    /** Ends the pauses that are over; returns whether there were any. */
    fun onTick(now: Long): Boolean = pauses.onTick(now)

    /** Time until [target] accepts requests of this host again; 0 if it does. */
    fun pauseLeftMs(target: TargetEntry, now: Long): Long = pauses.leftMs(target, now)

    /** Time until the first paused target of [service] returns; null if none is paused. */
    fun pauseLeftMs(service: String, now: Long): Long? =
        active.filter { it.service == service && !isEvacuated(it.dataCentre) }.map { pauses.leftMs(it, now) }.filter {
            it >
                0
        }.minOrNull()
}
