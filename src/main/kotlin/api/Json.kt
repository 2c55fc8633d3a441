/*
 * The JSON formats of the product: a lenient one for messages between programs, a strict one for what operators
 * write, and the guard that bounds the depth of what comes from outside.
 */
package org.sesamerouter.api

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** Deepest nesting of arrays and objects that is read from outside. */
const val MAX_JSON_DEPTH = 64

/** Reads messages, passing over keys that a newer version may have added. */
@OptIn(ExperimentalSerializationApi::class)
val WireJson = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

/** Reads what operators write: an unknown key is an error, so that a misspelt one is not passed over. */
@OptIn(ExperimentalSerializationApi::class)
val StrictJson = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    explicitNulls = false
    encodeDefaults = true
}

/** Prints for people. */
val PrettyJson = Json(StrictJson) { prettyPrint = true }

/** Returns what [text] holds, or null when it is no such message: what comes from outside may be anything. */
fun <T> Json.decodeOrNull(serializer: KSerializer<T>, text: String): T? = try {
    decodeFromString(serializer, text)
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}

/** Tells whether [text] nests arrays and objects deeper than [limit]; linear, without recursion. */
fun isTooDeep(text: String, limit: Int = MAX_JSON_DEPTH): Boolean {
    var depth = 0
    var quoted = false
    var escaped = false
    for (c in text) {
        when {
            escaped -> escaped = false
            quoted && c == '\\' -> escaped = true
            c == '"' -> quoted = !quoted
            quoted -> Unit
            c == '{' || c == '[' -> if (++depth > limit) return true
            c == '}' || c == ']' -> depth--
        }
    }
    return false
}
