/*
 * Texts of configurations for tests, with about 280 characters a route, of which each version changes one.
 */
package org.sesamerouter.propagation

import kotlin.random.Random

/** The text of each version is a function of [seed], [routes] and the version. */
internal class ModelTexts(private val seed: Long, private val routes: Int) {
    private val texts = HashMap<Long, String>()
    private val applied = HashMap<Pair<Long, Long>, String?>()
    private val names = List(routes) { Random(seed * routes + it).nextInt(100_000, 1_000_000) }

    fun of(version: Long): String = texts.getOrPut(version) {
        val changes = (1..version).associate { Random(seed + it).nextInt(routes) to it }
        (0 until routes).joinToString(",", "{\"version\":$version,\"routes\":[", "]}") { route(it, changes[it] ?: 0) }
    }

    /** Applies a difference to the version [base]; hosts that apply the same one share the result. */
    fun apply(base: Long, delta: ByteArray): String? =
        applied.getOrPut(base to checksumOf(delta)) { applyDelta(texts[base], delta) }

    private fun route(number: Int, change: Long): String {
        val name = names[number]
        return """{"name":"r-$name","host":"shop$name.example","path-prefix":"/p${name * 31}/","kind":"streaming",""" +
            """"timeout-ms":${9_000 + change},"target-latency-ms":${name % 2_000},"priority":1,""" +
            """"service":"model","max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-aim-ms":400,""" +
            """"stages":[{"service":"stock","after":[],"bytes":8000}]}"""
    }
}

/** Returns the version of a text of [ModelTexts]. */
internal fun versionOf(text: String): Long = text.substringAfter(":").substringBefore(",").toLong()
