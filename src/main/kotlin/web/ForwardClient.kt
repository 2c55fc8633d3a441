/*
 * The HTTP client that forwards requests to targets and calls the platform, without changing bodies. [ConnectionCalls]
 * decides whose a response is. The client distinguishes complete responses from truncated ones, and reports whether a
 * failed request certainly never left this host or may have been received. An id names a request and not one send of
 * it, so a request that is sent again uses connections that it was not on. All calls and callbacks run on one event
 * loop. Bytes that belong to no response are bounded by [ResponseByteLimit].
 */
package org.sesamerouter.web

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequestEncoder
import jdk.net.ExtendedSocketOptions
import org.sesamerouter.clock.Clock
import java.net.ConnectException
import java.util.concurrent.TimeUnit

private const val CONNECT_TIMEOUT_MS = 700 // a healthy target accepts within a few ms
private const val IDLE_TIMEOUT_MS = 20_000L
private const val IDLE_TIMEOUT_MARGIN_MS = 400L // connections this close to the announced timeout are not reused
private const val IDLE_CHECK_MS = 1_000L
private const val KEEP_ALIVE_IDLE_S = 1
private const val KEEP_ALIVE_INTERVAL_S = 1
private const val KEEP_ALIVE_PROBES = 2

/**
 * A request to forward.
 *
 * @property responseId the id that the response has to carry; null if responses carry no id.
 * @property expiresAtMs time after which the request is not sent any more, for example when connecting took too long.
 * @property usedConnections the connections of all sends of this request; null if it is sent once only.
 * @property sharing which calls its connection may carry besides.
 */
class OutgoingRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val responseId: ResponseId? = null,
    val expiresAtMs: Long = Long.MAX_VALUE,
    val usedConnections: UsedConnections? = null,
    val sharing: ConnectionSharing = if (responseId != null) ConnectionSharing.SHARED else ConnectionSharing.NONE,
)

/** With which other calls a call may share a connection: whose an answer is has to show on all that follow it. */
enum class ConnectionSharing {
    /** With calls whose answers bear ids. Without an id, its listener has to confirm that the answer was its own. */
    SHARED,

    /** With calls whose answers tell nothing that anyone relies on. */
    UNREAD,

    /** With calls to a server that answers each call once, in order. */
    IN_ORDER,

    /** With none. */
    NONE,
}

/**
 * The connections that a request was sent on. A second copy of a response that came on one of them may follow there and
 * bears the id of the request, so the request is not sent on it again. Must be used on the event loop.
 */
class UsedConnections {
    private val connections = ArrayList<ForwardConnection>(1)

    internal operator fun contains(connection: ForwardConnection) = connection in connections

    internal fun add(connection: ForwardConnection) {
        connections += connection
    }
}

/** The header and value that match a response with its request. */
data class ResponseId(val header: String, val value: String)

/** How far a failed call came. */
enum class CallProgress {
    /** The call was not made, for a reason that lies with this host. */
    NOT_ATTEMPTED,

    /** The target could not be reached and has received nothing. */
    UNREACHABLE,

    /** The target may have received the request. */
    SENT,
}

/** Why a call ended without a complete response: [reason] in short, [cause] in words. */
data class CallFailure(val progress: CallProgress, val cause: String, val reason: BreakReason = BreakReason.LOCAL)

/** Receives a response, on the event loop. */
interface ResponseListener {
    /** The head was received; [framing] tells how the end of the body is marked. */
    fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming)

    /** A part of the body was received; [content] is released after this function returns. */
    fun onBody(content: ByteBuf)

    /** The response is complete. */
    fun onEnd()

    /** The call failed without a complete response. */
    fun onFailed(failure: CallFailure)
}

/** A call in progress. */
class ForwardCall internal constructor(private val loop: EventLoop) {
    internal var connection: ForwardConnection? = null
    internal var isCancelled = false

    /** Whether its connection has carried another call before. */
    var isOnKeptConnection = false
        internal set

    /** Cancels the call and closes its connection; the listener is not called any more. */
    fun cancel() {
        if (loop.inEventLoop()) cancelNow() else loop.execute(::cancelNow)
    }

    internal var isConfirmed = false

    /**
     * Says, before [ResponseListener.onEnd] returns, that the answer without an id is shown to be that of this call by
     * what it holds. Without it, its connection is closed.
     */
    fun confirmOwnAnswer() {
        isConfirmed = true
    }

    /** Pauses or resumes reading the response. */
    fun setReading(reading: Boolean) {
        connection?.channel?.config()?.isAutoRead = reading
    }

    private fun cancelNow() {
        isCancelled = true
        connection?.closeSilently()
    }
}

/** What a connection needs of its client. */
internal interface ConnectionOwner {
    val clock: Clock
    val unusedAnswers: UnusedAnswers

    /** Takes back [connection], which may carry the next call. */
    fun returnToPool(connection: ForwardConnection)

    fun onConnectionClosed(connection: ForwardConnection)
}

