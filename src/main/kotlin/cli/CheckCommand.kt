/*
 * Validates settings and declarations without starting a host, and reports all faults together.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import org.sesamerouter.api.StrictJson
import org.sesamerouter.configuration.Declaration
import org.sesamerouter.configuration.PipelineSpec
import org.sesamerouter.configuration.ResourceKind
import org.sesamerouter.configuration.parseSpec
import org.sesamerouter.settings.parseSettings
import java.io.File

internal class CheckCommand : CliktCommand("check") {
    private val settings by option("--settings", help = "TOML settings to check").file(mustExist = true)
    private val declarations by option(
        "--declarations",
        help = "directory or file of declarations",
    ).file(mustExist = true)

    override fun help(context: Context) = "Checks settings or declarations and reports every fault with its remedy."

    override fun run() {
        if (settings == null && declarations == null) throw UsageError("pass --settings FILE or --declarations DIR")
        val faults = ArrayList<String>()
        settings?.let { file -> parseSettings(file.readText()).getError()?.let { faults += formatFaults(file, it) } }
        declarations?.let { faults += readDeclarations(it).faults }
        if (faults.isNotEmpty()) throw validationError(faults)
        echo("no faults")
    }
}

/** Declarations read from files, and the faults found in them, each with file, key and remedy. */
internal data class DeclarationsResult(val items: List<Declaration>, val faults: List<String>)

/** Order in which kinds are applied: a resource is applied before the resources that refer to it. */
private val APPLY_ORDER = listOf(
    ResourceKind.PRIORITY_CLASS,
    ResourceKind.ORGANISATION,
    ResourceKind.POOL,
    ResourceKind.MODEL,
    ResourceKind.PIPELINE,
)

/** Reads all declarations in [path], a file or a directory of .json files. */
internal fun readDeclarations(path: File): DeclarationsResult {
    val files = if (path.isDirectory) {
        path.walk().filter {
            it.extension == "json"
        }.sorted().toList()
    } else {
        listOf(path)
    }
    val items = ArrayList<Declaration>()
    val faults = ArrayList<String>()
    for (file in files) {
        val declarations = try {
            StrictJson.decodeFromString(ListSerializer(Declaration.serializer()), file.readText())
        } catch (e: SerializationException) {
            faults += "${file.path}: ${e.message.orEmpty().lineSequence().first()}; write a list of {kind, name, spec}"
            continue
        }
        items += declarations
        for (item in declarations) {
            val label = "${item.kind.label} ${item.name}"
            faults += parseSpec(item.kind, item.name, item.spec).getError().orEmpty()
                .map { "${file.path}: $label: $it" }
        }
    }
    faults += referenceFaults(items)
    return DeclarationsResult(items.sortedBy { APPLY_ORDER.indexOf(it.kind) }, faults)
}

private fun referenceFaults(items: List<Declaration>): List<String> {
    val pools = items.filter { it.kind == ResourceKind.POOL }.map { it.name }.toSet()
    if (pools.isEmpty()) return emptyList()
    return items.filter { it.kind == ResourceKind.PIPELINE }.flatMap { item ->
        val spec = parseSpec(item.kind, item.name, item.spec).getOrElse { return@flatMap emptyList() } as PipelineSpec
        spec.stages.filter { it.pool !in pools }.map {
            "Pipeline ${item.name}: stage ${it.name} names the undeclared pool ${it.pool}; declare or correct it"
        }
    }
}
