/*
 * The network between hosts: Netty with CBOR. Datagrams carry membership; one TCP connection to each peer carries
 * requests, told apart by number. A frame has a version, a bounded size and a body; anything else closes the connection
 * and is counted. All of it happens on one event loop.
 */
package org.sesamerouter.membership

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioDatagramChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.ByteToMessageDecoder
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.BindException
import java.net.InetSocketAddress
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val FRAME_VERSION: Byte = 1
private const val FRAME_HEADER_BYTES = 5
private const val MAX_FRAME_BYTES = 16 * 1024 * 1024
private const val CONNECT_TIMEOUT_MS = 1_000
private const val BIND_ATTEMPTS = 20

/** How a request to a peer ended. */
sealed interface PeerOutcome {
    data class Replied(val reply: PeerReply) : PeerOutcome

    /** No reply came; [sent] is false when nothing of the request left this host. */
    data class Failed(val sent: Boolean) : PeerOutcome
}

/** Takes in what comes from peers, on the event loop of the link. */
interface PeerHandler {
    /** A datagram came. */
    fun onProbe(message: ProbeMessage, from: String)

    /** A request came; [reply] may be called from any thread, once. */
    fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit)
}

/** Bytes and frames of one link. */
data class LinkCounts(val bytesSent: Long, val bytesReceived: Long, val badFrames: Long)

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    ignoreUnknownKeys = true
    preferCborLabelsOverNames = true
}

/** Returns the bytes of [message]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeProbe(message: ProbeMessage): ByteArray = cbor.encodeToByteArray(ProbeMessage.serializer(), message)

@OptIn(ExperimentalSerializationApi::class)
internal fun decodeProbe(bytes: ByteArray): ProbeMessage? = decodeOrNull {
    cbor.decodeFromByteArray(ProbeMessage.serializer(), bytes)
}

/** Decodes untrusted bytes: whatever the codec throws on them means that they are no message of ours. */
private fun <T> decodeOrNull(decode: () -> T): T? = try {
    decode()
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
} catch (_: IllegalStateException) {
    null
} catch (_: IndexOutOfBoundsException) {
    null
} catch (_: IOException) {
    null
}

/**
 * The link of one host.
 *
 * @param shared event loop to use; without one the link runs its own.
 */
class PeerLink(private val listenAddress: String, private val shared: EventLoopGroup? = null) {
    private val logger = LoggerFactory.getLogger(PeerLink::class.java)
    private val group = shared ?: MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val connections = HashMap<String, PeerConnection>()
    private val bytesSent = AtomicLong()
    private val bytesReceived = AtomicLong()
    private val badFrames = AtomicLong()
    private lateinit var server: Channel
    private lateinit var datagrams: Channel

    /** The address that the system gave, once started. */
    lateinit var address: String
        private set

    /** Listens and gives what comes to [handler]. */
    fun start(handler: PeerHandler) {
        val ip = listenAddress.substringBeforeLast(':')
        val port = listenAddress.substringAfterLast(':').toInt()
        bindBoth(ip, port, handler)
        address = "$ip:${(server.localAddress() as InetSocketAddress).port}"
    }

    /** Returns the counts so far. */
    fun counts() = LinkCounts(bytesSent.get(), bytesReceived.get(), badFrames.get())

