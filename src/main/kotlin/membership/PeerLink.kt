/*
 * Network transport between hosts, based on Netty and CBOR. Membership messages are sent as datagrams. Requests to a
 * peer are multiplexed over one TCP connection and matched to replies by number; number 0 marks a message without a
 * reply. A frame consists of a version, a size with an upper limit, and a body; an invalid frame is counted and closes
 * the connection. All I/O runs on one event loop.
 */
package org.sesamerouter.membership

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
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
import org.sesamerouter.web.BudgetAccount
import org.sesamerouter.web.BudgetPart
import org.sesamerouter.web.MemoryBudget
import org.sesamerouter.web.memoryBudgetOfHeap
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.BindException
import java.net.InetSocketAddress
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val NO_REPLY_ID = 0L
private const val MAX_QUEUED_MESSAGES = 32 // while the connection is opened
private const val MAX_FRAME_BYTES = 16 * 1024 * 1024
private const val CONNECT_TIMEOUT_MS = 1_000
private const val BIND_ATTEMPTS = 20

/** Outcome of a request to a peer. */
sealed interface PeerOutcome {
    data class Replied(val reply: PeerReply) : PeerOutcome

    /** No reply arrived; [sent] is false if no part of the request left this host. */
    data class Failed(val sent: Boolean) : PeerOutcome
}

/** Handles messages from peers, on the event loop of the link. */
interface PeerHandler {
    /** Handles a datagram from the address [from]. */
    fun onProbe(message: ProbeMessage, from: String)

    /** Handles a request. [reply] must be called at most once, from any thread. */
    fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit)
}

/** Traffic counts of one link. */
data class LinkCounts(
    val bytesSent: Long,
    val bytesReceived: Long,
    val badFrames: Long,
    val messagesSent: Long,
    val messagesDropped: Long,
)

/**
 * Bounds of what peers send.
 *
 * @property maxFrameBytes bytes of a frame, also once it is decompressed. Decoding takes up to 30 times as much: each
 * byte may be an item of a list.
 * @property budget holds frames that have arrived in part, and replies that peers do not take.
 */
class LinkLimits(val maxFrameBytes: Int, internal val budget: MemoryBudget)

/**
 * Transport of one host.
 *
 * @param shared event loop group to use; if null, the link creates its own.
 */
