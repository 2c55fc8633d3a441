/*
 * Linear regression through measured points, and extrapolation to the target size.
 */
package org.sesamerouter.capacity

import kotlinx.serialization.Serializable

/** A measured [value] at [size]. */
@Serializable
data class Point(val size: Int, val value: Double)

/** A least-squares line. [quality] is its coefficient of determination. */
@Serializable
data class Fit(val base: Double, val slope: Double, val quality: Double) {
    /** Returns the value of the line at [size]. */
    fun at(size: Int): Double = base + slope * size
}

/** Returns the least-squares line through [points], which must have at least two distinct sizes. */
fun fitLine(points: List<Point>): Fit {
    require(points.map { it.size }.distinct().size >= 2) { "a linear fit needs points of at least two distinct sizes" }
    val meanSize = points.map { it.size }.average()
    val meanValue = points.map { it.value }.average()
    val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val variance = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val slope = covariance / variance
    val base = meanValue - slope * meanSize
    val total = points.sumOf { (it.value - meanValue) * (it.value - meanValue) }
    val residual = points.sumOf { (it.value - base - slope * it.size).let { error -> error * error } }
    return Fit(base, slope, if (total == 0.0) 1.0 else 1.0 - residual / total)
}

/**
 * How one figure of one role scales with size.
 *
 * @property per the quantity that the sizes count, such as members.
 * @property targetSize size to extrapolate to.
 */
@Serializable
data class ScalingFigure(
    val role: String,
    val figure: String,
    val unit: String,
    val per: String,
    val points: List<Point>,
    val targetSize: Int,
    val fit: Fit = fitLine(points),
) {
    val valueAtTargetSize: Double get() = fit.at(targetSize)
}
