/*
 * Reads JSON documents of the platform, which any writer may have filled with anything. The parser recurses for each
 * level of nesting, so the depth of a document is bounded before it is parsed.
 */
package org.sesamerouter.platform

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json

private const val MAX_NESTING = 64 // the documents of the platform have up to six levels

internal val platformJson = Json {
    ignoreUnknownKeys = true
    isLenient = false
}

/** Returns the document [text] as [strategy] describes it, or null if it is none, whatever it holds. */
internal fun <T> decodeDocument(strategy: DeserializationStrategy<T>, text: String): T? {
    if (nestingOf(text) > MAX_NESTING) return null
    return try {
        platformJson.decodeFromString(strategy, text)
    } catch (_: IllegalArgumentException) {
        null // that it is no document is all that callers need to know, and what they log
    }
}

/** Returns the deepest nesting of [text]; brackets within strings do not count. */
private fun nestingOf(text: String): Int {
    var depth = 0
    var deepest = 0
    var isInString = false
    var isEscaped = false
    for (char in text) {
        when {
            isEscaped -> isEscaped = false
            isInString -> if (char == '"') isInString = false else isEscaped = char == '\\'
            char == '"' -> isInString = true
            char == '[' || char == '{' -> deepest = maxOf(deepest, ++depth)
            char == ']' || char == '}' -> depth--
        }
    }
    return deepest
}
