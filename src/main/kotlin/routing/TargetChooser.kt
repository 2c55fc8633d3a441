/*
 * Chooses the target of an attempt from a deterministic subset of the pool. Requests with a prefix hash are routed by
 * prefix affinity with bounded load. Others go to the least loaded of a few random candidates; the load is the number
 * of requests that this host has in progress plus the reported load of other hosts, which decays with the age of the
 * report.
 */
package org.sesamerouter.routing

import net.openhft.hashing.LongHashFunction
import org.sesamerouter.target.LoadReport
import java.util.random.RandomGenerator
import kotlin.math.exp

private const val SUBSET_SIZE = 24
private const val CANDIDATES = 2
private const val AFFINITY_LOAD_BOUND = 1.25
private const val REPORT_DECAY_MS = 1_000.0

/**
 * The properties of a request on which the choice of a target depends.
 *
 * @property prefixHash hash of the prompt prefix, null when prefix caching does not apply.
 * @property excluded targets that the request has already tried; they are used only when there are no others.
 * @property suspect whether the request is suspected of crashing targets.
 */
data class ChoiceRequest(
    val prefixHash: Long? = null,
    val excluded: Set<TargetKey> = emptySet(),
    val suspect: Boolean = false,
)

/** Chooses a target of a pool. */
interface TargetChooser {
    /** Returns a target with capacity for one more request, or null when there is none at [now]. */
    fun choose(pool: PoolState, request: ChoiceRequest, now: Long): TargetState?
}

/** Returns the default chooser for the host [hostId]; [random] keeps hosts from all choosing the same target. */
fun defaultTargetChooser(hostId: String, random: RandomGenerator): TargetChooser = DefaultTargetChooser(hostId, random)

/** Returns the baseline chooser, which selects a random target regardless of its load. */
fun randomTargetChooser(random: RandomGenerator): TargetChooser = RandomTargetChooser(random)

internal class DefaultTargetChooser(private val hostId: String, private val random: RandomGenerator) : TargetChooser {
    override fun choose(pool: PoolState, request: ChoiceRequest, now: Long): TargetState? {
        val usable = subsetOf(pool.usable(now)).filter { it.hasCapacity() && !(request.suspect && it.suspect != null) }
        if (usable.isEmpty()) return null
        val untried = usable.filter { it.key !in request.excluded }.ifEmpty { usable }
        return request.prefixHash?.let { chooseByAffinity(untried, it, now) } ?: chooseByLoad(untried, now)
    }

    private fun subsetOf(targets: List<TargetState>): List<TargetState> {
        if (targets.size <= SUBSET_SIZE) return targets
        return targets.sortedBy { rendezvous(hostId, it.address) }.take(SUBSET_SIZE)
    }

    private fun chooseByAffinity(targets: List<TargetState>, prefixHash: Long, now: Long): TargetState? {
        val bound = AFFINITY_LOAD_BOUND * targets.sumOf { load(it, now) } / targets.size + 1.0 / targets[0].spec.slots
        return targets.sortedBy { rendezvous(prefixHash.toString(), it.address) }.firstOrNull { load(it, now) <= bound }
    }

    private fun chooseByLoad(targets: List<TargetState>, now: Long): TargetState {
        val candidates = List(CANDIDATES) { targets[random.nextInt(targets.size)] }
        return candidates.minBy { load(it, now) * maxOf(1.0, it.latencyRatio) }
    }
}

internal class RandomTargetChooser(private val random: RandomGenerator) : TargetChooser {
    override fun choose(pool: PoolState, request: ChoiceRequest, now: Long): TargetState? {
        if (pool.targets.isEmpty()) return null
        return pool.targets[random.nextInt(pool.targets.size)]
    }
}

/** Returns the load of [target] as a share of its slots. */
internal fun load(target: TargetState, now: Long): Double {
    val others = target.report?.let { othersInProgress(it, target, now) } ?: 0.0
    return (target.inProgress + others) / target.spec.slots
}

private fun othersInProgress(report: LoadReport, target: TargetState, now: Long): Double {
    val age = (now - target.reportedAtMs + report.ageMs).toDouble()
    val others = maxOf(0, report.inProgress + report.queued - target.inProgress)
    return others * exp(-age / REPORT_DECAY_MS)
}

/** Returns the rendezvous hash of [node] for [item]; the node with the lowest value is chosen. */
fun rendezvous(item: String, node: String): Long = LongHashFunction.xx3().hashChars("$item|$node")