/** Sets up [channel] as a connection to [address]; [rule] decides whose an answer is. */
internal fun forwardConnection(
    channel: Channel,
    address: String,
    owner: ConnectionOwner,
    rule: OwnerRule = OwnerById,
    budget: MemoryBudget = memoryBudgetOfHeap(),
): ForwardConnection {
    val inputEnd = InputEnd()
    val byteLimit = ResponseByteLimit()
    val calls = ConnectionCalls(rule)
    val decoder = AnswerDecoder(calls, BudgetAccount(budget))
    val connection = ForwardConnection(channel, address, owner, inputEnd, byteLimit, calls, decoder)
    channel.pipeline()
        .addLast(inputEnd)
        .addLast(byteLimit)
        .addLast(HttpRequestEncoder())
        .addLast(decoder)
        .addLast(BodyPartJoiner())
        .addLast(connection)
    return connection
}

/** The connections to one address. */
private class ConnectionPool {
    val idle = ArrayDeque<ForwardConnection>() // of all kinds of sharing
    var open = 0
}

/**
 * An HTTP client that reuses connections; [unusedAnswers] is told of answers that end no call. An answer whose head has
 * no room in [budget] is broken off.
 */
class ForwardClient(
    private val loop: EventLoop,
    private val clock: Clock,
    private val budget: MemoryBudget = memoryBudgetOfHeap(),
    private val unusedAnswers: UnusedAnswers = UnusedAnswers { },
) {
    private val pools = HashMap<String, ConnectionPool>()

    /** Number of connections opened so far. */
    var openedConnections = 0L
        private set

    private val owner = object : ConnectionOwner {
        override val clock get() = this@ForwardClient.clock
        override val unusedAnswers get() = this@ForwardClient.unusedAnswers

        override fun returnToPool(connection: ForwardConnection) {
            poolOf(connection.address).idle.addLast(connection)
        }

        override fun onConnectionClosed(connection: ForwardConnection) {
            val pool = poolOf(connection.address)
            pool.open--
            pool.idle.remove(connection)
        }
    }

    init {
        loop.scheduleAtFixedRate(::closeIdleConnections, IDLE_CHECK_MS, IDLE_CHECK_MS, TimeUnit.MILLISECONDS)
    }

    /** Sends [request] to [address] on a pooled or a new connection; an address has at most [maxConnections]. */
    fun send(
        address: String,
        request: OutgoingRequest,
        listener: ResponseListener,
        maxConnections: Int = Int.MAX_VALUE,
    ): ForwardCall {
        val call = ForwardCall(loop)
        val pooled = takeIdle(address, request)
        when {
            pooled != null -> pooled.start(request, listener, call)

            poolOf(address).open >= maxConnections && !closeIdle(address) ->
                listener.onFailed(CallFailure(CallProgress.NOT_ATTEMPTED, "connection limit of $address"))

            else -> open(address, request, listener, call)
        }
        return call
    }

    private fun open(address: String, request: OutgoingRequest, listener: ResponseListener, call: ForwardCall) {
        val pool = poolOf(address)
        pool.open++
        openedConnections++
        val connecting = Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .reportInputEnd()
            .option(ChannelOption.AUTO_CLOSE, false) // a response may have arrived when a write fails
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    forwardConnection(channel, address, owner, budget = budget)
                }
            })
            .connect(socketAddress(address))
        connecting.addListener {
            when {
                connecting.isSuccess && call.isCancelled -> connecting.channel().close()

                connecting.isSuccess && clock.nowMs() >= request.expiresAtMs -> {
                    connecting.channel().close()
                    listener.onFailed(CallFailure(CallProgress.NOT_ATTEMPTED, "expired while connecting"))
                }

                connecting.isSuccess -> connectionOf(connecting.channel()).start(request, listener, call)

                else -> {
                    pool.open--
                    if (!call.isCancelled) listener.onFailed(unreachable(connecting.cause()))
                }
            }
        }
    }

    private fun unreachable(cause: Throwable): CallFailure {
        val reason = when (cause) {
            is ConnectTimeoutException -> BreakReason.SILENT
            is ConnectException -> BreakReason.REFUSED
            else -> BreakReason.LOCAL
        }
        return CallFailure(CallProgress.UNREACHABLE, cause.message.orEmpty(), reason)
    }

    private fun connectionOf(channel: Channel) = channel.pipeline().get(ForwardConnection::class.java)

    private fun takeIdle(address: String, request: OutgoingRequest): ForwardConnection? {
        val idle = pools[address]?.idle ?: return null
        for (i in idle.indices.reversed()) {
            val connection = idle[i]
            val isReusable = connection.isReusable(clock.nowMs())
            if (isReusable && !connection.mayCarry(request)) continue
            idle.removeAt(i)
            if (isReusable) return connection
            connection.channel.close()
        }
        return null
    }

    /** Closes an idle connection to [address] to make room for a new one; returns whether there was any. */
    private fun closeIdle(address: String): Boolean {
        val connection = poolOf(address).idle.removeFirstOrNull() ?: return false
        connection.channel.close()
        return true
    }

    private fun poolOf(address: String) = pools.getOrPut(address) { ConnectionPool() }

    private fun closeIdleConnections() {
        val now = clock.nowMs()
        pools.values.flatMap { it.idle }.filterNot { it.isReusable(now) }.forEach { it.channel.close() }
        pools.values.removeIf { it.open == 0 && it.idle.isEmpty() }
    }

    internal companion object {
        /** Returns how long a pooled connection may be idle, given the timeout that its target announced. */
        fun idleTimeoutMs(announcedSeconds: Long?): Long =
            minOf(IDLE_TIMEOUT_MS, announcedSeconds?.let { it * 1_000 - IDLE_TIMEOUT_MARGIN_MS } ?: IDLE_TIMEOUT_MS)
    }
}
