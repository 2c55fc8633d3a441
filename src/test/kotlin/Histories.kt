/*
 * Configuration of the property tests: a fixed number of histories is generated from a fixed seed, so that results are
 * reproducible.
 */
package org.sesamerouter

import io.kotest.common.ExperimentalKotest
import io.kotest.property.PropTestConfig

/** Number of histories generated for each property. */
const val HISTORIES = 1_500

/** Returns the configuration of a property test with [count] histories generated from [seed]. */
@OptIn(ExperimentalKotest::class)
fun histories(seed: Long, count: Int = HISTORIES): PropTestConfig {
    println("property seed $seed, $count histories")
    return PropTestConfig(seed = seed, iterations = count)
}
