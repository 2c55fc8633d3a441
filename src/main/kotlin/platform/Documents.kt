/*
 * Reads JSON documents of the platform, which any writer may have filled with anything. The parser recurses for each
 * level of nesting, so the depth of a document is bounded before it is parsed.
 */
package org.sesamerouter.platform

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.api.isTooDeep

internal val platformJson = Json {
    ignoreUnknownKeys = true
    isLenient = false
}

/** Returns the document [text] as [serializer] describes it, or null if it is none, whatever it holds. */
internal fun <T> decodeDocument(serializer: KSerializer<T>, text: String): T? =
    if (isTooDeep(text)) null else platformJson.decodeOrNull(serializer, text)
