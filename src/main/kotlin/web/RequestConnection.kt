/*
 * One connection of a caller. It assembles requests, passes them to the handler one at a time, and rejects requests
 * that are malformed, too large or too slow.
 */
package org.sesamerouter.web

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.nio.AbstractNioChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil

private const val MAX_PIPELINED_REQUESTS = 8
private const val MAX_LINE_BYTES = 8_192
private const val REQUEST_TIMEOUT_STATUS = 408
private const val USUAL_LINE_BYTES = 1_024 // a longer buffer for lines is not kept by an idle connection
private const val SPACE_RETRY_AFTER_S = 1 // requests that hold the space end within about a second

/** Records when data is received, before it is decoded. */
internal class ActivityTracker(private val connection: RequestConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        connection.onActivity()
        ctx.fireChannelRead(message)
    }
}

/**
 * Rejects requests with both a length and chunked encoding: two parsers could disagree on where they end. What it holds
 * is charged to [account]; it calls [onNoRoom] if there is no room for the input that is not decoded yet.
 */
internal class StrictRequestDecoder(
    limits: RequestLimits,
    account: BudgetAccount,
    val meter: HeadMeter = HeadMeter(account, limits.maxHeaderLines),
    private val onNoRoom: () -> Unit,
) : HttpRequestDecoder(
    HttpDecoderConfig().setMaxHeaderSize(limits.maxHeaderBytes).setMaxInitialLineLength(MAX_LINE_BYTES)
        .setHeadersFactory(meter).setTrailersFactory(meter),
) {
    private val input = BudgetPart(account)

    /** Whether input is dropped before it is decoded. */
    var isDiscarding = false

    /** Whether the buffer for lines has grown; it keeps the size of the longest one. */
    val hasGrown: Boolean get() = meter.longestLine > USUAL_LINE_BYTES

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) =
        throw IllegalArgumentException("request has both Content-Length and Transfer-Encoding")

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        meter.onFirstLine(initialLine.sumOf { it.length })
        return super.createMessage(initialLine)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (isDiscarding) {
            ReferenceCountUtil.release(message)
            return
        }
        super.channelRead(ctx, message)
        val lineBuffer = if (hasGrown) meter.longestLine * 2 else 0
        if (!input.resize(internalBuffer().capacity() + lineBuffer)) onNoRoom()
    }

    /** Releases what this decoder holds; it is not used any more. */
    fun release() {
        input.resize(0)
    }
}

internal class RequestConnection(val channel: Channel, val server: RequestServer) : ChannelInboundHandlerAdapter() {
    val account = BudgetAccount(server.budget)
    private val unwritten = BudgetPart(account)
    private var decoder = newDecoder()
    private val pipelined = ArrayDeque<IncomingRequest>()
    private var current: IncomingRequest? = null
    private var head: HttpRequest? = null
    private var body: ReceivedBody? = null
    private var isRejected = false

    /** The status of a rejection that waits for the answers to the requests before. */
    private var rejection: HttpResponseStatus? = null
    private var lastActivityMs = server.clock.nowMs()
    private var requestStartedMs = -1L

    /** When the data that is being read arrived, as far as it can be told. */
    private var dataArrivedMs = -1L
    private var requests = 0

    /** Since when this connection may have waited to be accepted; counts for its first request. */
    private var acceptPendingSinceMs = server.backlog.sinceMs ?: Long.MAX_VALUE

    private fun newDecoder(): StrictRequestDecoder =
        StrictRequestDecoder(server.limits(), account) { rejectForSpace(isWhole = true) }

    /** Adds the handlers of this connection. */
    fun addTo(pipeline: ChannelPipeline) {
        pipeline.addLast(ActivityTracker(this)).addLast(decoder).addLast(HttpResponseEncoder()).addLast(this)
    }

