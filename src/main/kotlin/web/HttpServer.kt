/*
 * The HTTP server for callers, operators and stand-ins, based on Netty. It limits the size of headers and bodies,
 * handles one call at a time per connection and supports backpressure for streamed responses. Unlike RequestServer it
 * passes bodies on as text, and its limits are fixed when it starts.
 */
package org.sesamerouter.web

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.timeout.IdleStateEvent
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.Future
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val MAX_HEADER_BYTES = 8_192
private const val MAX_REQUEST_LINE_BYTES = 4_096
private const val PART_BYTES = 256 // the buffers that hold a part of a body
private const val IDLE_TIMEOUT_SECONDS = 120
private const val MAX_PIPELINED_REQUESTS = 16
private const val LOW_WATERMARK_BYTES = 32 * 1024
private const val HIGH_WATERMARK_BYTES = 128 * 1024
private const val LISTEN_BACKLOG = 1_024
private const val LINGER_MS = 1_000L

/** An HTTP request and the means to respond to it. The response is sent once, from any thread. */
class HttpCall internal constructor(
    val method: String,
    val path: String,
    val query: Map<String, String>,
    val body: String,
    internal val keepAlive: Boolean,
    internal val heldBytes: Int,
    private val connection: ServerConnection,
) {
    /** Called on the connection's event loop if either side closes the connection before the response is complete. */
    @Volatile
    var onClosed: () -> Unit = {}

    /** Called on the connection's event loop when a streamed response becomes writable again. */
    @Volatile
    var onWritable: () -> Unit = {}

    /** The non-empty segments of the path. */
    val segments: List<String> get() = path.split('/').filter { it.isNotEmpty() }

    /** Whether the write buffer has space for more data. */
    val isWritable: Boolean get() = connection.channel.isWritable

    /** Sends a complete response with [status] and [body]. */
    fun reply(status: Int, body: String, contentType: String = "application/json") = connection.onEventLoop {
        val content = Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        HttpUtil.setKeepAlive(response, !connection.decideClose(this))
        connection.write(response)
        connection.onResponseEnd(this)
    }

    /** Starts a streamed response with status 200; its parts follow with [write], and [endStream] completes it. */
    fun startStream(contentType: String) = connection.onEventLoop {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        HttpUtil.setKeepAlive(response, !connection.decideClose(this))
        connection.channel.writeAndFlush(response)
    }

    /** Writes a part of a streamed response. */
    fun write(part: String) {
        connection.channel.writeAndFlush(DefaultHttpContent(Unpooled.copiedBuffer(part, Charsets.UTF_8)))
    }

    /** Ends a streamed response. */
    fun endStream() = connection.onEventLoop {
        connection.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        connection.onResponseEnd(this)
    }

    /** Closes the connection without completing the response. */
    fun abort() {
        connection.channel.close()
    }
}

/** The progress of a server's planned stop, which its connections follow. */
internal class ServerLifecycle {
    /** Whether a connection is closed once the requests read from it have been answered. */
    @Volatile
    var isDraining = false

    /** Whether requests that are read are handled. */
    @Volatile
    var isAccepting = true

    /** Number of requests that were read and have not been answered. */
    val openCalls = AtomicInteger()
}

/** An HTTP server that listens on one port, as started by [startHttpServer]. */
class HttpServer internal constructor(
    private val listening: Channel,
    private val channels: DefaultChannelGroup,
    private val lifecycle: ServerLifecycle,
) {
    /** The local port, also if the system assigned it. */
    val port: Int get() = (listening.localAddress() as InetSocketAddress).port

    /** Number of requests that were read and have not been answered. */
    val openCalls: Int get() = lifecycle.openCalls.get()

    /**
     * Closes idle connections now and the others with the answer to the last request that was read from them. On a
     * connection that was not used yet, a request is probably on its way.
     */
    fun drain() {
        lifecycle.isDraining = true
        onConnections { if (it.wasUsed) it.closeIfIdle() }
    }

    /** Stops listening. Once this function has returned, no request is read any more on open connections either. */
    fun stopAccepting() {
        lifecycle.isAccepting = false
        listening.close().syncUninterruptibly()
        onConnections {}.forEach { it.syncUninterruptibly() }
    }

    /** Closes the server and its connections after flushing pending writes, for which it waits up to [timeoutMs]. */
    fun closeGracefully(timeoutMs: Long) {
        stopAccepting()
        onConnections { it.closeAfterFlush() }
        channels.newCloseFuture().awaitUninterruptibly(timeoutMs, TimeUnit.MILLISECONDS)
        channels.close().awaitUninterruptibly()
    }

    private fun onConnections(action: (ServerConnection) -> Unit): List<Future<*>> = channels.map { channel ->
        channel.eventLoop().submit(Runnable { channel.pipeline().get(ServerConnection::class.java)?.let(action) })
    }

    /** Closes the server and all connections immediately. */
    fun close() {
        listening.close().syncUninterruptibly()
        channels.close().awaitUninterruptibly()
    }
}