    /** Sends a datagram; loss is part of the protocol. */
    fun sendProbe(send: ProbeSend) {
        val bytes = encodeProbe(send.message)
        bytesSent.addAndGet(bytes.size.toLong())
        datagrams.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), resolve(send.to))).addListener {
            if (!it.isSuccess) logger.debug("a datagram to {} was not sent", send.to, it.cause())
        }
    }

    /** Sends [request] to the peer at [to] and gives the outcome to [done] within [timeoutMs]. */
    fun request(to: String, request: PeerRequest, timeoutMs: Long, done: (PeerOutcome) -> Unit) {
        try {
            loop.execute { connectionTo(to).exchange(request, timeoutMs, done) }
        } catch (_: RejectedExecutionException) {
            done(PeerOutcome.Failed(sent = false))
        }
    }

    /** Closes the connection to [peer], whose silence was noticed; requests that wait for it fail. */
    fun drop(peer: String) = loop.execute { connections.remove(peer)?.close() }

    /** Closes every socket. */
    fun close() {
        if (::server.isInitialized) server.close()
        if (::datagrams.isInitialized) datagrams.close()
        try {
            loop.execute { connections.values.toList().forEach { it.close() } }
        } catch (_: RejectedExecutionException) {
            logger.debug("the event loop was closed before the link")
        }
        if (shared == null) group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun bindBoth(ip: String, port: Int, handler: PeerHandler) {
        var last: Exception? = null
        repeat(if (port == 0) BIND_ATTEMPTS else 1) {
            val tcp = listen(ip, port, handler)
            try {
                datagrams = listenForDatagrams(ip, (tcp.localAddress() as InetSocketAddress).port, handler)
                server = tcp
                return
            } catch (e: BindException) {
                last = e
                tcp.close().syncUninterruptibly()
            }
        }
        throw IOException("No port of $ip is free for TCP and UDP; set listen.peer to another address.", last)
    }

    private fun listen(ip: String, port: Int, handler: PeerHandler): Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(FrameDecoder()).addLast(RequestHandler(handler))
            }
        })
        .bind(InetSocketAddress(ip, port))
        .syncUninterruptibly()
        .channel()

    private fun listenForDatagrams(ip: String, port: Int, handler: PeerHandler): Channel = Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel::class.java)
        .handler(object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) = onDatagram(packet, handler)
        })
        .bind(InetSocketAddress(ip, port))
        .syncUninterruptibly()
        .channel()

    private fun onDatagram(packet: DatagramPacket, handler: PeerHandler) {
        val bytes = ByteArray(packet.content().readableBytes()).also { packet.content().readBytes(it) }
        bytesReceived.addAndGet(bytes.size.toLong())
        val message = decodeProbe(bytes)
        if (message == null) {
            badFrames.incrementAndGet()
        } else {
            val from = packet.sender()
            handler.onProbe(message, "${from.address.hostAddress}:${from.port}")
        }
    }

    private fun connectionTo(peer: String): PeerConnection {
        connections[peer]?.let { if (it.isOpen) return it }
        return PeerConnection(peer).also {
            connections[peer] = it
            it.connect()
        }
    }

    private fun resolve(address: String) =
        InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

    @OptIn(ExperimentalSerializationApi::class)
    private fun encode(frame: PeerFrame): ByteBuf {
        val bytes = cbor.encodeToByteArray(PeerFrame.serializer(), frame)
        bytesSent.addAndGet(bytes.size.toLong() + FRAME_HEADER_BYTES)
        val head = Unpooled.buffer(FRAME_HEADER_BYTES).writeByte(FRAME_VERSION.toInt()).writeInt(bytes.size)
        return Unpooled.wrappedBuffer(head, Unpooled.wrappedBuffer(bytes))
    }

    /** Turns bytes into frames; the first that is none closes the connection. */
    private inner class FrameDecoder : ByteToMessageDecoder() {
        @OptIn(ExperimentalSerializationApi::class)
        override fun decode(ctx: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
            if (input.readableBytes() < FRAME_HEADER_BYTES) return
            val version = input.getByte(input.readerIndex())
            val size = input.getInt(input.readerIndex() + 1)
            if (version != FRAME_VERSION || size !in 0..MAX_FRAME_BYTES) {
                reject(ctx, input)
                return
            }
            if (input.readableBytes() < FRAME_HEADER_BYTES + size) return
            input.skipBytes(FRAME_HEADER_BYTES)
            val bytes = ByteArray(size).also { input.readBytes(it) }
            bytesReceived.addAndGet(size.toLong() + FRAME_HEADER_BYTES)
            val frame = decodeOrNull { cbor.decodeFromByteArray(PeerFrame.serializer(), bytes) }
            if (frame == null) reject(ctx, input) else out += frame
        }

        private fun reject(ctx: ChannelHandlerContext, input: ByteBuf) {
            badFrames.incrementAndGet()
            input.skipBytes(input.readableBytes())
            ctx.close()
        }
    }

    private inner class RequestHandler(private val handler: PeerHandler) : SimpleChannelInboundHandler<PeerFrame>() {
        override fun channelRead0(ctx: ChannelHandlerContext, frame: PeerFrame) {
            val request = frame.request
            if (request == null) {
                ctx.close()
                return
            }
            handler.onRequest(request) { reply -> ctx.writeAndFlush(encode(PeerFrame(frame.id, reply = reply))) }
        }

        /** The peer is gone; whoever waits for its replies has its own timeout. */
        @Deprecated("Netty still calls it.")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }

    private class Waiting(val done: (PeerOutcome) -> Unit, val timeout: java.util.concurrent.Future<*>)

    private inner class PeerConnection(private val peer: String) : SimpleChannelInboundHandler<PeerFrame>() {
        private val waiting = HashMap<Long, Waiting>()
        private val unsent = ArrayList<PeerFrame>()
        private var channel: Channel? = null
        private var sequence = 0L

        var isOpen = true
            private set

        fun connect() {
            val connecting = Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(FrameDecoder()).addLast(this@PeerConnection)
                    }
                })
                .connect(resolve(peer))
            connecting.addListener {
                if (connecting.isSuccess && isOpen) {
                    channel = connecting.channel()
                    unsent.forEach { connecting.channel().writeAndFlush(encode(it)) }
                    unsent.clear()
                } else {
                    connecting.channel().close()
                    close()
                }
            }
        }

        fun exchange(request: PeerRequest, timeoutMs: Long, done: (PeerOutcome) -> Unit) {
            val id = ++sequence
            val timeout = loop.schedule({ expire(id) }, timeoutMs, TimeUnit.MILLISECONDS)
            waiting[id] = Waiting(done, timeout)
            val frame = PeerFrame(id, request = request)
            val open = channel
            if (open == null) unsent += frame else open.writeAndFlush(encode(frame))
        }

        fun close() {
            if (!isOpen) return
            isOpen = false
            channel?.close()
            val isSent = channel != null
            val left = waiting.values.toList()
            waiting.clear()
            left.forEach {
                it.timeout.cancel(false)
                it.done(PeerOutcome.Failed(isSent))
            }
        }

        private fun expire(id: Long) {
            waiting.remove(id)?.done?.invoke(PeerOutcome.Failed(sent = channel != null))
        }

        override fun channelRead0(ctx: ChannelHandlerContext, frame: PeerFrame) {
            val reply = frame.reply ?: return
            val waited = waiting.remove(frame.id) ?: return
            waited.timeout.cancel(false)
            waited.done(PeerOutcome.Replied(reply))
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = close()

        @Deprecated("Netty still calls it.")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }
}
