/*
 * The difference between two configuration texts, compressed. A text is split after each closing brace, so that a
 * changed route or service is one piece; the difference names pieces of the base that are kept and has the text of the
 * others. Checksums of both texts make sure that it is applied to the text that it was made from.
 */
package org.sesamerouter.propagation

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel
import java.util.zip.CRC32

private const val PIECE_END = '}'

/** Adds [text] if there is one, then [count] pieces of the base from number [from]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
private data class Step(
    @CborLabel(1) val from: Int = 0,
    @CborLabel(2) val count: Int = 0,
    @CborLabel(3) val text: String? = null,
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
private data class TextDelta(
    @CborLabel(1) val baseChecksum: Long,
    @CborLabel(2) val checksum: Long,
    @CborLabel(3) val steps: List<Step>,
)

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { preferCborLabelsOverNames = true }

/** Returns a checksum of [bytes]. */
internal fun checksumOf(bytes: ByteArray): Long = CRC32().apply { update(bytes) }.value

/** Returns the compressed difference from [base] to [text]; without a base it has the whole text. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeDelta(base: String?, text: String): ByteArray {
    val steps = if (base == null) listOf(Step(text = text)) else steps(pieces(base), pieces(text))
    val delta = TextDelta(checksumOf(base.orEmpty().toByteArray()), checksumOf(text.toByteArray()), steps)
    return compress(cbor.encodeToByteArray(TextDelta.serializer(), delta))
}

/** Returns what the difference [bytes] makes of [base]; null if it is invalid or was made from another base. */
@OptIn(ExperimentalSerializationApi::class)
internal fun applyDelta(base: String?, bytes: ByteArray): String? {
    val delta = try {
        decompress(bytes)?.let { cbor.decodeFromByteArray(TextDelta.serializer(), it) }
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    } ?: return null
    if (delta.baseChecksum != checksumOf(base.orEmpty().toByteArray())) return null
    val pieces = pieces(base.orEmpty())
    val text = StringBuilder()
    for (step in delta.steps) {
        if (step.text != null) text.append(step.text)
        if (step.from < 0 || step.count < 0 || step.from + step.count > pieces.size) return null
        repeat(step.count) { text.append(pieces[step.from + it]) }
    }
    return text.toString().takeIf { checksumOf(it.toByteArray()) == delta.checksum }
}

private fun pieces(text: String): List<String> {
    val pieces = ArrayList<String>()
    var start = 0
    while (start < text.length) {
        val end = text.indexOf(PIECE_END, start).let { if (it < 0) text.length else it + 1 }
        pieces += text.substring(start, end)
        start = end
    }
    return pieces
}

private fun steps(base: List<String>, pieces: List<String>): List<Step> {
    val numbers = HashMap<String, Int>()
    base.forEachIndexed { number, piece -> numbers.putIfAbsent(piece, number) }
    val steps = ArrayList<Step>()
    val added = StringBuilder()
    for (piece in pieces) {
        val next = steps.lastOrNull()?.takeIf { added.isEmpty() }?.let { it.from + it.count }
        val number = next?.takeIf { base.getOrNull(it) == piece } ?: numbers[piece]
        when {
            number == null -> added.append(piece)
            number == next -> steps[steps.lastIndex] = steps.last().let { it.copy(count = it.count + 1) }
            else -> steps += Step(number, 1, added.takeText())
        }
    }
    if (added.isNotEmpty()) steps += Step(text = added.takeText())
    return steps
}

private fun StringBuilder.takeText(): String? = if (isEmpty()) null else toString().also { clear() }
