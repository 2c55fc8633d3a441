/*
 * The HTTP server for callers whose requests are forwarded without changing bodies. Request bodies are read completely,
 * responses are streamed, and limits may change at runtime. Requests with an ambiguous length are rejected.
 */
package org.sesamerouter.web

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
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
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.sesamerouter.clock.Clock
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val LISTEN_BACKLOG = 1_024
private const val MAX_ACCEPTS_PER_ROUND = 16 // the default of Netty for listening sockets
private const val TIMEOUT_CHECK_MS = 500L // timeouts of callers are detected at most this late
private const val MIN_LINE_BYTES = 2 // the end of the line is not counted
private const val LOW_WATERMARK_BYTES = 32 * 1024
private const val HIGH_WATERMARK_BYTES = 128 * 1024

/**
 * Size and time limits of callers' requests.
 *
 * @property maxHeaderLines maximum number of header lines; by default no head of [maxHeaderBytes] has more, since a
 * line has a name and a colon.
 * @property headerTimeoutMs maximum time from the first byte of a request to the end of its head.
 * @property idleTimeoutMs maximum idle time of a connection between requests, and between parts of a body.
 */
data class RequestLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeoutMs: Long = 10_000,
    val idleTimeoutMs: Long = 60_000,
    val maxHeaderLines: Int = maxHeaderBytes / MIN_LINE_BYTES,
)

/**
 * A complete request of a caller and its response. Must be used on the event loop of the connection.
 *
 * @param heldBytes bytes of the budget that it holds until its response is complete.
 * @property startedMs when its first byte arrived, as far as it can be told; its body may have taken long.
 * @property isOnKeptConnection whether its connection was used for another request before.
 */
class IncomingRequest internal constructor(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    heldBytes: Int,
    val startedMs: Long,
    val isOnKeptConnection: Boolean,
    private val keepAlive: Boolean,
    private val knowsChunks: Boolean,
    private val connection: RequestConnection,
) {
    /** Called if the caller disconnects before the response is complete. */
    var onClosed: () -> Unit = {}

    /** Called when the connection becomes writable again. */
    var onWritable: () -> Unit = {}

    internal var heldBytes = heldBytes
        private set

    /** Charges [bytes] that are kept until the response is complete; returns false if the budget has no room. */
    fun hold(bytes: Int): Boolean {
        val hasRoom = isOpen && connection.account.reserve(bytes)
        if (hasRoom) heldBytes += bytes
        return hasRoom
    }

    /** Whether the caller still waits for the response. */
    var isOpen = true
        internal set

    /** Whether the response has been started. */
    var isResponseStarted = false
        private set

    /** Whether the caller still waits, as far as data that has arrived but was not read yet tells. */
    fun isCallerWaiting(): Boolean {
        if (isOpen && connection.server.isLagging()) connection.readArrived()
        return isOpen && connection.channel.isActive
    }

    /** Whether more of the response may be written; [onWritable] is called when it may again. */
    val isWritable: Boolean get() = connection.isWritable

    /** Sends a complete response with [status], [headers] and [body]. */
    fun reply(status: Int, body: ByteArray = ByteArray(0), headers: HttpHeaders = DefaultHttpHeaders()) {
        if (!isOpen || isResponseStarted) return
        isResponseStarted = true
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
        )
        response.headers().add(headers)
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.size)
        val closes = setConnectionClose(response.headers())
        connection.write(response)
        connection.onResponseEnd(this, closes)
    }

    /**
     * Starts a response whose body follows, unless it answers a HEAD. Without a length in [headers] it has chunks, or
     * ends with its connection if [framing] says so or the caller does not know chunks.
     */
    fun startResponse(status: Int, headers: HttpHeaders, framing: BodyFraming = BodyFraming.CHUNKS) {
        if (!isOpen || isResponseStarted) return
        isResponseStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().add(headers)
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH) && method != HttpMethod.HEAD.name()) {
            endsWithConnection = framing == BodyFraming.CONNECTION_END || !knowsChunks
            if (!endsWithConnection) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        if (endsWithConnection) connection.resetsAtClose = true
        closesAfterResponse = setConnectionClose(response.headers())
        connection.write(response)
    }

    private var closesAfterResponse = false
    private var endsWithConnection = false

    /** Writes a part of the body; takes ownership of [content]. */
    fun write(content: ByteBuf) {
        if (isOpen) connection.write(DefaultHttpContent(content)) else content.release()
    }

    /** Ends the response. */
    fun end() {
        if (!isOpen) return
        connection.write(LastHttpContent.EMPTY_LAST_CONTENT).addListener {
            if (it.isSuccess) connection.resetsAtClose = false
        }
        connection.onResponseEnd(this, closesAfterResponse)
    }

    /** Closes the connection, so that a partial response is not mistaken for a complete one. */
    fun abort() {
        isOpen = false
        connection.channel.close()
    }

    private fun setConnectionClose(headers: HttpHeaders): Boolean {
        val closes = !keepAlive || endsWithConnection || (connection.server.isClosing && !connection.hasPipelined)
        if (closes) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return closes
    }
}

