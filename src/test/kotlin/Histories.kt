/*
 * How generated histories are run: a fixed number of them from a fixed seed, so that each run gives the same verdict.
 */
package org.sesamerouter

import io.kotest.common.ExperimentalKotest
import io.kotest.property.PropTestConfig

/** Number of generated histories for each property. */
const val HISTORIES = 1_500

/** Returns the configuration of a property test that starts from [seed]. */
@OptIn(ExperimentalKotest::class)
fun histories(seed: Long, count: Int = HISTORIES): PropTestConfig {
    println("property seed $seed, $count histories")
    return PropTestConfig(seed = seed, iterations = count)
}
