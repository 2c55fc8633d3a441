/*
 * One connection to a target. It carries one call at a time; an answer that bears another id than the call's is
 * dropped, and bytes outside a call close the connection.
 */
package org.sesamerouter.web

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
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

private val KEEP_ALIVE_SECONDS = Regex("""timeout=(\d+)""")

internal class ForwardConnection(val channel: Channel, val address: String, private val client: ForwardClient) :
    SimpleChannelInboundHandler<HttpObject>() {
    private var listener: AnswerListener? = null
    private var call: ForwardCall? = null
    private var answerId: AnswerId? = null
    private var written = false
    private var hasHead = false
    private var skipping = false
    private var keepAlive = true
    private var wasReset = false
    private var idleSinceMs = 0L
    private var idleLimitMs = ForwardClient.idleLimitMs(null)

    fun isReusable(now: Long): Boolean = channel.isActive && now - idleSinceMs < idleLimitMs

    fun start(request: OutgoingRequest, listener: AnswerListener, call: ForwardCall) {
        this.listener = listener
        this.call = call
        call.connection = this
        answerId = request.answerId
        written = false
        hasHead = false
        skipping = false
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.uri,
            Unpooled.wrappedBuffer(request.body),
        )
        message.headers().set(request.headers)
        if (request.body.isNotEmpty() || request.method != HttpMethod.GET.name()) {
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        channel.writeAndFlush(message).addListener { write ->
            written = write.isSuccess
            if (!write.isSuccess) channel.close()
        }
    }

    /** Ends the call without telling its listener; the target sees the connection close. */
    fun abandon() {
        listener = null
        channel.close()
    }

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) {
            wasReset = true
            ctx.close()
            return
        }
        if (message is HttpResponse) onHead(message)
        if (message is HttpContent && !skipping) onContent(ctx, message)
        if (message is LastHttpContent && skipping) skipping = false
    }

    private fun onHead(response: HttpResponse) {
        val heard = listener
        if (heard == null || response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true
            if (heard == null) channel.close()
            return
        }
        val expected = answerId
        val actual = expected?.let { response.headers().get(it.header) }
        if (actual != null && actual != expected.value) {
            skipping = true
            return
        }
        hasHead = true
        keepAlive = HttpUtil.isKeepAlive(response)
        val announced = response.headers().get("Keep-Alive")?.let { KEEP_ALIVE_SECONDS.find(it) }
        idleLimitMs = ForwardClient.idleLimitMs(announced?.groupValues?.get(1)?.toLongOrNull())
        heard.onHead(response.status().code(), response.headers())
    }

    private fun onContent(ctx: ChannelHandlerContext, content: HttpContent) {
        val heard = listener
        if (heard == null || !hasHead) {
            if (heard == null) ctx.close()
            return
        }
        if (content.content().isReadable) heard.onBody(content.content())
        if (content is LastHttpContent && listener === heard && !wasReset) end(heard)
    }

    private fun end(heard: AnswerListener) {
        listener = null
        idleSinceMs = client.clock.nowMs()
        channel.config().isAutoRead = true
        // A target that answered before it read the whole request takes the next bytes for the rest of this one.
        if (keepAlive && written && channel.isActive) client.keep(this) else channel.close()
        heard.onEnd()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        client.closed(this)
        val heard = listener
        listener = null
        heard?.onFailed(sent = true, cause = if (wasReset) "connection reset" else "connection closed")
        super.channelInactive(ctx)
    }

    /** After a reset the decoder would take the end of the connection for the end of an answer without a length. */
    @Deprecated("Netty still calls it.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        wasReset = true
        ctx.close()
    }
}
