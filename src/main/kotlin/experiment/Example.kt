/*
 * The example deployments that come with the program: declarations, how their stand-ins behave and what their callers
 * send.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.sesamerouter.api.StrictJson
import org.sesamerouter.configuration.Declaration
import org.sesamerouter.standin.TargetBehaviour

/** Names of the examples. */
val EXAMPLES = listOf("krakow", "northern-spain")

private val DECLARATION_FILES = listOf("priorities", "organisations", "models", "pools", "pipelines")

/**
 * One kind of request in the mix of an example.
 *
 * @property share relative frequency.
 * @property once whether it may run at most once and so takes a key.
 * @property status whether it is a status check, which has to come back in a surge as well.
 */
@Serializable
data class MixEntry(
    val name: String,
    val pipeline: String = "",
    val service: String = "",
    val operation: String = "",
    val share: Int,
    val tokens: Int = 0,
    val stream: Boolean = false,
    val once: Boolean = false,
    val status: Boolean = false,
)

/** Behaviour of the stand-ins by pool, the mix, and the shares of the organisations. */
@Serializable
data class ExampleTraffic(
    val pools: Map<String, TargetBehaviour>,
    val mix: List<MixEntry>,
    val organisations: Map<String, Int>,
)

/** An example. */
data class Example(val name: String, val declarations: List<Declaration>, val traffic: ExampleTraffic)

/** Reads the example [name] out of the program. */
fun readExample(name: String): Example {
    require(name in EXAMPLES) { "There is no example $name; use one of ${EXAMPLES.joinToString()}." }
    val declarations = DECLARATION_FILES.flatMap { file ->
        val text = resource("examples/$name/declarations/$file.json")
        StrictJson.decodeFromString(ListSerializer(Declaration.serializer()), text)
    }
    val traffic = StrictJson.decodeFromString(ExampleTraffic.serializer(), resource("examples/$name/traffic.json"))
    return Example(name, declarations, traffic)
}

private fun resource(path: String): String =
    checkNotNull(Example::class.java.classLoader.getResource(path)) { "The program lacks $path; build it again." }
        .readText()
