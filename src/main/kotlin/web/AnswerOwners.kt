/*
 * Whose an answer on a connection is. An answer belongs to the call that waits only if its id shows so, or if nothing
 * else was ever sent on the connection; the place where it comes does not tell, since targets may send an answer twice,
 * the second time late. A state machine without I/O.
 */
package org.sesamerouter.web

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent

private const val MAX_LINE_BYTES = 8_192
private const val MAX_HEAD_BYTES = 32_768
private const val MAX_HEAD_LINES = MAX_HEAD_BYTES / 2 // a line has a name and a colon
private const val MAX_CHUNK_BYTES = 16_384

/** Whose an answer is. */
internal enum class AnswerOwner {
    /** Of the call that waits. */
    WAITING,

    /** Of the call that waits, but only interim; another one follows. */
    INTERIM,

    /** Of another request; it is skipped. */
    OTHER,

    /** Nothing shows whose it is, or the answer that is awaited cannot follow it. */
    NONE,

    /** No call waits. */
    UNASKED,
}

/** A call as a connection sees it; [id] is null if its answer bears none. */
internal class ConnectionCall(val id: ResponseId?, val method: HttpMethod)

/** Decides whose the answer with the head [head] is. */
internal fun interface OwnerRule {
    fun ownerOf(calls: ConnectionCalls, head: HttpResponse): AnswerOwner
}

/** The calls of one connection, which carries one at a time. */
internal class ConnectionCalls(private val rule: OwnerRule = OwnerById) {
    private var begun = 0

    /** The header of the ids of the calls so far; null if none bore an id. */
    var idHeader: String? = null
        private set

    /** The call that waits for its answer; null if none does. */
    var waiting: ConnectionCall? = null
        private set

    /** Whether nothing but the call that waits was ever sent. */
    val isFirst get() = begun == 1

    /** Whether another call may follow: a copy of an answer to HEAD cannot be read like one to another method. */
    var mayFollow = true
        private set

    fun begin(call: ConnectionCall) {
        begun++
        waiting = call
        call.id?.let { idHeader = it.header }
        if (call.method == HttpMethod.HEAD || call.method == HttpMethod.CONNECT) mayFollow = false
    }

    fun end() {
        waiting = null
    }

    fun ownerOf(head: HttpResponse): AnswerOwner = rule.ownerOf(this, head)
}

/** Tells answers apart by their ids. */
internal object OwnerById : OwnerRule {
    override fun ownerOf(calls: ConnectionCalls, head: HttpResponse): AnswerOwner {
        val call = calls.waiting ?: return AnswerOwner.UNASKED
        val ids = calls.idHeader?.let(head.headers()::getAll).orEmpty().distinct()
        return when {
            head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS -> AnswerOwner.NONE
            head.status().codeClass() == HttpStatusClass.INFORMATIONAL -> AnswerOwner.INTERIM
            ids.isEmpty() -> if (call.id == null || calls.isFirst) AnswerOwner.WAITING else AnswerOwner.NONE
            ids.size > 1 -> AnswerOwner.NONE
            ids.single() == call.id?.value -> AnswerOwner.WAITING
            framingOf(head, HttpMethod.GET) == BodyFraming.CONNECTION_END -> AnswerOwner.NONE
            else -> AnswerOwner.OTHER
        }
    }
}

/**
 * Decodes answers; whether one has a body depends on the method of the call that owns it. Heads and trailers are
 * charged to [account], until the next head or the end of the connection.
 */
internal class AnswerDecoder(
    private val calls: ConnectionCalls,
    private val account: BudgetAccount,
    private val meter: HeadMeter = HeadMeter(account, MAX_HEAD_LINES),
) : HttpResponseDecoder(
    HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEAD_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES).setHeadersFactory(meter).setTrailersFactory(meter),
) {
    private val statusLine = StatusLineCheck()
    private var codeEnd = 0
    private var isInsideMessage = false

    /** Releases what the last head has held. */
    fun releaseHead() = meter.discard()

    override fun splitFirstWordInitialLine(line: ByteArray, start: Int, length: Int): String {
        statusLine.onVersion(start + length)
        return super.splitFirstWordInitialLine(line, start, length)
    }

    override fun splitSecondWordInitialLine(line: ByteArray, start: Int, length: Int): String {
        statusLine.onCode(line, start)
        codeEnd = start + length
        return super.splitSecondWordInitialLine(line, start, length)
    }

    override fun splitThirdWordInitialLine(line: ByteArray, start: Int, length: Int): String {
        statusLine.onReason(line, codeEnd)
        return super.splitThirdWordInitialLine(line, start, length)
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        statusLine.check(initialLine[0], initialLine[1])
        meter.discard()
        meter.onFirstLine(initialLine.sumOf { it.length })
        return super.createMessage(initialLine)
    }

    override fun handlerRemoved0(context: ChannelHandlerContext) {
        super.handlerRemoved0(context)
        account.close()
    }

    /** Whether bytes were received that do not make up a message yet. */
    val hasPartOfMessage get() = isInsideMessage || actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, bytes: ByteBuf, decoded: MutableList<Any>) {
        val readable = bytes.readableBytes()
        val count = decoded.size
        super.decode(context, bytes, decoded)
        when {
            decoded.size > count -> isInsideMessage = decoded.last() !is LastHttpContent
            bytes.readableBytes() < readable -> isInsideMessage = true
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val isWaiting = message is HttpResponse && calls.ownerOf(message) == AnswerOwner.WAITING
        return (isWaiting && calls.waiting?.method == HttpMethod.HEAD) || super.isContentAlwaysEmpty(message)
    }
}
