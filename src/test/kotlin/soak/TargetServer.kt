/*
 * The server of a target of a soak. It serves one request at a time on a connection and writes the bytes that it is
 * given, also ones that are no answer. A second copy of an answer comes late, where the next answer on its connection
 * is due.
 */
package org.sesamerouter.soak

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestDecoder
import org.sesamerouter.clock.Clock
import org.sesamerouter.web.BodyFraming
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val MAX_BODY_BYTES = 1_000_000
private const val BACKLOG = 1_024
private const val HEX = 16

/**
 * A second copy of an answer.
 *
 * @property lateAnswers number of answers on the same connection between the two copies.
 * @property lateMs least time between the two copies.
 * @property isForCall whether it is sent only while a request waits on the connection.
 */
internal data class LateCopy(val lateAnswers: Int, val lateMs: Long, val isForCall: Boolean)

/** A request at a target and its answer; used on the event loop of the connection. */
internal class TargetCall(request: FullHttpRequest, private val connection: TargetConnection) {
    val uri: String = request.uri()
    val body: String = request.content().toString(Charsets.UTF_8)
    private val headers = request.headers().copy()
    private val bytes = StringBuilder()
    private var framing = BodyFraming.LENGTH

    /** Called if the caller closes the connection before the answer is complete. */
    var onClosed: () -> Unit = {}

    /** The copy that follows the answer; null if none does. */
    var copy: LateCopy? = null

    /** The status of the answer; null if none has been started. */
    var status: Int? = null
        private set

    fun header(name: String): String? = headers.get(name)

    /** Starts an answer with [status] and [headers]; its body has [length] bytes, or ends as [framing] says. */
    fun start(status: Int, headers: Map<String, String>, framing: BodyFraming, length: Int = 0) {
        this.status = status
        this.framing = framing
        val ofBody = when (framing) {
            BodyFraming.LENGTH -> "Content-Length: $length"
            BodyFraming.CHUNKS -> "Transfer-Encoding: chunked"
            BodyFraming.CONNECTION_END -> "Connection: close"
        }
        val lines = listOf("HTTP/1.1 $status X") + headers.map { (name, value) -> "$name: $value" } + ofBody
        writeRaw(lines.joinToString("\r\n", postfix = "\r\n\r\n"))
    }

    /** Writes a part of the body. */
    fun write(text: String) {
        if (text.isEmpty()) return
        writeRaw(if (framing == BodyFraming.CHUNKS) "${text.length.toString(HEX)}\r\n$text\r\n" else text)
    }

    /** Writes [text] as it is. */
    fun writeRaw(text: String) {
        bytes.append(text)
        connection.write(this, text)
    }

    /** Ends the answer in order. */
    fun end() {
        if (framing == BodyFraming.CHUNKS) writeRaw("0\r\n\r\n")
        val isKept = framing != BodyFraming.CONNECTION_END
        connection.onAnswered(this, isKept, copy?.takeIf { isKept }, bytes.toString())
    }

    /** Sends a whole answer. */
    fun answer(status: Int, headers: Map<String, String> = emptyMap(), body: String = "") {
        start(status, headers, BodyFraming.LENGTH, body.length)
        write(body)
        end()
    }

    /** Sends [text] after the answer, to which it does not belong. */
    fun sendSurplus(text: String) = connection.write(text)

    /** Closes the connection; an answer that ends with its connection is reset. */
    fun abort() = connection.close(isReset = framing == BodyFraming.CONNECTION_END)
}

internal class TargetConnection(
    private val channel: SocketChannel,
    private val clock: Clock,
    private val onCopy: () -> Unit,
    private val handler: (TargetCall) -> Unit,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private class Pending(val afterAnswers: Int, val dueMs: Long, val isForCall: Boolean, val bytes: String)

    private val pending = ArrayList<Pending>()
    private var current: TargetCall? = null
    private var isAnswering = false
    private var answers = 0

    override fun channelRead0(ctx: ChannelHandlerContext, message: FullHttpRequest) {
        check(current == null) { "a second request before the answer to the first" }
        val call = TargetCall(message, this)
        current = call
        writeCopies()
        handler(call)
    }

    private fun writeCopies() {
        if (isAnswering) return
        val now = clock.nowMs()
        val due = pending.filter {
            it.afterAnswers <= answers && it.dueMs <= now && (current != null || !it.isForCall)
        }
        pending -= due.toSet()
        due.forEach { copy ->
            onCopy()
            write(copy.bytes)
        }
    }

    fun write(call: TargetCall, text: String) {
        if (call !== current) return
        writeCopies()
        isAnswering = true
        write(text)
    }

    fun write(text: String) {
        channel.writeAndFlush(Unpooled.copiedBuffer(text, Charsets.UTF_8))
    }

    fun onAnswered(call: TargetCall, isKept: Boolean, copy: LateCopy?, bytes: String) {
        if (call !== current) return
        current = null
        isAnswering = false
        answers++
        if (!isKept) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            return
        }
        if (copy != null) {
            pending += Pending(answers + copy.lateAnswers, clock.nowMs() + copy.lateMs, copy.isForCall, bytes)
            channel.eventLoop().schedule(::writeCopies, copy.lateMs, TimeUnit.MILLISECONDS)
        }
        writeCopies()
    }

    fun close(isReset: Boolean = false) {
        current = null
        if (isReset && channel.isOpen) channel.config().soLinger = 0
        channel.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        current?.onClosed?.invoke()
        current = null
    }

    @Deprecated("Netty still calls this function.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        channel.close() // the host has reset the connection
    }
}

/** A server that gives each request to [handler], and calls [onCopy] for each second copy of an answer. */
internal class TargetServer(group: EventLoopGroup, clock: Clock, onCopy: () -> Unit, handler: (TargetCall) -> Unit) :
    AutoCloseable {
    private val connections = LinkedHashSet<TargetConnection>() // used on the one event loop alone
    private val listening: Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val connection = TargetConnection(channel, clock, onCopy, handler)
                connections += connection
                channel.closeFuture().addListener { connections -= connection }
                channel.pipeline().addLast(HttpRequestDecoder(), HttpObjectAggregator(MAX_BODY_BYTES), connection)
            }
        })
        .bind(InetAddress.getLoopbackAddress(), 0)
        .syncUninterruptibly()
        .channel()

    val address = "127.0.0.1:${(listening.localAddress() as InetSocketAddress).port}"

    /** Stops listening and closes all connections; called on the event loop. */
    override fun close() {
        listening.close()
        connections.toList().forEach { it.close() }
    }
}
