/*
 * One connection to a target. It handles one call at a time; [ConnectionCalls] decides whose a response is. Data
 * received outside a call closes the connection. A call ends, and its connection may carry the next one, only when all
 * data that was read with the end of the response is decoded.
 */
package org.sesamerouter.web

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.IOException
import java.util.concurrent.TimeUnit

private const val READ_AFTER_FAILED_WRITE_MS = 200L // the data that has arrived is read in the next rounds
private const val NO_CALL = "no call waits"
private val KEEP_ALIVE_SECONDS = Regex("""timeout=(\d+)""")

internal class ForwardConnection(
    val channel: Channel,
    val address: String,
    private val client: ConnectionOwner,
    private val inputEnd: InputEnd,
    private val byteLimit: ResponseByteLimit,
    private val calls: ConnectionCalls,
    private val decoder: AnswerDecoder,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var listener: ResponseListener? = null

    /** The listener of a call whose response is complete, until the data that was read with it is decoded. */
    private var ended: ResponseListener? = null
    private var call: ForwardCall? = null
    private var isRequestWritten = false
    private var writeFailure: Throwable? = null
    private var isHeadReceived = false
    private var isSkippingResponse = false
    private var framing = BodyFraming.LENGTH
    private var isSuccess = false
    private var mayBeKept = true
    private var hasCarriedCall = false
    private var sharing = ConnectionSharing.NONE
    private var needsConfirmation = false

    /** The answer that is being skipped; null if none is. */
    private var skipped: UnusedAnswer? = null

    /** What failed before the end of the connection; null if nothing did. */
    private var breakage: CallFailure? = null
    private var idleSinceMs = 0L
    private var idleTimeoutMs = ForwardClient.idleTimeoutMs(null)

    fun isReusable(now: Long): Boolean = channel.isActive && breakage == null && now - idleSinceMs < idleTimeoutMs

    /** Whether the answer to [request] can be told from copies of those to all calls that were sent here before. */
    fun mayCarry(request: OutgoingRequest): Boolean =
        request.sharing == sharing && request.usedConnections?.contains(this) != true

    fun start(request: OutgoingRequest, listener: ResponseListener, call: ForwardCall) {
        byteLimit.isInResponse = false
        this.listener = listener
        this.call = call
        call.connection = this
        call.isOnKeptConnection = hasCarriedCall
        hasCarriedCall = true
        request.usedConnections?.add(this)
        sharing = request.sharing
        needsConfirmation = sharing == ConnectionSharing.SHARED && request.responseId == null
        val method = HttpMethod.valueOf(request.method)
        calls.begin(ConnectionCall(request.responseId, method))
        isRequestWritten = false
        isHeadReceived = false
        isSkippingResponse = false
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            request.uri,
            Unpooled.wrappedBuffer(request.body),
        )
        message.headers().set(request.headers)
        if (request.body.isNotEmpty() || request.method != HttpMethod.GET.name()) {
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        channel.writeAndFlush(message).addListener { write ->
            isRequestWritten = write.isSuccess
            if (!write.isSuccess) onWriteFailed(write.cause())
        }
    }

    /** Reads what the target has sent before it closed or reset the connection: it may have responded early. */
    private fun onWriteFailed(cause: Throwable) {
        writeFailure = cause
        channel.config().isAutoRead = true
        val closeAfterMs = if (cause is IOException) READ_AFTER_FAILED_WRITE_MS else 0
        channel.eventLoop().schedule({ channel.close() }, closeAfterMs, TimeUnit.MILLISECONDS)
    }

    /** Closes the connection without notifying the listener of the call. */
    fun closeSilently() {
        listener = null
        ended = null
        channel.close()
    }

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (breakage != null) return
        if (message.decoderResult().isFailure) {
            report(UnusedKind.INVALID, message as? HttpResponse, message.decoderResult().cause().message)
            breakOff(BreakReason.INVALID, "invalid response: ${message.decoderResult().cause().message}")
            return
        }
        if (message is HttpResponse) onHead(message)
        if (message is HttpContent) {
            if (isSkippingResponse) onSkipped(message) else onContent(message)
        }
    }

    private fun onHead(response: HttpResponse) {
        when (calls.ownerOf(response)) {
            AnswerOwner.WAITING -> onOwnHead(response)

            AnswerOwner.INTERIM -> isSkippingResponse = true

            AnswerOwner.OTHER -> {
                isSkippingResponse = true
                if (!HttpUtil.isKeepAlive(response)) mayBeKept = false
                skipped = unusedAnswer(UnusedKind.SKIPPED, response).copy(bytes = 0)
            }

            AnswerOwner.NONE -> {
                val cause = "nothing shows that the response is that to this call"
                report(UnusedKind.UNOWNED, response, cause)
                breakOff(BreakReason.INVALID, cause)
            }

            AnswerOwner.UNASKED -> {
                report(UnusedKind.UNASKED, response, NO_CALL)
                breakOff(BreakReason.INVALID, NO_CALL)
            }
        }
    }

    private fun onOwnHead(response: HttpResponse) {
        val call = checkNotNull(calls.waiting)
        isHeadReceived = true
        byteLimit.isInResponse = true
        if (!HttpUtil.isKeepAlive(response)) mayBeKept = false
        val announced = response.headers().get("Keep-Alive")?.let { KEEP_ALIVE_SECONDS.find(it) }
        idleTimeoutMs = ForwardClient.idleTimeoutMs(announced?.groupValues?.get(1)?.toLongOrNull())
        framing = framingOf(response, call.method)
        isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS
        listener?.onHead(response.status().code(), response.headers(), framing)
    }

    private fun onSkipped(content: HttpContent) {
        skipped = skipped?.let { it.copy(bytes = (it.bytes ?: 0) + content.content().readableBytes()) }
        if (content !is LastHttpContent) return
        isSkippingResponse = false
        reportSkipped()
    }

    private fun reportSkipped() {
        skipped?.let(client.unusedAnswers::onUnused)
        skipped = null
    }

    private fun report(kind: UnusedKind, response: HttpResponse?, cause: String?) {
        if (channel.isOpen) client.unusedAnswers.onUnused(unusedAnswer(kind, response).copy(cause = cause?.cutCause()))
    }

    private fun unusedAnswer(kind: UnusedKind, response: HttpResponse?): UnusedAnswer {
        val validHead = response?.takeIf { it.decoderResult().isSuccess }
        val id = calls.idHeader?.let { validHead?.headers()?.get(it) }?.cutId()
        val waitingId = calls.waiting?.id?.value?.cutId()
        return UnusedAnswer(kind, address, id, waitingId, validHead?.status()?.code())
    }

    private fun onContent(content: HttpContent) {
        val activeListener = listener ?: return
        if (!isHeadReceived) return
        if (content.content().isReadable) activeListener.onBody(content.content())
        if (content is LastHttpContent && listener === activeListener && isComplete()) {
            listener = null
            ended = activeListener
            calls.end()
            byteLimit.isInResponse = false
        }
    }

    private fun isComplete() = breakage == null && (framing != BodyFraming.CONNECTION_END || isEndedInOrder)

    /**
     * A reset that a failed write has reported is read as an orderly end afterwards. A target that ends a success
     * without having read its request resets the connection next; what it says of a request that it did not take
     * counts.
     */
    private val isEndedInOrder
        get() = inputEnd.isReached && writeFailure == null && (isRequestWritten || !isSuccess)

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (listener == null && decoder.hasPartOfMessage && breakage == null) {
            report(UnusedKind.UNASKED, null, NO_CALL)
            breakOff(BreakReason.INVALID, NO_CALL)
        }
        end()
        super.channelReadComplete(ctx)
    }

    /** Ends the call whose response is complete. */
    private fun end() {
        val endedListener = ended ?: return
        ended = null
        idleSinceMs = client.clock.nowMs()
        decoder.releaseHead()
        channel.config().isAutoRead = true
        val endedCall = checkNotNull(call)
        endedCall.connection = null // the next call may use it
        if (needsConfirmation) {
            endedListener.onEnd()
            release(endedCall.isConfirmed)
        } else {
            release(isProven = true)
            endedListener.onEnd()
        }
    }

    private fun release(isProven: Boolean) {
        if (isProven && isKeepable()) client.returnToPool(this) else channel.close()
    }

    /** A target that responds before it has read the whole request treats the next bytes as the rest of it. */
    private fun isKeepable() =
        mayBeKept && sharing != ConnectionSharing.NONE && calls.mayFollow && isRequestWritten && breakage == null &&
            !inputEnd.isReached && channel.isActive

    override fun channelInactive(ctx: ChannelHandlerContext) {
        client.onConnectionClosed(this)
        reportSkipped()
        end()
        val activeListener = listener
        listener = null
        activeListener?.onFailed(breakage ?: closedFailure())
        super.channelInactive(ctx)
    }

    private fun closedFailure(): CallFailure {
        val written = writeFailure
        return when {
            written != null ->
                CallFailure(CallProgress.SENT, "request not written: ${written.message}", BreakReason.RESET)

            inputEnd.isReached -> CallFailure(CallProgress.SENT, "connection closed", BreakReason.CLOSED)

            else -> CallFailure(CallProgress.SENT, "connection closed by this host", BreakReason.LOCAL)
        }
    }

    /** Closes the connection at the end of its input, which the decoder has handled by now. */
    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) return
        end()
        ctx.close()
    }

    @Deprecated("Netty still calls this function.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) {
            breakOff(BreakReason.RESET, "connection reset")
        } else {
            report(UnusedKind.INVALID, null, cause.message)
            breakOff(BreakReason.INVALID, "invalid response: ${cause.message}")
        }
    }

    private fun breakOff(reason: BreakReason, cause: String) {
        if (breakage == null) breakage = CallFailure(CallProgress.SENT, cause, reason)
        channel.close()
    }
}
