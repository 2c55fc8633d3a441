/*
 * Tests that a connection that brings much data, in however small parts, does not keep the event loop from the others.
 */
package org.sesamerouter.web

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.clock.systemClock
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val TIMEOUT_S = 20L
private const val TIMEOUT_MS = 20_000
private const val BUFFER_BYTES = 1024 * 1024
private const val MAX_TURN_BYTES = 64 * 1024
private const val PARTS = 20_000
private const val MAX_DELIVERIES = 200
private const val HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"

/** Counts what it receives. */
private class CountingListener : ResponseListener {
    val isStarted = CompletableFuture<Unit>()
    val isEnded = CompletableFuture<Unit>()
    val bytes = AtomicInteger()
    val deliveries = AtomicInteger()

    override fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming) {
        isStarted.complete(Unit)
    }

    override fun onBody(content: ByteBuf) {
        bytes.addAndGet(content.readableBytes())
        deliveries.incrementAndGet()
    }

    override fun onEnd() {
        isEnded.complete(Unit)
    }

    override fun onFailed(failure: CallFailure) {
        isEnded.complete(Unit)
    }
}

/** Keeps an event loop busy until it is released. */
private class Hold(loop: EventLoop) {
    private val held = CountDownLatch(1)
    private val release = CountDownLatch(1)

    init {
        loop.execute {
            held.countDown()
            release.await()
        }
        held.await()
    }

    fun release() = release.countDown()
}

class ConnectionTurnsSpec :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val loop = group.next() as EventLoop
        val client = ForwardClient(loop, systemClock())
        val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress()).apply { soTimeout = TIMEOUT_MS }
        val address = "127.0.0.1:${server.localPort}"
        afterSpec {
            server.close()
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }

        /** Starts a call whose response has begun, and returns it with the connection of its target. */
        fun begin(): Pair<CountingListener, Socket> {
            val listener = CountingListener()
            val request = OutgoingRequest("GET", "/", DefaultHttpHeaders().set("Host", "a"), ByteArray(0))
            loop.execute { client.send(address, request, listener) }
            val socket = server.accept()
            socket.write(HEAD)
            listener.isStarted.get(TIMEOUT_S, TimeUnit.SECONDS)
            return listener to socket
        }

        // Guards against CONFIG: a body without end holds up the requests of all other connections.
        for (chunkBytes in listOf(1, 4, 16, 64, 4096)) {
            test("a body without end in chunks of $chunkBytes bytes leaves other connections their turn") {
                val (endless, endlessSocket) = begin()
                val (other, otherSocket) = begin()
                val hold = Hold(loop)
                val chunk = "${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n"
                val chunks = chunk.repeat(MAX_TURN_BYTES / chunk.length)
                val isFilled = CompletableFuture<Unit>()
                val writer = thread(isDaemon = true) {
                    val closed = runCatching {
                        repeat(BUFFER_BYTES / MAX_TURN_BYTES / 2) { endlessSocket.write(chunks) }
                        isFilled.complete(Unit)
                        while (true) endlessSocket.write(chunks)
                    }
                    isFilled.completeExceptionally(closed.exceptionOrNull())
                }
                runCatching { isFilled.get(1, TimeUnit.SECONDS) } // or until the buffers of the system are full
                val bytesBefore = CompletableFuture<Int>()
                other.isEnded.thenRun { bytesBefore.complete(endless.bytes.get()) }
                otherSocket.write("0\r\n\r\n")
                hold.release()
                bytesBefore.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBeLessThan MAX_TURN_BYTES
                endlessSocket.close()
                writer.join()
            }
        }

        // Guards against CONFIG: each small part of a body is written to its caller on its own.
        test("the parts of a body that were read together are passed on together") {
            val (listener, socket) = begin()
            val hold = Hold(loop)
            thread(isDaemon = true) { socket.write("1\r\nx\r\n".repeat(PARTS) + "0\r\n\r\n") }
            socket.use {
                Thread.sleep(200) // most of it arrives while the event loop is busy
                hold.release()
                listener.isEnded.get(TIMEOUT_S, TimeUnit.SECONDS)
            }
            withClue("${listener.deliveries} deliveries") {
                listener.bytes.get() shouldBe PARTS
                listener.deliveries.get() shouldBeGreaterThan 0
                listener.deliveries.get() shouldBeLessThan MAX_DELIVERIES
            }
        }
    })
