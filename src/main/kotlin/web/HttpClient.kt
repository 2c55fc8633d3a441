/*
 * The HTTP side towards targets and the platform: Netty with its codec. It tells apart what surely never left this
 * host from what may have been received, since only the former may be repeated.
 */
package org.sesamerouter.web

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

private const val CONNECT_TIMEOUT_MS = 1_000
private const val MAX_IDLE = 64
private const val MAX_REPLY_LINE_BYTES = 16 * 1024 * 1024

/** A request to send. */
data class ClientRequest(val method: String, val path: String, val body: String = "")

/** Takes the reply in, on an event loop, one call at a time. */
interface ReplyListener {
    /** The head of the reply came. */
    fun onHead(status: Int) = Unit

    /** A line of the body came, without its end. */
    fun onLine(line: String)

    /** The reply is whole. */
    fun onEnd()

    /** The call ended without a whole reply; [sent] is false when nothing of it can have reached the other side. */
    fun onFailed(sent: Boolean, cause: String)
}

/** A whole reply. */
data class HttpReply(val status: Int, val body: String)

/** What became of a [HttpClient.fetch]. */
sealed interface FetchOutcome {
    data class Replied(val reply: HttpReply) : FetchOutcome

    /** No whole reply came; [sent] is false when nothing can have reached the other side. */
    data class Failed(val sent: Boolean, val cause: String) : FetchOutcome
}

/** A call in progress. */
class ClientCall {
    @Volatile
    internal var channel: Channel? = null

    @Volatile
    internal var cancelled = false

    /** Gives the call up and closes its connection; the listener hears no more. */
    fun cancel() {
        cancelled = true
        channel?.close()
    }

    /** Stops or resumes reading the reply. */
    fun setReading(reading: Boolean) {
        channel?.config()?.isAutoRead = reading
    }
}

/** An HTTP client that keeps connections for reuse. */
class HttpClient(private val group: EventLoopGroup) {
    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<Channel>>()

    /** Sends [request] to [address]. With [fresh] no used connection is taken. */
    fun send(
        address: String,
        request: ClientRequest,
        listener: ReplyListener,
        fresh: Boolean = false,
        call: ClientCall = ClientCall(),
    ): ClientCall {
        val kept = if (fresh) null else takeIdle(address)
        if (kept != null) {
            kept.eventLoop().execute { start(kept, address, request, listener, call) }
            return call
        }
        val connecting = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(HttpClientCodec()).addLast(ClientConnection())
                }
            })
            .connect(socketAddress(address))
        connecting.addListener {
            if (connecting.isSuccess) {
                start(connecting.channel(), address, request, listener, call)
            } else if (!call.cancelled) {
                listener.onFailed(sent = false, cause = connecting.cause().message.orEmpty())
            }
        }
        return call
    }

    /** Sends [request] and gives the whole reply to [done], or a failure after [timeoutMs]. */
    fun fetch(address: String, request: ClientRequest, timeoutMs: Long, done: (FetchOutcome) -> Unit) {
        val once = AtomicBoolean()
        val listener = object : ReplyListener {
            private val lines = ArrayList<String>()
            private var status = 0

            override fun onHead(status: Int) {
                this.status = status
            }

            override fun onLine(line: String) {
                lines += line
            }

            override fun onEnd() {
                val reply = HttpReply(status, lines.joinToString("\n"))
                if (once.compareAndSet(false, true)) done(FetchOutcome.Replied(reply))
            }

            override fun onFailed(sent: Boolean, cause: String) {
                if (once.compareAndSet(false, true)) done(FetchOutcome.Failed(sent, cause))
            }
        }
        val call = send(address, request, listener)
        val timeout = group.schedule({
            if (once.compareAndSet(false, true)) {
                call.cancel()
                done(FetchOutcome.Failed(sent = true, cause = "no reply within $timeoutMs ms"))
            }
        }, timeoutMs, TimeUnit.MILLISECONDS)
        if (once.get()) timeout.cancel(false)
    }

    /** Sends [request] and waits for the whole reply; for commands and tests, never on an event loop. */
    fun fetchBlocking(address: String, request: ClientRequest, timeoutMs: Long = 10_000): FetchOutcome {
        val future = CompletableFuture<FetchOutcome>()
        fetch(address, request, timeoutMs, future::complete)
        return future.get()
    }

    private fun takeIdle(address: String): Channel? {
        val channels = idle[address] ?: return null
        while (true) {
            val channel = channels.pollFirst() ?: return null
            if (channel.isActive) return channel
        }
    }

    private fun start(
        channel: Channel,
        address: String,
        request: ClientRequest,
        listener: ReplyListener,
        call: ClientCall,
    ) {
        call.channel = channel
        if (call.cancelled) {
            channel.close()
            return
        }
        val connection = channel.pipeline().get(ClientConnection::class.java)
        connection.begin(listener, call) { keepIdle(address, channel) }
        channel.writeAndFlush(encode(address, request)).addListener { write ->
            if (!write.isSuccess) channel.close()
        }
        if (!channel.isActive) connection.fail("the connection was closed")
    }

    private fun keepIdle(address: String, channel: Channel) {
        val channels = idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (channels.size >= MAX_IDLE) channel.close() else channels.addFirst(channel)
    }

    private fun encode(address: String, request: ClientRequest): DefaultFullHttpRequest {
        val content: ByteBuf = Unpooled.copiedBuffer(request.body, Charsets.UTF_8)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.path, content)
        message.headers().set(HttpHeaderNames.HOST, address)
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        if (request.body.isNotEmpty()) message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        return message
    }
}

private class ClientConnection : SimpleChannelInboundHandler<HttpObject>() {
    private var listener: ReplyListener? = null
    private var call: ClientCall? = null
    private var release: () -> Unit = {}
    private var keepAlive = true
    private val line = ByteArrayOutputStream()

    fun begin(listener: ReplyListener, call: ClientCall, release: () -> Unit) {
        this.listener = listener
        this.call = call
        this.release = release
        line.reset()
    }

    fun fail(cause: String) {
        val heard = listener ?: return
        listener = null
        if (call?.cancelled != true) heard.onFailed(sent = true, cause = cause)
    }

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ctx.close()
            return
        }
        if (message is HttpResponse) {
            keepAlive = HttpUtil.isKeepAlive(message)
            listener?.onHead(message.status().code())
        }
        if (message is HttpContent) readLines(ctx, message.content())
        if (message is LastHttpContent) end(ctx)
    }

    private fun readLines(ctx: ChannelHandlerContext, content: ByteBuf) {
        while (content.isReadable) {
            val end = content.bytesBefore('\n'.code.toByte())
            val length = if (end < 0) content.readableBytes() else end
            if (line.size() + length > MAX_REPLY_LINE_BYTES) {
                ctx.close()
                return
            }
            content.readBytes(line, length)
            if (end >= 0) {
                content.skipBytes(1)
                endLine()
            }
        }
    }

    private fun endLine() {
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        listener?.onLine(text)
    }

    private fun end(ctx: ChannelHandlerContext) {
        if (line.size() > 0) endLine()
        val heard = listener ?: return
        listener = null
        ctx.channel().config().isAutoRead = true
        if (keepAlive && call?.cancelled != true) release() else ctx.close()
        if (call?.cancelled != true) heard.onEnd()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) = fail("the connection ended before the reply did")

    @Deprecated("Netty still calls it.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}
