/*
 * Chooses among targets whose expected times are about equal. Hosts that hold the same information and choose at the
 * same moment would otherwise all choose the same target.
 */
package org.sesamerouter.balancing

import java.util.Random

private const val NEAR_SHARE_OF_AGE = 0.1 // keeps choices apart until errors of expected times are known

// Without this term, p95 waits with reports that are 0.5 s late are three times as long, see note 22.
private const val NEAR_SHARE_OF_ERROR = 0.5

// A few further sends make no engine the most loaded of a pool.
private const val UNSEEN_SENDS_FOR_FULL_WIDTH = 8.0

/**
 * Returns up to how many ms apart expected times count as about equal: in proportion to the [ageMs] of what is known
 * or, if more, to the [errorMs] of expected times, which includes what is not known of the age. It is 0 with fresh
 * information or one host, and small if other hosts make few [unseenSends] in that time.
 */
fun nearMs(ageMs: Double, errorMs: Double, unseenSends: Double): Double =
    maxOf(NEAR_SHARE_OF_AGE * ageMs, NEAR_SHARE_OF_ERROR * errorMs) *
        minOf(1.0, unseenSends / UNSEEN_SENDS_FOR_FULL_WIDTH)

/**
 * Returns the index of one of [costs] that is less than [nearMs] above the lowest, drawn in proportion to the time by
 * which it is below that bound and to its [capacities].
 */
fun chooseNear(costs: List<Double>, capacities: List<Double>, nearMs: Double, random: Random): Int {
    val lowest = costs.min()
    if (nearMs <= 0 || lowest == Double.MAX_VALUE) return costs.indexOf(lowest)
    val weights = costs.indices.map { maxOf(0.0, lowest + nearMs - costs[it]) * capacities[it] }
    var drawn = random.nextDouble() * weights.sum()
    for (i in weights.indices) {
        if (weights[i] <= 0) continue
        drawn -= weights[i]
        if (drawn < 0) return i
    }
    return costs.indexOf(lowest)
}
