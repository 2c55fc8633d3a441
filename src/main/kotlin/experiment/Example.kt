/*
 * The example deployments included in the program: their declarations, the behaviour of their stand-ins and the
 * requests of their callers.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.sesamerouter.api.StrictJson
import org.sesamerouter.configuration.Declaration
import org.sesamerouter.standin.TargetBehaviour

val EXAMPLES = listOf("krakow", "northern-spain")

private val DECLARATION_FILES = listOf("priorities", "organisations", "models", "pools", "pipelines")

/**
 * One kind of request in the mix of an example. It calls either a pipeline or an operation of a service.
 *
 * @property share relative frequency in the mix.
 * @property tokens number of tokens to generate.
 * @property once whether the request may run at most once and therefore needs an idempotency key.
 * @property status whether the request is a status check, which must be answered during a surge as well.
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

/**
 * Traffic of an example.
 *
 * @property pools behaviour of the stand-ins by pool.
 * @property mix kinds of requests.
 * @property organisations relative share of the requests by organisation.
 */
@Serializable
data class ExampleTraffic(
    val pools: Map<String, TargetBehaviour>,
    val mix: List<MixEntry>,
    val organisations: Map<String, Int>,
)

/** An example deployment. */
data class Example(val name: String, val declarations: List<Declaration>, val traffic: ExampleTraffic)

/** Reads the example [name] from the resources of the program. */
fun readExample(name: String): Example {
    require(name in EXAMPLES) { "unknown example $name; expected one of ${EXAMPLES.joinToString()}." }
    val declarations = DECLARATION_FILES.flatMap { file ->
        val text = resource("examples/$name/declarations/$file.json")
        StrictJson.decodeFromString(ListSerializer(Declaration.serializer()), text)
    }
    val traffic = StrictJson.decodeFromString(ExampleTraffic.serializer(), resource("examples/$name/traffic.json"))
    return Example(name, declarations, traffic)
}

private fun resource(path: String): String =
    checkNotNull(Example::class.java.classLoader.getResource(path)) { "resource $path is missing; rebuild the program" }
        .readText()