/** An HTTP server for requests to be forwarded. */
class RequestServer internal constructor(
    private val group: EventLoopGroup,
    internal val clock: Clock,
    internal val limits: () -> RequestLimits,
    internal val lag: LoopLag,
    internal val budget: MemoryBudget,
    internal val handler: (IncomingRequest) -> Unit,
) {
    private val connections = LinkedHashSet<RequestConnection>()
    internal val backlog = AcceptBacklog(MAX_ACCEPTS_PER_ROUND, lag, clock)
    private lateinit var listening: Channel

    /** If set, each response tells the caller to close the connection. */
    @Volatile
    var isClosing = false

    /** The local port, also if the system assigned it. */
    val port: Int get() = (listening.localAddress() as InetSocketAddress).port

    internal fun start(address: String) {
        listening = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(AcceptCounter(backlog))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                WriteBufferWaterMark(LOW_WATERMARK_BYTES, HIGH_WATERMARK_BYTES),
            )
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    RequestConnection(channel, this@RequestServer).addTo(channel.pipeline())
                }
            })
            .bind(socketAddress(address))
            .syncUninterruptibly()
            .channel()
        group.scheduleAtFixedRate(::checkTimeouts, TIMEOUT_CHECK_MS, TIMEOUT_CHECK_MS, TimeUnit.MILLISECONDS)
    }

    internal fun isLagging(): Boolean = lag.sinceMs(clock.nowMs()) > 0

    internal fun onConnectionOpened(connection: RequestConnection) {
        connections += connection
    }

    internal fun onConnectionClosed(connection: RequestConnection) {
        connections -= connection
    }

    /**
     * Closes the kept connections that are idle, and each other one after the answers to what it has received. On a
     * connection that was not used yet, a request is probably on its way.
     */
    fun closeIdleConnections() {
        isClosing = true
        group.next().execute { connections.filter { it.wasUsed }.forEach { it.closeIfIdle() } }
    }

    /**
     * Stops listening and closes each connection once the requests that it has received are answered. Returns a future
     * of the number of connections that still wait for an answer.
     */
    fun closeWhenAnswered(): CompletableFuture<Int> {
        isClosing = true
        val unanswered = CompletableFuture<Int>()
        group.next().execute {
            listening.close()
            connections.toList().forEach { it.closeIfIdle() }
            unanswered.complete(connections.count { it.hasRequest })
        }
        return unanswered
    }

    /**
     * Stops listening and closes the connections after flushing pending writes. Returns a future of the number of
     * connections that were closed while a request on them had no complete answer; it completes when all are closed.
     */
    fun close(): CompletableFuture<Int> {
        listening.close()
        val unanswered = CompletableFuture<Int>()
        group.next().execute {
            val open = connections.toList()
            val unansweredCount = open.count { it.hasRequest }
            var left = open.size
            if (left == 0) unanswered.complete(0)
            for (connection in open) {
                connection.channel.closeFuture().addListener { if (--left == 0) unanswered.complete(unansweredCount) }
                connection.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            }
        }
        return unanswered
    }

    private fun checkTimeouts() {
        val now = clock.nowMs()
        val currentLimits = limits()
        connections.toList().forEach { it.checkTimeouts(now, currentLimits) }
    }
}

/**
 * Starts a server at [address]. It calls [handler] for each request, on the event loop of the connection; [lag] tells
 * how long requests may have waited for it, and requests that do not fit into [budget] are rejected with 503.
 */
fun startRequestServer(
    address: String,
    group: EventLoopGroup,
    clock: Clock,
    limits: () -> RequestLimits,
    lag: LoopLag = measureLoopLag(group.next() as EventLoop, clock),
    budget: MemoryBudget = memoryBudgetOfHeap(),
    handler: (IncomingRequest) -> Unit,
): RequestServer = RequestServer(group, clock, limits, lag, budget, handler).also { it.start(address) }
