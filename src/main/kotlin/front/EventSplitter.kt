/*
 * Splits the bytes of an event stream at event boundaries, so that a stream interrupted within an event can resume at
 * another target after the last complete event, and no part of an event is passed on. Each byte is examined once,
 * however the stream is divided into parts.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"
private const val COMMENT_PREFIX = ':'.code.toByte()
private const val INITIAL_BYTES = 256
private const val MAX_EVENT_BYTES = 256 * 1024 // events are well below 1 KB

/** Splits one event stream. Not thread-safe. */
internal class EventSplitter {
    /** The bytes after the last blank line: [size] of them, the lines before [lineStart] whole. */
    private var pending = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var lineStart = 0

    /** The id and whether there are fields, in the whole lines of the event that has not ended. */
    private var id: String? = null
    private var hasFields = false
    private var bytesSinceEvent = 0L

    /** The last event id among the complete events; null before the first one. */
    var lastId: String? = null
        private set

    /** Whether the stream can be resumed after [lastId]: false if the last complete event has no id. */
    var isResumable = true
        private set

    /** Whether too much arrived since the last complete event, be it of one event or of blank lines and comments. */
    val isTooLong: Boolean get() = bytesSinceEvent > MAX_EVENT_BYTES

    /** Adds [content] and returns the whole events, comments and blank lines up to its last blank line, if any. */
    fun add(content: ByteBuf): ByteBuf? {
        val from = size
        append(content)
        var end = 0
        for (i in from until size) {
            bytesSinceEvent++
            if (pending[i] != LINE_FEED) continue
            if (endLine(i)) end = i + 1
            lineStart = i + 1
        }
        if (end == 0) return null
        val complete = Unpooled.wrappedBuffer(pending.copyOf(end))
        pending.copyInto(pending, 0, end, size)
        size -= end
        lineStart -= end
        return complete
    }

    private fun append(content: ByteBuf) {
        val count = content.readableBytes()
        if (size + count > pending.size) pending = pending.copyOf(maxOf(size + count, pending.size * 2))
        content.readBytes(pending, size, count)
        size += count
    }

    /** Ends the line before the line feed at [lineFeed]; returns whether it is blank. */
    private fun endLine(lineFeed: Int): Boolean {
        val isCarriageReturn = lineFeed > lineStart && pending[lineFeed - 1] == CARRIAGE_RETURN
        val lineEnd = if (isCarriageReturn) lineFeed - 1 else lineFeed
        if (lineEnd == lineStart) {
            endEvent()
            return true
        }
        if (pending[lineStart] == COMMENT_PREFIX) return false
        hasFields = true
        if (isIdField(lineEnd)) {
            val valueStart = lineStart + ID_FIELD.length
            id = String(pending, valueStart, lineEnd - valueStart, Charsets.UTF_8).trim()
        }
        return false
    }

    private fun isIdField(lineEnd: Int) = lineEnd - lineStart >= ID_FIELD.length &&
        ID_FIELD.indices.all { pending[lineStart + it] == ID_FIELD[it].code.toByte() }

    private fun endEvent() {
        if (!hasFields) return
        id?.let { lastId = it }
        isResumable = id != null
        bytesSinceEvent = 0
        id = null
        hasFields = false
    }

    /** Whether a stream that ends here ends inside an event; whole comments and blank lines belong to none. */
    val isInsideEvent: Boolean get() = hasFields || lineStart < size

    /** Returns and clears the bytes after the last blank line. */
    fun takeRest(): ByteBuf = Unpooled.wrappedBuffer(pending.copyOf(size)).also {
        size = 0
        lineStart = 0
    }
}
