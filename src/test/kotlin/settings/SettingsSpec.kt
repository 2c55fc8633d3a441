/*
 * Settings match their documentation, faults are reported with remedies, and the example files are valid.
 */
package org.sesamerouter.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.io.File

private val plainJson = Json { encodeDefaults = true }

private data class Row(val key: String, val default: String, val bounds: String)

private fun documentedRows(): List<Row> = File("docs/SETTINGS.md").readLines()
    .filter { it.startsWith("| `") }
    .map { line -> line.split('|').map { it.trim() } }
    .map { Row(it[1].trim('`'), it[3].trim('`'), it[4]) }

private fun leafValues(element: JsonElement, path: String): Map<String, String> = when (element) {
    is JsonObject -> element.entries.flatMap { (name, value) ->
        leafValues(value, if (path.isEmpty()) name else "$path.$name").entries
    }.associate { it.key to it.value }

    is JsonPrimitive -> mapOf(path to element.content)

    else -> mapOf(path to "")
}

class SettingsSpec :
    FunSpec({
        val minimal = """
        [host]
        id = "h1"
        data_centre = "a"
        [platform]
        log = "127.0.0.1:1"
        """.trimIndent()

        test("the documentation lists every key with its default") {
            val settings = checkNotNull(parseSettings(minimal).get())
            val json = plainJson.encodeToJsonElement(Settings.serializer(), settings)
            val defaults = leafValues(json, "")
            val rows = documentedRows()
            rows.map { it.key } shouldContainExactlyInAnyOrder defaults.keys
            val mismatches = rows.filter {
                it.default != "required" && it.default != "empty" &&
                    it.default != defaults[it.key]
            }
            mismatches shouldContainExactly emptyList()
        }

        test("the documentation lists the range of every numeric setting") {
            val documentedRanges = documentedRows().filter { " to " in it.bounds }.associate { it.key to it.bounds }
            documentedRanges shouldBe NUMBER_SETTINGS.associate { it.path to "${it.range.first} to ${it.range.last}" }
        }

        test("all faults are reported together, each with its key and remedy") {
            val faults = parseSettings(
                minimal.replace("127.0.0.1:1", "nowhere").replace("\"h1\"", "\"\"") + "\n[timing]\nlease_ms = 5",
            ).getError().orEmpty()
            faults.map { it.path } shouldContainExactlyInAnyOrder listOf("host.id", "platform.log", "timing.lease_ms")
            faults.forEach { it.remedy shouldNotBe "" }
        }

        test("a misspelt key is reported as a fault") {
            parseSettings(minimal + "\n[timing]\nleese_ms = 5000").getError().orEmpty().single()
                .toString() shouldContain "leese"
        }

        test("the settings of the examples are valid") {
            val files = File("examples").walk().filter { it.extension == "toml" }.toList()
            files.size shouldBe 12
            files.mapNotNull { parseSettings(it.readText()).getError() } shouldContainExactly emptyList()
        }
    })