class PeerLink(
    private val listenAddress: String,
    private val shared: EventLoopGroup? = null,
    private val limits: LinkLimits = LinkLimits(MAX_FRAME_BYTES, memoryBudgetOfHeap()),
) {
    private val logger = LoggerFactory.getLogger(PeerLink::class.java)
    private val group = shared ?: MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val connections = HashMap<String, PeerConnection>()
    private val bytesSent = AtomicLong()
    private val bytesReceived = AtomicLong()
    private val badFrames = AtomicLong()
    private val messagesSent = AtomicLong()
    private val messagesDropped = AtomicLong()
    private lateinit var server: Channel
    private lateinit var datagrams: Channel

    /** The bound listen address, available after [start]. */
    lateinit var address: String
        private set

    /** Starts listening and passes incoming messages to [handler]. */
    fun start(handler: PeerHandler) {
        val ip = listenAddress.substringBeforeLast(':')
        val port = listenAddress.substringAfterLast(':').toInt()
        bindTcpAndUdp(ip, port, handler)
        address = "$ip:${(server.localAddress() as InetSocketAddress).port}"
    }

    /** Returns the traffic counts since startup. */
    fun counts() =
        LinkCounts(bytesSent.get(), bytesReceived.get(), badFrames.get(), messagesSent.get(), messagesDropped.get())

    /** Sends a datagram. The membership protocol tolerates its loss. */
    fun sendProbe(send: OutgoingProbe) {
        val bytes = encodeProbe(send.message)
        messagesSent.incrementAndGet()
        bytesSent.addAndGet(bytes.size.toLong())
        datagrams.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), resolve(send.to))).addListener {
            if (!it.isSuccess) logger.debug("failed to send a datagram to {}", send.to, it.cause())
        }
    }

    /** Sends [request] to the peer at [to] and calls [done] with the outcome within [timeoutMs]. */
    fun request(to: String, request: PeerRequest, timeoutMs: Long, done: (PeerOutcome) -> Unit) {
        try {
            loop.execute { connectionTo(to).exchange(request, timeoutMs, done) }
        } catch (_: RejectedExecutionException) {
            done(PeerOutcome.Failed(sent = false))
        }
    }

    /**
     * Sends [message] to all [peers], without replies. A peer that does not read its connection misses messages; they
     * are counted as dropped.
     */
    fun broadcast(peers: List<String>, message: PeerRequest) {
        try {
            loop.execute {
                val frame = encode(PeerFrame(NO_REPLY_ID, request = message)) ?: return@execute
                peers.forEach { connectionTo(it).send(frame.retainedDuplicate()) }
                frame.release()
            }
        } catch (_: RejectedExecutionException) {
            logger.debug("the event loop was shut down before a message was sent")
        }
    }

    /** Closes the connection to [peer], which was found unresponsive. Its pending requests fail. */
    fun disconnect(peer: String) = loop.execute { connections.remove(peer)?.close() }

    /** Closes all sockets. */
    fun close() {
        if (::server.isInitialized) server.close()
        if (::datagrams.isInitialized) datagrams.close()
        try {
            loop.execute { connections.values.toList().forEach { it.close() } }
        } catch (_: RejectedExecutionException) {
            logger.debug("the event loop was shut down before the link was closed")
        }
        if (shared == null) group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun bindTcpAndUdp(ip: String, port: Int, handler: PeerHandler) {
        var lastFailure: Exception? = null
        repeat(if (port == 0) BIND_ATTEMPTS else 1) {
            val tcp = listen(ip, port, handler)
            try {
                datagrams = listenForDatagrams(ip, (tcp.localAddress() as InetSocketAddress).port, handler)
                server = tcp
                return
            } catch (e: BindException) {
                lastFailure = e
                tcp.close().syncUninterruptibly()
            }
        }
        throw IOException(
            "No port of $ip is available for both TCP and UDP; set listen.peer to another address.",
            lastFailure,
        )
    }

    private fun listen(ip: String, port: Int, handler: PeerHandler): Channel = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val account = BudgetAccount(limits.budget)
                channel.pipeline().addLast(FrameDecoder(account)).addLast(RequestHandler(handler, account))
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

    /** Encodes [frame]; null if peers would close the connection, with all that is in progress on it, for its size. */
    private fun encode(frame: PeerFrame): ByteBuf? {
        val encoded = encodeFrame(frame, limits.maxFrameBytes)
        if (encoded != null) return encoded
        messagesDropped.incrementAndGet()
        val kind = (frame.request ?: frame.reply)?.let { it::class.simpleName }
        logger.warn("a message of the kind {} was not sent: it has over {} bytes", kind, limits.maxFrameBytes)
        return null
    }

    private fun write(channel: Channel, frame: ByteBuf): ChannelFuture {
        messagesSent.incrementAndGet()
        bytesSent.addAndGet(frame.readableBytes().toLong())
        return channel.writeAndFlush(frame)
    }

    /** Decodes frames; the first one that is invalid, or that there is no room for, closes the connection. */
    private inner class FrameDecoder(private val account: BudgetAccount) : ByteToMessageDecoder() {
        private val partial = BudgetPart(account)

        override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
            super.channelRead(ctx, message)
            if (partial.resize(internalBuffer().capacity())) return
            badFrames.incrementAndGet()
            ctx.close()
        }

        override fun handlerRemoved0(ctx: ChannelHandlerContext) = account.close()

        override fun decode(ctx: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
            if (input.readableBytes() < FRAME_HEADER_BYTES) return
            val version = input.getByte(input.readerIndex())
            val size = input.getInt(input.readerIndex() + 1)
            if (version !in FRAME_VERSION..COMPRESSED_FRAME_VERSION || size !in 0..limits.maxFrameBytes) {
                reject(ctx, input)
                return
            }
            if (input.readableBytes() < FRAME_HEADER_BYTES + size) return
            input.skipBytes(FRAME_HEADER_BYTES)
            val bytes = ByteArray(size).also { input.readBytes(it) }
            bytesReceived.addAndGet(size.toLong() + FRAME_HEADER_BYTES)
            val frame = decodeFrame(version, bytes, limits.maxFrameBytes)
            if (frame == null) reject(ctx, input) else out += frame
        }

        private fun reject(ctx: ChannelHandlerContext, input: ByteBuf) {
            badFrames.incrementAndGet()
            input.skipBytes(input.readableBytes())
            ctx.close()
        }
    }

    private inner class RequestHandler(private val handler: PeerHandler, account: BudgetAccount) :
        SimpleChannelInboundHandler<PeerFrame>() {
        private val unwritten = BudgetPart(account)

        override fun channelRead0(ctx: ChannelHandlerContext, frame: PeerFrame) {
            val request = frame.request
            if (request == null) {
                ctx.close()
                return
            }
            if (frame.id == NO_REPLY_ID) {
                handler.onRequest(request) {}
            } else {
                handler.onRequest(request) { reply ->
                    encode(PeerFrame(frame.id, reply = reply))?.let { send(ctx, it) }
                }
            }
        }

        private fun send(ctx: ChannelHandlerContext, reply: ByteBuf) {
            try {
                ctx.executor().execute {
                    val written = write(ctx.channel(), reply)
                    if (!written.isDone) {
                        written.addListener { chargeUnwritten(ctx) }
                        chargeUnwritten(ctx)
                    }
                }
            } catch (_: RejectedExecutionException) {
                reply.release()
                logger.debug("the event loop was shut down before a reply was sent")
            }
        }

        /** Closes the connection of a peer that does not take its replies when there is no room for them. */
        private fun chargeUnwritten(ctx: ChannelHandlerContext) {
            val bytes = ctx.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: return
            if (unwritten.resize(bytes.toInt())) return
            messagesDropped.incrementAndGet()
            ctx.close()
        }

        /** Reads no more requests of a peer that does not take the replies. */
        override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
            ctx.channel().config().isAutoRead = ctx.channel().isWritable
        }

        /** The connection failed. The peer's pending requests have their own timeouts. */
        @Deprecated("Netty still calls it.")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }

    private class PendingRequest(val done: (PeerOutcome) -> Unit, val timeout: java.util.concurrent.Future<*>)

    private inner class PeerConnection(private val peer: String) : SimpleChannelInboundHandler<PeerFrame>() {
        private val pending = HashMap<Long, PendingRequest>()
        private val queuedFrames = ArrayList<ByteBuf>()
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
                        val account = BudgetAccount(limits.budget)
                        channel.pipeline().addLast(FrameDecoder(account)).addLast(this@PeerConnection)
                    }
                })
                .connect(resolve(peer))
            connecting.addListener {
                if (connecting.isSuccess && isOpen) {
                    channel = connecting.channel()
                    queuedFrames.forEach { write(connecting.channel(), it) }
                    queuedFrames.clear()
                } else {
                    connecting.channel().close()
                    close()
                }
            }
        }

        fun exchange(request: PeerRequest, timeoutMs: Long, done: (PeerOutcome) -> Unit) {
            val id = ++sequence
            val frame = encode(PeerFrame(id, request = request))
            if (frame == null) {
                done(PeerOutcome.Failed(sent = false))
                return
            }
            val timeout = loop.schedule({ expire(id) }, timeoutMs, TimeUnit.MILLISECONDS)
            pending[id] = PendingRequest(done, timeout)
            val connected = channel
            if (connected == null) queuedFrames += frame else write(connected, frame)
        }

        fun send(frame: ByteBuf) {
            val connected = channel
            when {
                connected == null && queuedFrames.size < MAX_QUEUED_MESSAGES -> queuedFrames += frame

                connected != null && connected.isWritable -> write(connected, frame)

                else -> {
                    messagesDropped.incrementAndGet()
                    frame.release()
                }
            }
        }

        fun close() {
            if (!isOpen) return
            isOpen = false
            channel?.close()
            queuedFrames.forEach { it.release() }
            queuedFrames.clear()
            val isSent = channel != null
            val failed = pending.values.toList()
            pending.clear()
            failed.forEach {
                it.timeout.cancel(false)
                it.done(PeerOutcome.Failed(isSent))
            }
        }

        private fun expire(id: Long) {
            pending.remove(id)?.done?.invoke(PeerOutcome.Failed(sent = channel != null))
        }

        override fun channelRead0(ctx: ChannelHandlerContext, frame: PeerFrame) {
            val reply = frame.reply ?: return
            val completed = pending.remove(frame.id) ?: return
            completed.timeout.cancel(false)
            completed.done(PeerOutcome.Replied(reply))
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = close()

        @Deprecated("Netty still calls it.")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }
}
