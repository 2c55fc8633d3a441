/*
 * Bounds what a connection may receive that is not part of the awaited response: an endless head, control characters
 * before it, responses to other requests, or data after the end of a response. The HTTP codec bounds only the head.
 */
package org.sesamerouter.web

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

private const val MAX_UNMATCHED_BYTES = 1024 * 1024 // late responses to other requests may precede the awaited one

/** Fired on a connection that received more than [bytes] bytes without the awaited response. */
internal class UnmatchedBytesException(bytes: Long) : Exception("$bytes bytes received without a response")

internal class ResponseByteLimit : ChannelInboundHandlerAdapter() {
    private var unmatchedBytes = 0L

    /** Whether the received bytes belong to the awaited response. */
    var isInResponse = false
        set(value) {
            field = value
            unmatchedBytes = 0
        }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf && !isInResponse) {
            unmatchedBytes += message.readableBytes()
            if (unmatchedBytes > MAX_UNMATCHED_BYTES) {
                message.release()
                ctx.fireExceptionCaught(UnmatchedBytesException(unmatchedBytes))
                return
            }
        }
        ctx.fireChannelRead(message)
    }
}
