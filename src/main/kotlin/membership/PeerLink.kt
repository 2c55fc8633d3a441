/*
 * The network between hosts: Ktor sockets with CBOR. Datagrams carry membership; one TCP connection to each peer
 * carries requests, told apart by number. A frame has a version, a bounded size and a body; anything else closes the
 * connection and is counted.
 */
package org.sesamerouter.membership

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByte
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByte
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong

private const val FRAME_VERSION: Byte = 1
private const val MAX_FRAME_BYTES = 16 * 1024 * 1024
private const val CONNECT_TIMEOUT_MS = 1_000L

/** How a request to a peer ended. */
sealed interface PeerOutcome {
    data class Replied(val reply: PeerReply) : PeerOutcome

    /** No reply came; [sent] is false when nothing of the request left this host. */
    data class Failed(val sent: Boolean) : PeerOutcome
}

/** Takes in what comes from peers, on a thread of the link. */
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

/** The link of one host. */
class PeerLink(private val listenAddress: String) {
    private val executor = Executors.newFixedThreadPool(2) { Thread(it, "peer-link").apply { isDaemon = true } }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selector = SelectorManager(dispatcher)
    private val connections = ConcurrentHashMap<String, PeerConnection>()
    private val bytesSent = AtomicLong()
    private val bytesReceived = AtomicLong()
    private val badFrames = AtomicLong()
    private lateinit var server: ServerSocket
    private lateinit var datagrams: BoundDatagramSocket

    /** The address that the system gave, once started. */
    lateinit var address: String
        private set

    /** Listens and gives what comes to [handler]. */
    fun start(handler: PeerHandler) = runBlocking {
        val ip = listenAddress.substringBeforeLast(':')
        val port = listenAddress.substringAfterLast(':').toInt()
        bindBoth(ip, port)
        val bound = (server.localAddress as InetSocketAddress).port
        address = "$ip:$bound"
        scope.launch { acceptAll(handler) }
        scope.launch { receiveAll(handler) }
    }

    /** Returns the counts so far. */
    fun counts() = LinkCounts(bytesSent.get(), bytesReceived.get(), badFrames.get())

    /** Sends a datagram; loss is part of the protocol. */
    fun sendProbe(send: ProbeSend) {
        val bytes = encodeProbe(send.message)
        bytesSent.addAndGet(bytes.size.toLong())
        scope.launch {
            try {
                val to = InetSocketAddress(send.to.substringBeforeLast(':'), send.to.substringAfterLast(':').toInt())
                datagrams.send(Datagram(Buffer().apply { write(bytes) }, to))
            } catch (e: CancellationException) {
                throw e
            } catch (_: Exception) {
                badFrames.incrementAndGet()
            }
        }
    }

    /** Sends [request] to the peer at [to] and gives the outcome to [done] within [timeoutMs]. */
    fun request(to: String, request: PeerRequest, timeoutMs: Long, done: (PeerOutcome) -> Unit) {
        val job = scope.launch { done(exchange(to, request, timeoutMs)) }
        if (job.isCancelled) done(PeerOutcome.Failed(sent = false))
    }

    /** Closes the connection to [peer], whose silence was noticed; requests that wait for it fail. */
    fun drop(peer: String) {
        connections.remove(peer)?.close()
    }

    /** Closes every socket. */
    fun close() {
        scope.cancel()
        connections.values.forEach { it.close() }
        if (::server.isInitialized) server.close()
        if (::datagrams.isInitialized) datagrams.close()
        selector.close()
        executor.shutdown()
    }

    private suspend fun bindBoth(ip: String, port: Int) {
        var last: IOException? = null
        repeat(if (port == 0) BIND_ATTEMPTS else 1) {
            val tcp = aSocket(selector).tcp().bind(InetSocketAddress(ip, port))
            val chosen = (tcp.localAddress as InetSocketAddress).port
            try {
                datagrams = aSocket(selector).udp().bind(InetSocketAddress(ip, chosen))
                server = tcp
                return
            } catch (e: IOException) {
                last = e
                tcp.close()
            }
        }
        throw IOException("No port of $ip is free for TCP and UDP; set listen.peer to another address.", last)
    }

    private suspend fun acceptAll(handler: PeerHandler) {
        while (true) {
            val socket = server.accept()
            scope.launch { serve(socket, handler) }
        }
    }

