/*
 * One connection to a target. It handles one call at a time. A response with an id other than that of the call is
 * skipped, and data received outside a call closes the connection.
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
private val KEEP_ALIVE_SECONDS = Regex("""timeout=(\d+)""")

internal class ForwardConnection(
    val channel: Channel,
    val address: String,
    private val client: ConnectionOwner,
    private val inputEnd: InputEnd,
    private val byteLimit: ResponseByteLimit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var listener: ResponseListener? = null
    private var call: ForwardCall? = null
    private var responseId: ResponseId? = null
    private var method = HttpMethod.GET
    private var isRequestWritten = false
    private var writeFailure: Throwable? = null
    private var isHeadReceived = false
    private var isSkippingResponse = false
    private var framing = BodyFraming.LENGTH
    private var keepAlive = true
    private var hasCarriedCall = false

    /** The answer that is being skipped; null if none is. */
    private var skipped: UnusedAnswer? = null

    /** What failed before the end of the connection; null if nothing did. */
    private var breakage: CallFailure? = null
    private var idleSinceMs = 0L
    private var idleTimeoutMs = ForwardClient.idleTimeoutMs(null)

    fun isReusable(now: Long): Boolean = channel.isActive && now - idleSinceMs < idleTimeoutMs

    fun start(request: OutgoingRequest, listener: ResponseListener, call: ForwardCall) {
        byteLimit.isInResponse = false
        this.listener = listener
        this.call = call
        call.connection = this
        call.isOnKeptConnection = hasCarriedCall
        hasCarriedCall = true
        request.usedConnections?.add(this)
        responseId = request.responseId
        method = HttpMethod.valueOf(request.method)
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
        channel.close()
    }

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) {
            report(UnusedKind.INVALID, message as? HttpResponse, message.decoderResult().cause().message)
            breakOff(BreakReason.INVALID, "invalid response: ${message.decoderResult().cause().message}")
            return
        }
        if (message is HttpResponse) onHead(message)
        if (message is HttpContent) {
            if (isSkippingResponse) onSkipped(message) else onContent(ctx, message)
        }
    }

    private fun onHead(response: HttpResponse) {
        val activeListener = listener
        if (activeListener == null || response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            isSkippingResponse = true
            if (activeListener == null) {
                report(UnusedKind.UNASKED, response, "no call waits")
                channel.close()
            }
            return
        }
        val expected = responseId
        val actual = expected?.let { response.headers().get(it.header) }
        if (actual != null && actual != expected.value) {
            isSkippingResponse = true
            skipped = unusedAnswer(UnusedKind.SKIPPED, response).copy(bytes = 0)
            return
        }
        isHeadReceived = true
        byteLimit.isInResponse = true
        keepAlive = HttpUtil.isKeepAlive(response)
        val announced = response.headers().get("Keep-Alive")?.let { KEEP_ALIVE_SECONDS.find(it) }
        idleTimeoutMs = ForwardClient.idleTimeoutMs(announced?.groupValues?.get(1)?.toLongOrNull())
        framing = framingOf(response, method)
        activeListener.onHead(response.status().code(), response.headers(), framing)
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
        val id = responseId?.let { validHead?.headers()?.get(it.header) }?.cutId()
        val waitingId = responseId?.value?.takeIf { listener != null }?.cutId()
        return UnusedAnswer(kind, address, id, waitingId, validHead?.status()?.code())
    }

    private fun onContent(ctx: ChannelHandlerContext, content: HttpContent) {
        val activeListener = listener
        if (activeListener == null || !isHeadReceived) {
            if (activeListener == null) ctx.close()
            return
        }
        if (content.content().isReadable) activeListener.onBody(content.content())
        if (content is LastHttpContent && listener === activeListener && isComplete()) end(activeListener)
    }

    private fun isComplete() = breakage == null && (framing != BodyFraming.CONNECTION_END || isEndedInOrder)

    /** A reset that a failed write has reported is read as an orderly end afterwards. */
    private val isEndedInOrder get() = inputEnd.isReached && writeFailure == null

    private fun end(activeListener: ResponseListener) {
        listener = null
        byteLimit.isInResponse = false
        idleSinceMs = client.clock.nowMs()
        channel.config().isAutoRead = true
        // A target that responds before it has read the whole request treats the next bytes as the rest of it.
        if (keepAlive && isRequestWritten && channel.isActive) client.returnToPool(this) else channel.close()
        activeListener.onEnd()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        client.onConnectionClosed(this)
        reportSkipped()
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
        if (event is ChannelInputShutdownEvent) ctx.close()
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
