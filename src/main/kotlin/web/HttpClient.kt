/*
 * The HTTP client for targets and the platform, based on Netty. It reports whether a failed request certainly never
 * left this host or may have been received, since only requests of the former kind may be retried.
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
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

private const val CONNECT_TIMEOUT_MS = 1_000
private const val MAX_IDLE_CONNECTIONS = 64
private const val MAX_REPLY_LINE_BYTES = 16 * 1024 * 1024

/** An HTTP request. */
data class ClientRequest(val method: String, val path: String, val body: String = "")

/** Receives a reply, on an event loop, one callback at a time. */
interface ReplyListener {
    /** The head was received. */
    fun onHead(status: Int) = Unit

    /** A line of the body was received; [line] does not include the line terminator. */
    fun onLine(line: String)

    /** The reply is complete. */
    fun onEnd()

    /** The call failed before the reply was complete; [sent] is false if the server cannot have received anything. */
    fun onFailed(sent: Boolean, cause: String)
}

/** A complete reply. */
data class HttpReply(val status: Int, val body: String)

/** The outcome of [HttpClient.fetch]. */
sealed interface FetchOutcome {
    data class Replied(val reply: HttpReply) : FetchOutcome

    /** No complete reply was received; [sent] is false if the server cannot have received anything. */
    data class Failed(val sent: Boolean, val cause: String) : FetchOutcome
}

/** A call in progress. */
class ClientCall {
    @Volatile
    internal var channel: Channel? = null

    @Volatile
    internal var cancelled = false

    /** Cancels the call and closes its connection; the listener is not called any more. */
    fun cancel() {
        cancelled = true
        channel?.close()
    }

    /** Pauses or resumes reading the reply. */
    fun setReading(reading: Boolean) {
        channel?.config()?.isAutoRead = reading
    }
}

/** An HTTP client that reuses connections. A reply whose head has no room in [budget] fails. */
class HttpClient(private val group: EventLoopGroup, private val budget: MemoryBudget = memoryBudgetOfHeap()) {
    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<Channel>>()