    private suspend fun serve(socket: Socket, handler: PeerHandler) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val writing = Mutex()
        try {
            while (true) {
                val frame = readFrame(input) ?: break
                val request = frame.request ?: break
                handler.onRequest(request) { reply ->
                    scope.launch { tryWrite(output, writing, PeerFrame(frame.id, reply = reply)) }
                }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            // The peer is gone; whoever waits for its replies has its own timeout.
        } finally {
            socket.close()
        }
    }

    private suspend fun tryWrite(output: ByteWriteChannel, writing: Mutex, frame: PeerFrame): Boolean = try {
        writing.withLock { writeFrame(output, frame) }
        true
    } catch (e: CancellationException) {
        throw e
    } catch (_: Exception) {
        false
    }

    private suspend fun receiveAll(handler: PeerHandler) {
        while (true) {
            val datagram = datagrams.receive()
            val bytes = datagram.packet.readByteArray()
            bytesReceived.addAndGet(bytes.size.toLong())
            val from = datagram.address as InetSocketAddress
            val message = decodeProbe(bytes)
            if (message ==
                null
            ) {
                badFrames.incrementAndGet()
            } else {
                handler.onProbe(message, "${from.hostname}:${from.port}")
            }
        }
    }

    private suspend fun exchange(to: String, request: PeerRequest, timeoutMs: Long): PeerOutcome {
        val connection = connect(to) ?: return PeerOutcome.Failed(sent = false)
        return connection.exchange(request, timeoutMs)
    }

    private suspend fun connect(to: String): PeerConnection? {
        connections[to]?.let { if (it.isOpen) return it }
        val socket = try {
            withTimeoutOrNull(CONNECT_TIMEOUT_MS) {
                aSocket(selector).tcp().connect(InetSocketAddress(to.substringBeforeLast(':'), portOf(to)))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            null
        }
        return socket?.let { PeerConnection(it) }?.also { connections[to] = it }
    }

    private fun portOf(address: String) = address.substringAfterLast(':').toInt()

    @OptIn(ExperimentalSerializationApi::class)
    private suspend fun writeFrame(output: ByteWriteChannel, frame: PeerFrame) {
        val bytes = cbor.encodeToByteArray(PeerFrame.serializer(), frame)
        output.writeByte(FRAME_VERSION)
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
        output.flush()
        bytesSent.addAndGet(bytes.size + FRAME_HEADER_BYTES)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private suspend fun readFrame(input: ByteReadChannel): PeerFrame? {
        val version = input.readByte()
        val size = input.readInt()
        if (version != FRAME_VERSION || size !in 0..MAX_FRAME_BYTES) {
            badFrames.incrementAndGet()
            return null
        }
        val bytes = input.readByteArray(size)
        bytesReceived.addAndGet(size + FRAME_HEADER_BYTES)
        val frame = decodeOrNull { cbor.decodeFromByteArray(PeerFrame.serializer(), bytes) }
        if (frame == null) badFrames.incrementAndGet()
        return frame
    }

    private inner class PeerConnection(private val socket: Socket) {
        private val output = socket.openWriteChannel()
        private val writing = Mutex()
        private val waiting = ConcurrentHashMap<Long, CompletableDeferred<PeerReply?>>()
        private val ids = AtomicLong()
        private val reading: Job = scope.launch { readReplies() }

        @Volatile
        var isOpen = true
            private set

        suspend fun exchange(request: PeerRequest, timeoutMs: Long): PeerOutcome {
            val id = ids.incrementAndGet()
            val reply = CompletableDeferred<PeerReply?>()
            waiting[id] = reply
            if (!isOpen || !tryWrite(output, writing, PeerFrame(id, request = request))) close()
            val got = withTimeoutOrNull(timeoutMs) { reply.await() }
            waiting.remove(id)
            return if (got == null) PeerOutcome.Failed(sent = true) else PeerOutcome.Replied(got)
        }

        fun close() {
            isOpen = false
            reading.cancel()
            socket.close()
            waiting.values.forEach { it.complete(null) }
        }

        private suspend fun readReplies() {
            val input = socket.openReadChannel()
            try {
                while (true) {
                    val frame = readFrame(input) ?: break
                    frame.reply?.let { waiting.remove(frame.id)?.complete(it) }
                }
            } catch (e: CancellationException) {
                throw e
            } catch (_: Exception) {
                // The peer is gone; those who wait are told below.
            } finally {
                isOpen = false
                socket.close()
                waiting.values.forEach { it.complete(null) }
            }
        }
    }

    private companion object {
        const val BIND_ATTEMPTS = 20
        const val FRAME_HEADER_BYTES = 5L
    }
}
