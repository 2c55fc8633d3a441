/*
 * Estimates the memory of decoded heads and trailers line by line, while they are decoded: a line of a few bytes takes
 * tens of times its size, and a head without an end is held until it times out.
 */
package org.sesamerouter.web

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/*
 * 64-bit JVM with compressed references: an entry takes 40 bytes, its name 56 and 48 more once read as text, its value
 * 48; the copies of the head on its way to a target take 40 each.
 */
private const val LINE_BYTES = 256
private const val MESSAGE_BYTES = 2_048 // the request, its exchange and its state in the flows
private const val LIST_ITEM_BYTES = 128 // the text, the object and the places in lists of a decoded item
private const val BYTES_PER_CHARACTER = 2 // the decoded text, and its bytes on the way to a target

/** A head that the budget of the process has no room for. */
internal class NoRoomException(bytes: Int) : IllegalArgumentException("no room for a head of $bytes bytes of memory")

/** A head with more lines than allowed. */
internal class TooManyLinesException(lines: Int) : IllegalArgumentException("a head has more than $lines lines")

/** Charges the head that a connection decodes to [account]; a head has at most [maxLines] lines. */
internal class HeadMeter(private val account: BudgetAccount, private val maxLines: Int) : HttpHeadersFactory {
    private var lines = 0

    /** Bytes of the budget for the head that is being decoded. */
    var heldBytes = 0
        private set

    /** Characters of the longest line so far. */
    var longestLine = 0
        private set

    /** Begins a head with a first line of [characters]. */
    fun onFirstLine(characters: Int) {
        lines = 0
        longestLine = maxOf(longestLine, characters)
        charge(MESSAGE_BYTES + characters * BYTES_PER_CHARACTER)
    }

    fun onLine(name: CharSequence, value: CharSequence) {
        if (++lines > maxLines) throw TooManyLinesException(maxLines)
        val characters = name.length + value.length
        longestLine = maxOf(longestLine, characters)
        charge(LINE_BYTES + characters * BYTES_PER_CHARACTER + value.count { it == ',' } * LIST_ITEM_BYTES)
    }

    private fun charge(bytes: Int) {
        if (!account.reserve(bytes)) throw NoRoomException(heldBytes + bytes)
        heldBytes += bytes
    }

    /** Returns the bytes of the head, which stay in the account until they are released. */
    fun take(): Int = heldBytes.also { heldBytes = 0 }

    /** Releases a head that will not be handled. */
    fun discard() {
        account.release(take())
    }

    override fun newHeaders(): HttpHeaders = MeteredHeaders(this)

    override fun newEmptyHeaders(): HttpHeaders = MeteredHeaders(this)
}

private class MeteredHeaders(private val meter: HeadMeter) : DefaultHttpHeaders() {
    override fun add(name: CharSequence, value: Any): HttpHeaders {
        meter.onLine(name, value as? CharSequence ?: value.toString())
        return super.add(name, value)
    }
}
