/*
 * JSON formats: a lenient one for messages between programs and a strict one for files written by operators. Also
 * checks the nesting depth of untrusted input.
 */
package org.sesamerouter.api

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** Maximum nesting depth of arrays and objects in untrusted input. */
const val MAX_JSON_DEPTH = 64

/** Format for messages; ignores unknown keys, which a newer version may have added. */
@OptIn(ExperimentalSerializationApi::class)
val WireJson = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

/** Format for files written by operators; rejects unknown keys, so that a misspelt key is not silently ignored. */
@OptIn(ExperimentalSerializationApi::class)
val StrictJson = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    explicitNulls = false
    encodeDefaults = true
}

/** Indented format for output that people read. */
val PrettyJson = Json(StrictJson) { prettyPrint = true }

/** Decodes untrusted [text], or returns null when it is not a valid message of this type. */
fun <T> Json.decodeOrNull(serializer: KSerializer<T>, text: String): T? = try {
    decodeFromString(serializer, text)
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}

/** Returns whether [text] nests arrays and objects deeper than [limit]; linear in its length, without recursion. */
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