    /** Sends [request] to [address]; if [fresh], on a new connection. */
    fun send(
        address: String,
        request: ClientRequest,
        listener: ReplyListener,
        fresh: Boolean = false,
        call: ClientCall = ClientCall(),
    ): ClientCall {
        val pooled = if (fresh) null else takeIdle(address)
        if (pooled != null) {
            pooled.eventLoop().execute { start(pooled, address, request, listener, call) }
            return call
        }
        val connecting = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .reportInputEnd()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    val inputEnd = InputEnd()
                    val calls = ConnectionCalls()
                    val decoder = AnswerDecoder(calls, BudgetAccount(budget))
                    channel.pipeline()
                        .addLast(inputEnd)
                        .addLast(HttpRequestEncoder())
                        .addLast(decoder)
                        .addLast(ClientConnection(inputEnd, calls, decoder))
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

    /** Sends [request] and passes the complete reply to [done], or a failure after at most [timeoutMs]. */
    fun fetch(address: String, request: ClientRequest, timeoutMs: Long, done: (FetchOutcome) -> Unit) {
        val isCompleted = AtomicBoolean()
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
                if (isCompleted.compareAndSet(false, true)) done(FetchOutcome.Replied(reply))
            }

            override fun onFailed(sent: Boolean, cause: String) {
                if (isCompleted.compareAndSet(false, true)) done(FetchOutcome.Failed(sent, cause))
            }
        }
        val call = send(address, request, listener)
        val timeout = group.schedule({
            if (isCompleted.compareAndSet(false, true)) {
                call.cancel()
                done(FetchOutcome.Failed(sent = true, cause = "no reply within $timeoutMs ms"))
            }
        }, timeoutMs, TimeUnit.MILLISECONDS)
        if (isCompleted.get()) timeout.cancel(false)
    }

    /** Sends [request] and waits for the reply. For commands and tests; must not be called on an event loop. */
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
        connection.begin(HttpMethod.valueOf(request.method), listener, call) { returnToPool(address, channel) }
        channel.writeAndFlush(encode(address, request)).addListener { write ->
            if (write.isSuccess) connection.isRequestWritten = true
            if (!write.isSuccess) connection.breakOff("request not written: ${write.cause().message}")
        }
        if (!channel.isActive) connection.fail("connection already closed")
    }

    private fun returnToPool(address: String, channel: Channel) {
        val channels = idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (channels.size >= MAX_IDLE_CONNECTIONS) channel.close() else channels.addFirst(channel)
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

private class ClientConnection(
    private val inputEnd: InputEnd,
    private val calls: ConnectionCalls,
    private val decoder: AnswerDecoder,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val logger = LoggerFactory.getLogger(HttpClient::class.java)
    private var listener: ReplyListener? = null

    /** The listener of a call whose reply is complete, until the data that was read with it is decoded. */
    private var ended: ReplyListener? = null
    private var isInterim = false
    private var isSuccess = false

    /** Whether all of the request was written. */
    var isRequestWritten = false
    private var framing = BodyFraming.LENGTH

    /** What failed before the end of the connection; null if nothing did. */
    private var breakCause: String? = null
    private lateinit var channel: Channel
    private var call: ClientCall? = null
    private var onReusable: () -> Unit = {}
    private var keepAlive = true
    private val line = ByteArrayOutputStream()

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    fun begin(method: HttpMethod, listener: ReplyListener, call: ClientCall, onReusable: () -> Unit) {
        calls.begin(ConnectionCall(id = null, method))
        this.listener = listener
        this.call = call
        this.onReusable = onReusable
        isRequestWritten = false
        line.reset()
    }

    fun fail(cause: String) {
        val activeListener = listener ?: return
        listener = null
        if (call?.cancelled != true) activeListener.onFailed(sent = true, cause = cause)
    }

    /** Closes the connection; the call fails for the reason [cause]. */
    fun breakOff(cause: String) {
        if (breakCause == null) breakCause = cause
        channel.close()
    }

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (breakCause != null) return
        if (message.decoderResult().isFailure) {
            breakOff("invalid reply: ${message.decoderResult().cause().message}")
            return
        }
        if (message is HttpResponse) onHead(message)
        if (listener == null || breakCause != null) return
        if (message is HttpContent && !isInterim) readLines(message.content())
        if (message is LastHttpContent) onLast()
    }

    private fun onHead(response: HttpResponse) {
        when (calls.ownerOf(response)) {
            AnswerOwner.WAITING -> {
                framing = framingOf(response, checkNotNull(calls.waiting).method)
                isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS
                keepAlive = HttpUtil.isKeepAlive(response)
                listener?.onHead(response.status().code())
            }

            AnswerOwner.INTERIM -> isInterim = true

            AnswerOwner.OTHER, AnswerOwner.NONE -> breakOff("a reply to no call, status ${response.status().code()}")

            AnswerOwner.UNASKED -> onUnasked()
        }
    }

    /** Closes a connection that received data outside a call: it belongs to none, and more of it may follow. */
    private fun onUnasked() {
        logger.warn("data without a call from {}", channel.remoteAddress())
        breakOff("data without a call")
    }

    private fun onLast() {
        if (isInterim) {
            isInterim = false
        } else if (isComplete()) {
            if (line.size() > 0) endLine()
            ended = listener
            listener = null
            calls.end()
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (listener == null && decoder.hasPartOfMessage && breakCause == null) onUnasked()
        end()
        super.channelReadComplete(ctx)
    }

    /** A server that ends a success without having read its request resets the connection next. */
    private fun isComplete() = breakCause == null &&
        (framing != BodyFraming.CONNECTION_END || (inputEnd.isReached && (isRequestWritten || !isSuccess)))

    private fun readLines(content: ByteBuf) {
        while (content.isReadable) {
            val end = content.bytesBefore('\n'.code.toByte())
            val length = if (end < 0) content.readableBytes() else end
            if (line.size() + length > MAX_REPLY_LINE_BYTES) {
                breakOff("a line of over $MAX_REPLY_LINE_BYTES bytes")
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

    /** Ends the call whose reply is complete. */
    private fun end() {
        val endedListener = ended ?: return
        ended = null
        decoder.releaseHead()
        channel.config().isAutoRead = true
        val isCancelled = call?.cancelled == true
        val isKept = keepAlive && calls.mayFollow && isRequestWritten
        val isReusable = isKept && breakCause == null && !inputEnd.isReached && channel.isActive
        if (isReusable && !isCancelled) onReusable() else channel.close()
        if (!isCancelled) endedListener.onEnd()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        end()
        fail(breakCause ?: "connection closed before the reply was complete")
    }

    /** Closes the connection at the end of its input, which the decoder has handled by now. */
    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) return
        end()
        ctx.close()
    }

    @Deprecated("Netty still calls this function.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = breakOff("connection broken: $cause")
}
