/*
 * Splits the bytes of an event stream at event boundaries, so that a stream interrupted within an event can resume at
 * another target after the last complete event, and no part of an event is passed on.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val ID_FIELD = "id:"
private const val COMMENT_PREFIX = ":"
private const val MAX_EVENT_BYTES = 256 * 1024 // events are well below 1 KB

/** Splits one event stream. Not thread-safe. */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()

    /** The last event id among the complete events; null before the first one. */
    var lastId: String? = null
        private set

    /** Whether the stream can be resumed after [lastId]: false if the last complete event has no id. */
    var isResumable = true
        private set

    /** Whether the data since the last complete event is too long to be an event. */
    val isTooLong: Boolean get() = pending.size() > MAX_EVENT_BYTES

    /** Adds [content] and returns the events that are now complete, or null when there are none. */
    fun add(content: ByteBuf): ByteBuf? {
        content.readBytes(pending, content.readableBytes())
        val bytes = pending.toByteArray()
        val end = endOfLastEvent(bytes)
        if (end == 0) return null
        updateLastId(String(bytes, 0, end, Charsets.UTF_8))
        pending.reset()
        pending.write(bytes, end, bytes.size - end)
        return Unpooled.wrappedBuffer(bytes, 0, end)
    }

    /** Whether a stream that ends here ends inside an event; whole comments and blank lines belong to none. */
    val isInsideEvent: Boolean
        get() {
            val lines = pending.toString(Charsets.UTF_8).split("\n")
            val wholeLines = lines.dropLast(1).map { it.removeSuffix("\r") }
            return lines.last().isNotEmpty() || wholeLines.any { it.isNotEmpty() && !it.startsWith(COMMENT_PREFIX) }
        }

    /** Returns and clears the bytes after the last complete event. */
    fun takeRest(): ByteBuf = Unpooled.wrappedBuffer(pending.toByteArray()).also { pending.reset() }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (i in bytes.size - 1 downTo 1) {
            if (bytes[i] != LINE_FEED) continue
            val lineEnd = if (bytes[i - 1] == '\r'.code.toByte()) i - 2 else i - 1
            if (lineEnd >= 0 && bytes[lineEnd] == LINE_FEED) return i + 1
        }
        return 0
    }

    private fun updateLastId(events: String) {
        var id: String? = null
        var isEvent = false
        for (line in events.lineSequence()) {
            if (line.startsWith(ID_FIELD)) id = line.substring(ID_FIELD.length).trim()
            if (line.isNotEmpty()) {
                isEvent = isEvent || !line.startsWith(COMMENT_PREFIX)
                continue
            }
            id?.let { lastId = it }
            if (isEvent) isResumable = id != null
            id = null
            isEvent = false
        }
    }
}