/**
 * Starts an HTTP server.
 *
 * @param address IP and port; with port 0, the system assigns a free port.
 * @param maxBodyBytes requests with a larger body are rejected with status 413.
 * @param budget requests that do not fit into it are rejected with status 503.
 */
fun startHttpServer(
    address: String,
    eventLoopGroup: EventLoopGroup,
    maxBodyBytes: Int,
    budget: MemoryBudget = memoryBudgetOfHeap(),
    handler: (HttpCall) -> Unit,
): HttpServer {
    val channels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    val lifecycle = ServerLifecycle()
    val listening = ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            WriteBufferWaterMark(LOW_WATERMARK_BYTES, HIGH_WATERMARK_BYTES),
        )
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channels.add(channel)
                val held = HeldByConnection(BudgetAccount(budget))
                val config = HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                    .setHeadersFactory(held.heads).setTrailersFactory(held.meter)
                channel.pipeline()
                    .addLast(IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
                    .addLast(HttpServerCodec(config))
                    .addLast(ReceivingTracker(held))
                    .addLast(HttpObjectAggregator(maxBodyBytes))
                    .addLast(ServerConnection(channel, lifecycle, held, handler))
            }
        })
        .bind(socketAddress(address))
        .syncUninterruptibly()
        .channel()
    return HttpServer(listening, channels, lifecycle)
}

internal fun socketAddress(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

/** What a connection holds of the budget. */
internal class HeldByConnection(val account: BudgetAccount) {
    val meter = HeadMeter(account, MAX_HEADER_BYTES / 2) // a line has a name and a colon
    private val body = BudgetPart(account)
    private val unwritten = BudgetPart(account)

    /** Makes the headers of requests, each of which begins a head. */
    val heads = object : HttpHeadersFactory by meter {
        override fun newHeaders(): HttpHeaders {
            meter.onFirstLine(MAX_REQUEST_LINE_BYTES / 2)
            return meter.newHeaders()
        }
    }

    /** Adds a part of a body with [bytes]; returns false if there is no room for it. */
    fun addPart(bytes: Int): Boolean = body.resize(body.heldBytes + bytes + PART_BYTES)

    /** Returns what the request that was read last holds, which stays in the account until it is released. */
    fun take(): Int {
        val bytes = meter.take() + body.heldBytes
        body.forget()
        return bytes
    }

    fun setUnwritten(bytes: Long): Boolean = unwritten.resize(bytes.toInt())
}

/**
 * Notes whether a request has been read in part, which the aggregator behind it holds back until it is whole. Charges
 * the parts of bodies, and rejects a request that there is no room for.
 */
private class ReceivingTracker(private val held: HeldByConnection) : ChannelInboundHandlerAdapter() {
    var isReceiving = false
        private set

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (message is HttpRequest) isReceiving = true
        if (message is LastHttpContent) isReceiving = false
        val bytes = (message as? HttpContent)?.content()?.readableBytes() ?: 0
        if (bytes > 0 && !held.addPart(bytes)) {
            ReferenceCountUtil.release(message)
            ctx.pipeline().get(ServerConnection::class.java).refuse(HttpResponseStatus.SERVICE_UNAVAILABLE)
            return
        }
        ctx.fireChannelRead(message)
    }
}

/** Discards input before it is decoded, since the codec fails on too many requests that have no response. */
private class InputDiscarder : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        ReferenceCountUtil.release(message)
    }
}

