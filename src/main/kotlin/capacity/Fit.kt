/*
 * Straight lines through measured points, and what they give at the target size.
 */
package org.sesamerouter.capacity

import kotlinx.serialization.Serializable

/** A measured [value] at [size]. */
@Serializable
data class Point(val size: Int, val value: Double)

/** The least-squares line through points, with its coefficient of determination. */
@Serializable
data class Fit(val base: Double, val slope: Double, val quality: Double) {
    /** Returns the value of the line at [size]. */
    fun at(size: Int): Double = base + slope * size
}

/** Returns the line through [points]; at least two sizes are needed. */
fun fitOf(points: List<Point>): Fit {
    require(points.map { it.size }.distinct().size >= 2) { "A line needs two sizes; measure at one more." }
    val meanSize = points.map { it.size }.average()
    val meanValue = points.map { it.value }.average()
    val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val variance = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val slope = covariance / variance
    val base = meanValue - slope * meanSize
    val total = points.sumOf { (it.value - meanValue) * (it.value - meanValue) }
    val rest = points.sumOf { (it.value - base - slope * it.size).let { error -> error * error } }
    return Fit(base, slope, if (total == 0.0) 1.0 else 1.0 - rest / total)
}

/**
 * One figure of one role.
 *
 * @property per what the sizes count.
 * @property targetSize size at which the line is read.
 */
@Serializable
data class Slope(
    val role: String,
    val figure: String,
    val unit: String,
    val per: String,
    val points: List<Point>,
    val targetSize: Int,
    val fit: Fit = fitOf(points),
) {
    val atTarget: Double get() = fit.at(targetSize)
}
