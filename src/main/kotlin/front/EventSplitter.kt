/*
 * Cuts the bytes of an event stream at the ends of its events, so that a stream that breaks off within an event can go
 * on at another target after the last whole one.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val ID_FIELD = "id:"

/** Splits one stream; not thread-safe. */
internal class EventSplitter {
    private val rest = ByteArrayOutputStream()

    /** The id of the last whole event; null before the first. */
    var lastId: String? = null
        private set

    /** Adds [content] and returns the whole events that it ends, or null when there is none. */
    fun add(content: ByteBuf): ByteBuf? {
        content.readBytes(rest, content.readableBytes())
        val bytes = rest.toByteArray()
        val end = endOfLastEvent(bytes)
        if (end == 0) return null
        noteId(bytes, end)
        rest.reset()
        rest.write(bytes, end, bytes.size - end)
        return Unpooled.wrappedBuffer(bytes, 0, end)
    }

    /** Returns what follows the last whole event. */
    fun takeRest(): ByteBuf = Unpooled.wrappedBuffer(rest.toByteArray()).also { rest.reset() }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (i in bytes.size - 1 downTo 1) {
            if (bytes[i] != LINE_FEED) continue
            val before = if (bytes[i - 1] == '\r'.code.toByte()) i - 2 else i - 1
            if (before >= 0 && bytes[before] == LINE_FEED) return i + 1
        }
        return 0
    }

    private fun noteId(bytes: ByteArray, end: Int) {
        val text = String(bytes, 0, end, Charsets.UTF_8)
        val id = text.lineSequence().filter { it.startsWith(ID_FIELD) }.lastOrNull() ?: return
        lastId = id.substring(ID_FIELD.length).trim()
    }
}
