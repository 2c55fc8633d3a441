/*
 * Prints the cost of each role at several sizes, the line fitted to the points and its value at the target size.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.builtins.ListSerializer
import org.sesamerouter.api.PrettyJson
import org.sesamerouter.capacity.CapacityProbe
import org.sesamerouter.capacity.CapacitySizes
import org.sesamerouter.capacity.ScalingFigure
import org.sesamerouter.capacity.measureIdeas

internal class CapacityCommand : CliktCommand("capacity") {
    private val defaults = CapacitySizes()
    private val members by option("--members", help = "comma-separated sizes").convert {
        parseSizes(it)
    }.default(defaults.members)
    private val targets by option("--targets", help = "comma-separated sizes").convert {
        parseSizes(it)
    }.default(defaults.targets)
    private val organisations by option("--organisations", help = "comma-separated sizes").convert { parseSizes(it) }
        .default(defaults.organisations)
    private val pipelines by option("--pipelines").int().default(defaults.pipelines)
    private val ideas by option("--ideas", help = "measure the techniques of the related paper instead").flag()
    private val report by option("--report", help = "file for the JSON report").file()

    override fun help(context: Context) = "Measures control cost at several sizes and extrapolates to the target size."

    override fun run() {
        if (ideas) {
            measureIdeas().forEach { echo("%-36s %-46s %-22s %10.2f".format(it.idea, it.variant, it.figure, it.value)) }
            return
        }
        if (listOf(members, targets, organisations).any {
                it.size < 2
            }
        ) {
            throw UsageError("pass at least two sizes for each of --members, --targets and --organisations")
        }
        val probe = CapacityProbe(CapacitySizes(members, targets, organisations, pipelines))
        val figures = probe.measure { echo("measuring $it", err = true) }
        echo("%-26s %-18s %-10s %-10s %-40s %12s %6s %12s".format(*HEADER))
        figures.forEach { echo(row(it)) }
        report?.writeText(PrettyJson.encodeToString(ListSerializer(ScalingFigure.serializer()), figures) + "\n")
    }

    private fun row(scaling: ScalingFigure): String {
        val points = scaling.points.joinToString(" ") { "${it.size}:%.4g".format(it.value) }
        return "%-26s %-18s %-10s %-10s %-40s %12.4g %6.3f %12.4g".format(
            scaling.role,
            scaling.figure,
            scaling.unit,
            scaling.per,
            points,
            scaling.fit.slope,
            scaling.fit.quality,
            scaling.valueAtTargetSize,
        )
    }

    private fun parseSizes(text: String): List<Int> =
        text.split(',').map { it.trim().toIntOrNull() ?: throw UsageError("'$it' is not a size; write 8,16,32") }

    private companion object {
        val HEADER = arrayOf("ROLE", "FIGURE", "UNIT", "PER", "MEASURED", "SLOPE", "FIT", "AT TARGET")
    }
}