internal class ServerConnection(
    val channel: SocketChannel,
    private val lifecycle: ServerLifecycle,
    private val held: HeldByConnection,
    private val handler: (HttpCall) -> Unit,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private val pipelined = ArrayDeque<HttpCall>()
    private var current: HttpCall? = null

    /** Whether a request was read from this connection. */
    var wasUsed = false
        private set

    /** Whether the connection closes after the current response; requests read later are not handled. */
    private var isClosing = false
    private var isDiscarding = false

    override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
        wasUsed = true
        if (isClosing) return
        if (request.decoderResult().isFailure) {
            refuse(
                when (request.decoderResult().cause()) {
                    is NoRoomException -> HttpResponseStatus.SERVICE_UNAVAILABLE
                    is TooManyLinesException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                    else -> HttpResponseStatus.BAD_REQUEST
                },
            )
            return
        }
        if (!lifecycle.isAccepting) {
            closeIfIdle()
            return
        }
        val uri = QueryStringDecoder(request.uri())
        val query = uri.parameters().mapValues { it.value.first() }
        val body = request.content().toString(Charsets.UTF_8)
        val call =
            HttpCall(request.method().name(), uri.path(), query, body, HttpUtil.isKeepAlive(request), held.take(), this)
        if (current != null && pipelined.size >= MAX_PIPELINED_REQUESTS) {
            ctx.close()
            return
        }
        lifecycle.openCalls.incrementAndGet()
        if (current == null && pipelined.isEmpty() && channel.isWritable) begin(call) else pipelined.addLast(call)
    }

    /** Rejects a request that is not handled, and closes the connection; behind another request, it only closes it. */
    fun refuse(status: HttpResponseStatus) {
        if (isClosing) return
        isClosing = true
        if (current != null) return // the connection closes with its answer
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
        HttpUtil.setKeepAlive(response, false)
        channel.writeAndFlush(response).addListener { channel.close() }
    }

    /** Writes [response]; closes the connection if its caller does not take it and there is no room for it. */
    fun write(response: FullHttpResponse) {
        val written = channel.writeAndFlush(response)
        if (written.isDone) return
        written.addListener { chargeUnwritten() }
        if (!chargeUnwritten()) channel.close()
    }

    private fun chargeUnwritten() = held.setUnwritten(channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0)

    /** Runs [action] on the connection's event loop, at once when called on it. */
    fun onEventLoop(action: () -> Unit) {
        val loop = channel.eventLoop()
        if (loop.inEventLoop()) action() else loop.execute(action)
    }

    /** Decides, when the head of the response to [call] is written, whether the connection closes after it. */
    fun decideClose(call: HttpCall): Boolean {
        val isLast = !call.keepAlive || (lifecycle.isDraining && pipelined.isEmpty())
        if (call === current && isLast) isClosing = true
        return isClosing
    }

    /** Begins the next request that was read, or closes the connection when no other is to follow. */
    fun onResponseEnd(call: HttpCall) {
        if (current !== call) return
        current = null
        held.account.release(call.heldBytes)
        lifecycle.openCalls.decrementAndGet()
        when {
            !isClosing && pipelined.isNotEmpty() -> beginNext()
            isClosing || lifecycle.isDraining -> closeAfterFlush()
        }
    }

    /** Begins the next request, once its caller has taken most of the answers before. */
    private fun beginNext() {
        if (current == null && !isClosing && channel.isWritable) pipelined.removeFirstOrNull()?.let(::begin)
    }

    /** Closes the connection unless a request is being read or answered. */
    fun closeIfIdle() {
        val isReceiving = channel.pipeline().get(ReceivingTracker::class.java).isReceiving
        val isIdle = current == null && pipelined.isEmpty() && !isReceiving
        if (isIdle && !isClosing) closeAfterFlush()
    }

    /**
     * Ends the output and discards the input until the caller closes its side, since a connection that is closed with
     * unread input is reset, which may destroy the answer before the caller has read it.
     */
    fun closeAfterFlush() {
        isClosing = true
        if (!isDiscarding) channel.pipeline().addFirst(InputDiscarder())
        isDiscarding = true
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            channel.shutdownOutput()
            channel.eventLoop().schedule({ channel.close() }, LINGER_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun begin(call: HttpCall) {
        current = call
        handler(call)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        lifecycle.openCalls.addAndGet(-pipelined.size - if (current == null) 0 else 1)
        current?.onClosed?.invoke()
        current = null
        pipelined.clear()
        held.account.close()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (!channel.isWritable) return
        if (current == null) beginNext() else current?.onWritable?.invoke()
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event is IdleStateEvent && current == null) ctx.close()
    }

    @Deprecated("Netty still calls this function.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}
