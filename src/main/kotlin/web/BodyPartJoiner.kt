/*
 * Bounds what one connection costs in a round of its event loop, however small the parts of a body are: a round reads
 * one buffer of each connection, and what was decoded from it is passed on as one part.
 */
package org.sesamerouter.web

import io.netty.buffer.ByteBuf
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.RecvByteBufAllocator
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.LastHttpContent

private const val MIN_READ_BYTES = 64
private const val INITIAL_READ_BYTES = 2_048

/** The most that a round of an event loop reads from one connection. */
internal const val MAX_READ_BYTES = 32 * 1024

/** Makes a round of an event loop read at most [MAX_READ_BYTES] from each connection, so that all get their turn. */
internal fun boundedReads(): RecvByteBufAllocator =
    AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1)

/** Joins the parts of a body that were decoded from one read; has to follow the decoder in the pipeline. */
internal class BodyPartJoiner : ChannelInboundHandlerAdapter() {
    private var joined: ByteBuf? = null
    private var isCopied = false

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        val isPart = message is HttpContent && message !is LastHttpContent && message !is HttpMessage
        if (isPart && message.decoderResult().isSuccess) {
            join(ctx, message.content())
        } else {
            passOn(ctx)
            ctx.fireChannelRead(message)
        }
    }

    /** Takes ownership of [part]. A single part is passed on as it is, without a copy. */
    private fun join(ctx: ChannelHandlerContext, part: ByteBuf) {
        val first = joined
        if (first == null) {
            joined = part
            isCopied = false
            return
        }
        if (!isCopied) {
            joined = ctx.alloc().heapBuffer(first.readableBytes() + part.readableBytes()).writeBytes(first)
            first.release()
            isCopied = true
        }
        joined?.writeBytes(part)
        part.release()
    }

    private fun passOn(ctx: ChannelHandlerContext) {
        val parts = joined ?: return
        joined = null
        ctx.fireChannelRead(DefaultHttpContent(parts))
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        passOn(ctx)
        ctx.fireChannelReadComplete()
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        passOn(ctx)
        ctx.fireUserEventTriggered(event)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        passOn(ctx)
        ctx.fireChannelInactive()
    }

    @Deprecated("Netty still calls this function.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        passOn(ctx)
        ctx.fireExceptionCaught(cause)
    }

    override fun handlerRemoved(ctx: ChannelHandlerContext) {
        joined?.release()
        joined = null
    }
}
