/*
 * One connection of a caller: puts requests together, hands them over one at a time, and rejects what is malformed,
 * too large or too slow.
 */
package org.sesamerouter.web

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.io.ByteArrayOutputStream

private const val MAX_WAITING_REQUESTS = 8
private const val MAX_LINE_BYTES = 8_192
private const val STATUS_TIMEOUT = 408

/** Notes when bytes come in, before they are decoded. */
internal class ArrivalWatch(private val connection: RequestConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        connection.onBytes()
        ctx.fireChannelRead(message)
    }
}

/** A decoder that rejects a request with both a length and chunks, since two readers could disagree on its end. */
internal class StrictRequestDecoder(limits: RequestLimits) :
    HttpRequestDecoder(
        HttpDecoderConfig().setMaxHeaderSize(limits.maxHeaderBytes).setMaxInitialLineLength(MAX_LINE_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) =
        throw IllegalArgumentException("a request has both a length and a transfer encoding")
}

internal class RequestConnection(val channel: Channel, val server: RequestServer) : ChannelInboundHandlerAdapter() {
    private val waiting = ArrayDeque<IncomingRequest>()
    private var current: IncomingRequest? = null
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream()
    private var rejected = false
    private var lastBytesMs = server.clock.nowMs()
    private var requestBeganMs = -1L

    fun onBytes() {
        lastBytesMs = server.clock.nowMs()
        if (requestBeganMs < 0) requestBeganMs = lastBytesMs
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        server.opened(this)
        ctx.fireChannelActive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (rejected) return
            if (message is HttpRequest) onHead(message)
            if (!rejected && message is HttpContent) onContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun onHead(request: HttpRequest) {
        val cause = request.decoderResult().cause()
        when {
            cause is TooLongHttpHeaderException -> reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

            cause is TooLongHttpLineException -> reject(HttpResponseStatus.REQUEST_URI_TOO_LONG)

            cause != null || !hasOneLength(request) -> reject(HttpResponseStatus.BAD_REQUEST)

            HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes ->
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)

            else -> {
                head = request
                body.reset()
                if (HttpUtil.is100ContinueExpected(request)) {
                    channel.writeAndFlush(
                        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE),
                    )
                }
            }
        }
    }

    /** Only one length and only the chunked coding leave no doubt where the body ends. */
    private fun hasOneLength(request: HttpRequest): Boolean {
        val codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
        val isCodingKnown = codings.all { it.trim().equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true) }
        return isCodingKnown && codings.size <= 1 && lengths.size <= 1 && (codings.isEmpty() || lengths.isEmpty())
    }

    private fun onContent(content: HttpContent) {
        val request = head ?: return
        if (content.decoderResult().isFailure) {
            reject(HttpResponseStatus.BAD_REQUEST)
            return
        }
        val part = content.content()
        if (body.size() + part.readableBytes() > server.limits().maxBodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        part.readBytes(body, part.readableBytes())
        if (content is LastHttpContent) whole(request)
    }

    private fun whole(request: HttpRequest) {
        head = null
        requestBeganMs = -1
        val incoming = IncomingRequest(
            request.method().name(),
            request.uri(),
            request.headers(),
            body.toByteArray(),
            HttpUtil.isKeepAlive(request),
            this,
        )
        body.reset()
        when {
            current == null -> begin(incoming)
            waiting.size < MAX_WAITING_REQUESTS -> waiting.addLast(incoming)
            else -> channel.close()
        }
    }

    private fun begin(request: IncomingRequest) {
        current = request
        server.handler(request)
    }

    fun finished(request: IncomingRequest, closes: Boolean) {
        if (current !== request) return
        request.isOpen = false
        current = null
        lastBytesMs = server.clock.nowMs()
        if (closes) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { channel.close() }
        } else {
            waiting.removeFirstOrNull()?.let(::begin)
        }
    }

    fun checkTimeouts(now: Long, limits: RequestLimits) {
        when {
            rejected || current != null -> return
            requestBeganMs < 0 -> if (now - lastBytesMs >= limits.idleTimeoutMs) channel.close()
            head == null -> if (now - requestBeganMs >= limits.headerTimeoutMs) reject(STATUS_TIMEOUT)
            now - lastBytesMs >= limits.idleTimeoutMs -> reject(STATUS_TIMEOUT)
        }
    }

    private fun reject(status: Int) = reject(HttpResponseStatus.valueOf(status))

    private fun reject(status: HttpResponseStatus) {
        rejected = true
        if (current != null) {
            channel.close()
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response).addListener { channel.close() }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        server.closed(this)
        val left = current
        current = null
        waiting.clear()
        if (left != null && left.isOpen) {
            left.isOpen = false
            left.onClosed()
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (channel.isWritable) current?.onWritable?.invoke()
    }

    @Deprecated("Netty still calls it.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}
