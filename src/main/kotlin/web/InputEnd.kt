/*
 * The evidence that the other side of a connection has ended its data in order. The HTTP decoder ends a response
 * without a length whenever the connection is gone, also after a reset and when this process closes it.
 */
package org.sesamerouter.web

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent

/** A handler for connections of a [reportInputEnd] bootstrap; has to precede the decoder in the pipeline. */
internal class InputEnd : ChannelInboundHandlerAdapter() {
    /** Whether the other side has ended its data in order. */
    var isReached = false
        private set

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) isReached = true
        ctx.fireUserEventTriggered(event)
    }
}

/** Makes connections report the end of their input instead of closing; the last handler has to close them then. */
internal fun Bootstrap.reportInputEnd(): Bootstrap = option(ChannelOption.ALLOW_HALF_CLOSURE, true)