    fun onActivity() {
        lastActivityMs = server.clock.nowMs()
        dataArrivedMs = minOf(lastActivityMs - server.lag.sinceMs(lastActivityMs), acceptPendingSinceMs)
        acceptPendingSinceMs = Long.MAX_VALUE
        if (requestStartedMs < 0) requestStartedMs = dataArrivedMs
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        server.onConnectionOpened(this)
        ctx.fireChannelActive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (isRejected) {
                if (message is LastHttpContent && current == null) channel.close()
                return
            }
            if (message is HttpRequest) onHead(message)
            if (!isRejected && message is HttpContent) onContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onHead(request: HttpRequest) {
        if (requestStartedMs < 0) requestStartedMs = dataArrivedMs // it arrived with the end of the request before it
        val cause = request.decoderResult().cause()
        when {
            cause is TooLongHttpHeaderException -> reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

            cause is TooLongHttpLineException -> reject(HttpResponseStatus.REQUEST_URI_TOO_LONG)

            cause is TooManyLinesException -> reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

            cause is NoRoomException -> rejectForSpace(isWhole = true)

            cause != null || !hasOneLength(request) -> reject(HttpResponseStatus.BAD_REQUEST)

            HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes ->
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)

            else -> {
                head = request
                val length = HttpUtil.getContentLength(request, -1L)
                body = ReceivedBody(account, length.takeIf { it >= 0 }?.toInt())
                if (HttpUtil.is100ContinueExpected(request)) {
                    channel.writeAndFlush(
                        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE),
                    )
                }
            }
        }
    }

    /** The end of a body is unambiguous only with a single length or with chunked as the only transfer coding. */
    private fun hasOneLength(request: HttpRequest): Boolean {
        val codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
        val isCodingKnown = codings.all { it.trim().equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true) }
        return isCodingKnown && codings.size <= 1 && lengths.size <= 1 && (codings.isEmpty() || lengths.isEmpty())
    }

    private fun onContent(content: HttpContent) {
        val request = head ?: return
        val body = body ?: return
        if (content.decoderResult().isFailure) {
            when (content.decoderResult().cause()) {
                is NoRoomException -> rejectForSpace(isWhole = true)
                is TooManyLinesException -> reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
                else -> reject(HttpResponseStatus.BAD_REQUEST)
            }
            return
        }
        val part = content.content()
        when {
            body.size + part.readableBytes() > server.limits().maxBodyBytes ->
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)

            !body.add(part) -> rejectForSpace(isWhole = content is LastHttpContent)

            content is LastHttpContent -> onRequestComplete(request, body)
        }
    }

    private fun onRequestComplete(request: HttpRequest, received: ReceivedBody) {
        head = null
        body = null
        val startedMs = requestStartedMs
        requestStartedMs = -1
        val content = received.take()
        val incoming = IncomingRequest(
            request.method().name(),
            request.uri(),
            request.headers(),
            content,
            decoder.meter.take() + content.size,
            startedMs,
            requests++ > 0,
            HttpUtil.isKeepAlive(request),
            request.protocolVersion() >= HttpVersion.HTTP_1_1,
            this,
        )
        when {
            current == null && pipelined.isEmpty() && channel.isWritable -> begin(incoming)
            pipelined.size < MAX_PIPELINED_REQUESTS -> pipelined.addLast(incoming)
            else -> channel.close()
        }
    }

    private fun begin(request: IncomingRequest) {
        current = request
        if (server.isLagging()) {
            channel.eventLoop().execute { beginIfOpen(request) }
        } else {
            server.handler(request)
        }
    }

    /** Whether a request has arrived, also in part, whose answer is not written to the network yet. */
    val hasRequest: Boolean get() = isAnswering || requestStartedMs >= 0 || hasUnwrittenData

    /** Whether a request that was received waits for its answer, or for answers before it to be written. */
    private val isAnswering: Boolean get() = current != null || pipelined.isNotEmpty()

    private val hasUnwrittenData: Boolean get() = channel.unsafe().outboundBuffer()?.isEmpty == false

    /** Whether requests that were received wait for the answer to the one before. */
    val hasPipelined: Boolean get() = pipelined.isNotEmpty()

    /**
     * Whether closing the connection resets it. A caller takes an orderly close for the end of a response that has
     * neither a length nor chunks, so that only the last step of such a response may close in order.
     */
    var resetsAtClose = false
        set(value) {
            if (field == value || !channel.isOpen) return
            field = value
            channel.config().setOption(ChannelOption.SO_LINGER, if (value) 0 else -1)
        }

    /** Whether a request was received on this connection. */
    val wasUsed: Boolean get() = requests > 0

    /** Closes the connection if no request waits for its answer and none has arrived, not even in part. */
    fun closeIfIdle() {
        readArrived()
        if (!isAnswering && requestStartedMs < 0) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { channel.close() }
        }
    }

    private fun beginIfOpen(request: IncomingRequest) {
        readArrived()
        if (channel.isActive && request.isOpen && current === request) server.handler(request)
    }

    /**
     * Reads what has arrived. The event loop reads a connection once in each round, so that on a busy host the end of a
     * connection is seen long after the request before it.
     */
    fun readArrived() {
        val unsafe = channel.unsafe() as? AbstractNioChannel.NioUnsafe ?: return
        if (channel.isActive) unsafe.read()
    }

    fun onResponseEnd(request: IncomingRequest, closes: Boolean) {
        if (current !== request) return
        request.isOpen = false
        current = null
        account.release(request.heldBytes)
        lastActivityMs = server.clock.nowMs()
        val status = rejection
        when {
            !closes && pipelined.isNotEmpty() -> beginNext()

            status != null && !closes -> writeRejection(status).addListener { channel.close() }

            // The response may have begun before the server was closing, and so not announce the end of the connection.
            closes || (server.isClosing && requestStartedMs < 0) ->
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { channel.close() }
        }
    }

    /** Begins the next request, once its caller has taken most of the answers before: it may read none of them. */
    private fun beginNext() {
        if (current == null && channel.isWritable) pipelined.removeFirstOrNull()?.let(::begin)
    }

    /** Whether more of a response may be written: without room in the budget, only once all before was taken. */
    val isWritable: Boolean get() = channel.isWritable && !(unwritten.heldBytes > 0 && account.isTight)

    /** Writes [message]; closes the connection if its caller does not take it and the budget has no room for it. */
    fun write(message: Any): ChannelFuture {
        val written = channel.writeAndFlush(message)
        if (!written.isDone) {
            written.addListener { chargeUnwritten() }
            if (!chargeUnwritten()) channel.close()
        }
        return written
    }

    private fun chargeUnwritten(): Boolean {
        val bytes = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        val wasWaiting = unwritten.heldBytes > 0
        val hasRoom = unwritten.resize(bytes.toInt())
        if (bytes == 0L && wasWaiting && channel.isWritable) current?.onWritable?.invoke()
        return hasRoom
    }

    fun checkTimeouts(now: Long, limits: RequestLimits) {
        if (decoder.hasGrown && !hasRequest) replaceDecoder()
        when {
            current != null -> return
            isRejected -> if (now - lastActivityMs >= limits.idleTimeoutMs) channel.close()
            requestStartedMs < 0 -> if (now - lastActivityMs >= limits.idleTimeoutMs) channel.close()
            head == null -> if (now - requestStartedMs >= limits.headerTimeoutMs) reject(REQUEST_TIMEOUT_STATUS)
            now - lastActivityMs >= limits.idleTimeoutMs -> reject(REQUEST_TIMEOUT_STATUS)
        }
    }

    /** Drops the buffer for lines, which would stay as large as the longest line that the connection has carried. */
    private fun replaceDecoder() {
        val previous = decoder
        decoder = newDecoder()
        previous.release()
        channel.pipeline().replace(previous, null, decoder)
    }

    private fun reject(status: Int) = reject(HttpResponseStatus.valueOf(status))

    /** Rejects the request that is being read, after the answers to those before it, and closes the connection. */
    private fun reject(status: HttpResponseStatus) {
        if (isRejected) return
        isRejected = true
        decoder.isDiscarding = true
        discardBody()
        if (isAnswering) rejection = status else writeRejection(status).addListener { channel.close() }
    }

    /**
     * Rejects a request whose body has no room at once, and reads the rest of it without keeping it: closing before
     * the caller has sent all would reset the connection and could cost the answer.
     */
    private fun rejectForSpace(isWhole: Boolean) {
        if (isWhole || isAnswering) return reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
        isRejected = true
        discardBody()
        writeRejection(HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    private fun discardBody() {
        body?.discard()
        decoder.meter.discard()
        body = null
        head = null
    }

    private fun writeRejection(status: HttpResponseStatus): ChannelFuture {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, SPACE_RETRY_AFTER_S)
        }
        return channel.writeAndFlush(response)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        server.onConnectionClosed(this)
        val abandoned = current
        current = null
        body = null
        head = null
        pipelined.clear()
        account.close()
        if (abandoned != null && abandoned.isOpen) {
            abandoned.isOpen = false
            abandoned.onClosed()
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (!channel.isWritable) return
        if (current == null) beginNext() else current?.onWritable?.invoke()
    }

    @Deprecated("Netty still calls this function.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}
