/*
 * The pieces of a job differ by their number alone, so that a job holds their number and what they have in common. Each
 * piece is made when it is called.
 */
package org.sesamerouter.batching

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

// Characters of keys and inputs that are listed for each piece, as hosts of an earlier version read them.
private const val MAX_LISTED_CHARACTERS = 64 * 1024L

private class EqualPieces(override val size: Int, private val key: String?, private val inputs: List<String>) :
    AbstractList<Piece>() {
    override fun get(index: Int): Piece {
        if (index !in indices) throw IndexOutOfBoundsException("piece $index of $size")
        return Piece(index, key, inputs)
    }
}

/** Returns [count] pieces with numbers from 0, which are computed from [key] or from [inputs]. */
fun equalPieces(count: Int, key: String?, inputs: List<String>): List<Piece> = EqualPieces(count, key, inputs)

/** A piece on the link; [repeat] is the number of pieces like it, with numbers from 0. */
@Serializable
private data class WirePiece(
    val number: Int,
    val key: String? = null,
    val inputs: List<String> = emptyList(),
    val repeat: Int = 1,
)

/** Encodes few pieces as a list and many as their number, so that a job of any size has a small message. */
internal object PieceListSerializer : KSerializer<List<Piece>> {
    private val list = ListSerializer(WirePiece.serializer())
    override val descriptor: SerialDescriptor = list.descriptor

    override fun serialize(encoder: Encoder, value: List<Piece>) {
        val first = value.firstOrNull()
        val listed = when {
            first == null -> emptyList()
            isLong(value.size, first) -> listOf(WirePiece(0, first.key, first.inputs, value.size))
            else -> value.map { WirePiece(it.number, it.key, it.inputs) }
        }
        encoder.encodeSerializableValue(list, listed)
    }

    private fun isLong(count: Int, piece: Piece): Boolean {
        val characters = 1L + (piece.key?.length ?: 0) + piece.inputs.sumOf { it.length + 1L }
        return count * characters > MAX_LISTED_CHARACTERS
    }

    override fun deserialize(decoder: Decoder): List<Piece> {
        val listed = decoder.decodeSerializableValue(list)
        val first = listed.firstOrNull() ?: return emptyList()
        if (first.repeat < 1) throw SerializationException("a job cannot have ${first.repeat} pieces")
        return equalPieces(if (listed.size == 1) first.repeat else listed.size, first.key, first.inputs)
    }
}
