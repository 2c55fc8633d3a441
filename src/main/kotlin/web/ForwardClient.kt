/*
 * The HTTP side towards targets and the platform, byte for byte. It matches each answer with its request by id, tells
 * a whole answer from a cut one, and tells apart what surely never left this host from what may have been received.
 * All calls and callbacks happen on one event loop.
 */
package org.sesamerouter.web

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaders
import jdk.net.ExtendedSocketOptions
import org.sesamerouter.clock.Clock
import java.util.concurrent.TimeUnit

private const val CONNECT_TIMEOUT_MS = 700 // a sound target accepts within a few ms
private const val MAX_IDLE_MS = 20_000L
private const val IDLE_MARGIN_MS = 400L // a connection this near to its announced end is not reused
private const val SWEEP_MS = 1_000L
private const val MAX_LINE_BYTES = 8_192
private const val MAX_HEAD_BYTES = 32_768
private const val MAX_CHUNK_BYTES = 16_384
private const val KEEP_ALIVE_IDLE_S = 1
private const val KEEP_ALIVE_INTERVAL_S = 1
private const val KEEP_ALIVE_PROBES = 2

/**
 * A request to forward.
 *
 * @property answerId the id that an answer must bear; null where answers bear none.
 */
class OutgoingRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val answerId: AnswerId? = null,
)

/** The header and the value by which an answer is matched with its request. */
data class AnswerId(val header: String, val value: String)

/** Takes an answer in, on the event loop. */
interface AnswerListener {
    /** The head came. */
    fun onHead(status: Int, headers: HttpHeaders)

    /** A part of the body came; [content] is released after the call. */
    fun onBody(content: ByteBuf)

    /** The answer is whole. */
    fun onEnd()

    /** The call ended without a whole answer; [sent] is false when nothing of it can have been received. */
    fun onFailed(sent: Boolean, cause: String)
}

/** A call in progress. */
class ForwardCall internal constructor(private val loop: EventLoop) {
    internal var connection: ForwardConnection? = null
    internal var isCancelled = false

    /** Gives the call up and closes its connection; the listener hears no more. */
    fun cancel() {
        if (loop.inEventLoop()) cancelNow() else loop.execute(::cancelNow)
    }

    /** Stops or resumes reading the answer. */
    fun setReading(reading: Boolean) {
        connection?.channel?.config()?.isAutoRead = reading
    }

    private fun cancelNow() {
        isCancelled = true
        connection?.abandon()
    }
}

/** Connections of one address. */
private class AddressPool {
    val idle = ArrayDeque<ForwardConnection>()
    var open = 0
}

/** A client that keeps connections for reuse. */
class ForwardClient(private val loop: EventLoop, internal val clock: Clock) {
    private val pools = HashMap<String, AddressPool>()

    /** Connections opened so far. */
    var opened = 0L
        private set

    init {
        loop.scheduleAtFixedRate(::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS)
    }

    /** Sends [request] to [address] on a kept connection or a new one, of which there are at most [maxConnections]. */
    fun send(
        address: String,
        request: OutgoingRequest,
        listener: AnswerListener,
        maxConnections: Int = Int.MAX_VALUE,
    ): ForwardCall {
        val call = ForwardCall(loop)
        val kept = takeIdle(address)
        when {
            kept != null -> kept.start(request, listener, call)
            poolOf(address).open >= maxConnections -> listener.onFailed(sent = false, cause = "connection limit")
            else -> open(address, request, listener, call)
        }
        return call
    }

    private fun open(address: String, request: OutgoingRequest, listener: AnswerListener, call: ForwardCall) {
        val pool = poolOf(address)
        pool.open++
        opened++
        val connecting = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline()
                        .addLast(HttpClientCodec(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES))
                        .addLast(ForwardConnection(channel, address, this@ForwardClient))
                }
            })
            .connect(socketAddress(address))
        connecting.addListener {
            when {
                connecting.isSuccess && call.isCancelled -> connecting.channel().close()

                connecting.isSuccess -> connectionOf(connecting.channel()).start(request, listener, call)

                else -> {
                    pool.open--
                    val cause = connecting.cause().message.orEmpty()
                    if (!call.isCancelled) listener.onFailed(sent = false, cause = cause)
                }
            }
        }
    }

    private fun connectionOf(channel: Channel) = channel.pipeline().get(ForwardConnection::class.java)

    internal fun keep(connection: ForwardConnection) {
        poolOf(connection.address).idle.addLast(connection)
    }

    internal fun closed(connection: ForwardConnection) {
        val pool = poolOf(connection.address)
        pool.open--
        pool.idle.remove(connection)
    }

    private fun takeIdle(address: String): ForwardConnection? {
        val idle = pools[address]?.idle ?: return null
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            if (connection.isReusable(clock.nowMs())) return connection
            connection.channel.close()
        }
    }

    private fun poolOf(address: String) = pools.getOrPut(address) { AddressPool() }

    private fun sweep() {
        val now = clock.nowMs()
        pools.values.flatMap { it.idle }.filterNot { it.isReusable(now) }.forEach { it.channel.close() }
        pools.values.removeIf { it.open == 0 && it.idle.isEmpty() }
    }

    internal companion object {
        /** How long a kept connection may be idle, from the seconds that its target announced. */
        fun idleLimitMs(announcedSeconds: Long?): Long =
            minOf(MAX_IDLE_MS, announcedSeconds?.let { it * 1_000 - IDLE_MARGIN_MS } ?: MAX_IDLE_MS)
    }
}
