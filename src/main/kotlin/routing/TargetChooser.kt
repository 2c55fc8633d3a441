/*
 * Picks the target of one attempt. Within a deterministic subset of the pool: by prefix affinity where the request has
 * a prefix, bounded by load; otherwise the better of a few random candidates by own requests in progress plus the
 * reported load of others, discounted by the age of the report.
 */
package org.sesamerouter.routing

import net.openhft.hashing.LongHashFunction
import org.sesamerouter.target.LoadReport
import java.util.random.RandomGenerator
import kotlin.math.exp

private const val SUBSET_SIZE = 24
private const val CANDIDATES = 2
private const val AFFINITY_LOAD_BOUND = 1.25
private const val REPORT_HALF_LIFE_MS = 1_000.0

/**
 * What an attempt asks of its target.
 *
 * @property prefix hash of the prompt prefix, null where caching plays no part.
 * @property excluded targets that this request has tried already.
 * @property suspect whether the request is suspected of crashing targets.
 */
data class ChoiceRequest(
    val prefix: Long? = null,
    val excluded: Set<TargetKey> = emptySet(),
    val suspect: Boolean = false,
)

/** Chooses among the targets of a pool. */
interface TargetChooser {
    /** Returns a target with room for one more request, or null when there is none now. */
    fun choose(pool: PoolState, request: ChoiceRequest, now: Long): TargetState?
}

/** Returns the product's chooser for the host [hostId]; [random] breaks symmetry between hosts. */
fun defaultTargetChooser(hostId: String, random: RandomGenerator): TargetChooser = DefaultTargetChooser(hostId, random)

/** Returns a chooser that takes any target at random, whatever its load: the baseline. */
fun randomTargetChooser(random: RandomGenerator): TargetChooser = RandomTargetChooser(random)

internal class DefaultTargetChooser(private val hostId: String, private val random: RandomGenerator) : TargetChooser {
    override fun choose(pool: PoolState, request: ChoiceRequest, now: Long): TargetState? {
        val usable = subset(pool.usable(now)).filter { it.hasRoom() && !(request.suspect && it.suspect != null) }
        if (usable.isEmpty()) return null
        val fresh = usable.filter { it.key !in request.excluded }.ifEmpty { usable }
        return request.prefix?.let { affine(fresh, it, now) } ?: leastLoaded(fresh, now)
    }

    private fun subset(targets: List<TargetState>): List<TargetState> {
        if (targets.size <= SUBSET_SIZE) return targets
        return targets.sortedBy { rendezvous(hostId, it.address) }.take(SUBSET_SIZE)
    }

    private fun affine(targets: List<TargetState>, prefix: Long, now: Long): TargetState? {
        val bound = AFFINITY_LOAD_BOUND * targets.sumOf { load(it, now) } / targets.size + 1.0 / targets[0].spec.slots
        return targets.sortedBy { rendezvous(prefix.toString(), it.address) }.firstOrNull { load(it, now) <= bound }
    }

    private fun leastLoaded(targets: List<TargetState>, now: Long): TargetState {
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
    return others * exp(-age / REPORT_HALF_LIFE_MS)
}

/** Returns the rendezvous weight of [node] for [item]; the lowest wins. */
fun rendezvous(item: String, node: String): Long = LongHashFunction.xx3().hashChars("$item|$node")
