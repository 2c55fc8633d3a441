/*
 * The HTTP side towards callers whose requests are forwarded byte for byte: whole bodies in, streamed answers out,
 * bounds that may change while it runs, and no tolerance for a request whose length can be read in two ways.
 */
package org.sesamerouter.web

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.sesamerouter.clock.Clock
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val LISTEN_BACKLOG = 1_024
private const val SWEEP_MS = 250L // a caller's timeout is late by at most this
private const val LOW_MARK_BYTES = 32 * 1024
private const val HIGH_MARK_BYTES = 128 * 1024

/**
 * What a caller may send and how long it may take.
 *
 * @property headerTimeoutMs from the first byte of a request to the end of its head.
 * @property idleTimeoutMs longest silence on a kept connection, and between parts of a body.
 */
data class RequestLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeoutMs: Long = 10_000,
    val idleTimeoutMs: Long = 60_000,
)

/** One request of a caller, whole, with the means to answer it on the connection's event loop. */
class IncomingRequest internal constructor(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    private val keepAlive: Boolean,
    private val connection: RequestConnection,
) {
    /** Runs when the caller leaves before its answer ended. */
    var onClosed: () -> Unit = {}

    /** Runs when an answer that was held back may be written again. */
    var onWritable: () -> Unit = {}

    /** Whether the caller still waits for this answer. */
    var isOpen = true
        internal set

    /** Whether bytes of the answer were written. */
    var isBegun = false
        private set

    val isWritable: Boolean get() = connection.channel.isWritable

    /** Answers with [status], [headers] and the whole [body]. */
    fun reply(status: Int, body: ByteArray = ByteArray(0), headers: HttpHeaders = DefaultHttpHeaders()) {
        if (!isOpen || isBegun) return
        isBegun = true
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
        )
        response.headers().add(headers)
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
        val closes = markClose(response.headers())
        connection.channel.writeAndFlush(response)
        connection.finished(this, closes)
    }

    /** Begins an answer whose body follows; without a length in [headers] it is sent in chunks. */
    fun begin(status: Int, headers: HttpHeaders) {
        if (!isOpen || isBegun) return
        isBegun = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().add(headers)
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        closesAfter = markClose(response.headers())
        connection.channel.writeAndFlush(response)
    }

    private var closesAfter = false

    /** Writes a part of the body and takes [content] over. */
    fun write(content: ByteBuf) {
        if (isOpen) connection.channel.writeAndFlush(DefaultHttpContent(content)) else content.release()
    }

    /** Ends the body. */
    fun end() {
        if (!isOpen) return
        connection.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        connection.finished(this, closesAfter)
    }

    /** Cuts the connection, so that an answer that was begun does not look whole. */
    fun abort() {
        isOpen = false
        connection.channel.close()
    }

    private fun markClose(headers: HttpHeaders): Boolean {
        val closes = !keepAlive || connection.server.isClosing
        if (closes) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return closes
    }
}

/** A listening server for forwarded requests. */
class RequestServer internal constructor(
    private val group: EventLoopGroup,
    internal val clock: Clock,
    internal val limits: () -> RequestLimits,
    internal val handler: (IncomingRequest) -> Unit,
) {
    private val connections = LinkedHashSet<RequestConnection>()
    private lateinit var listening: Channel

    /** Once set, every answer asks the caller to use another connection. */
    @Volatile
    var isClosing = false

    /** The port that the system gave. */
    val port: Int get() = (listening.localAddress() as InetSocketAddress).port

    internal fun start(address: String) {
        listening = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_MARK_BYTES, HIGH_MARK_BYTES))
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    val connection = RequestConnection(channel, this@RequestServer)
                    channel.pipeline()
                        .addLast(ArrivalWatch(connection))
                        .addLast(StrictRequestDecoder(limits()))
                        .addLast(HttpResponseEncoder())
                        .addLast(connection)
                }
            })
            .bind(socketAddress(address))
            .syncUninterruptibly()
            .channel()
        group.scheduleAtFixedRate(::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS)
    }

    internal fun opened(connection: RequestConnection) {
        connections += connection
    }

    internal fun closed(connection: RequestConnection) {
        connections -= connection
    }

    /** Stops listening and closes what is left once it was written. */
    fun close() {
        listening.close()
        group.execute {
            connections.toList().forEach {
                it.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            }
        }
    }

    private fun sweep() {
        val now = clock.nowMs()
        val bounds = limits()
        connections.toList().forEach { it.checkTimeouts(now, bounds) }
    }
}

/** Starts a server at [address] whose requests go to [handler], each on the event loop of its connection. */
fun startRequestServer(
    address: String,
    group: EventLoopGroup,
    clock: Clock,
    limits: () -> RequestLimits,
    handler: (IncomingRequest) -> Unit,
): RequestServer = RequestServer(group, clock, limits, handler).also { it.start(address) }
