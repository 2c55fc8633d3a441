/*
 * Tells since when connections may have waited to be accepted. A round of the event loop accepts a limited number; if
 * it reaches the limit, others wait for the next round.
 */
package org.sesamerouter.web

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import org.sesamerouter.clock.Clock

internal class AcceptBacklog(private val maxAccepts: Int, private val lag: LoopLag, private val clock: Clock) {
    /** Since when connections may wait; null if the last round accepted all. */
    var sinceMs: Long? = null
        private set

    /** Records that a round of the event loop [accepted] connections. */
    fun onRound(accepted: Int) {
        val now = clock.nowMs()
        sinceMs = if (accepted < maxAccepts) null else sinceMs ?: (now - lag.sinceMs(now))
    }
}

/** Counts the connections that a listening channel accepts in each round. */
internal class AcceptCounter(private val backlog: AcceptBacklog) : ChannelInboundHandlerAdapter() {
    private var accepted = 0

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        accepted++
        ctx.fireChannelRead(message)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        backlog.onRound(accepted)
        accepted = 0
        ctx.fireChannelReadComplete()
    }
}
