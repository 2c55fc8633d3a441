/*
 * Tests that both HTTP clients take a response without a length as complete only if the server ended it in order, and
 * not when its connection ends for another reason.
 */
package org.sesamerouter.web

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.sesamerouter.clock.systemClock
import org.sesamerouter.front.resetAtClose
import org.sesamerouter.front.send
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val TIMEOUT_S = 20L
private const val LARGE_BODY_BYTES = 16_000_000 // more than the buffers of a loopback connection hold
private const val HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"

/** A server that accepts one connection, reads the head of the request, and runs [script]. */
private fun serverOf(script: (Socket) -> Unit): String {
    val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    thread(isDaemon = true) {
        server.use {
            it.accept().use { socket ->
                val head = StringBuilder()
                while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
                script(socket)
            }
        }
    }
    return "127.0.0.1:${server.localPort}"
}

/** Collects a response, and runs [onPart] at each part of its body. */
private class PartListener(
    private val collector: ResponseCollector = ResponseCollector(),
    private val onPart: () -> Unit,
) : ResponseListener by collector {
    val response get() = collector.response

    override fun onBody(content: ByteBuf) {
        collector.onBody(content)
        onPart()
    }
}

private fun newGroup() = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

private fun requestOf(body: ByteArray) =
    OutgoingRequest("POST", "/a", DefaultHttpHeaders().set("Host", "a"), body, ResponseId("Request-Id", "r1"))

class ResponseEndSpec :
    FunSpec({
        /** Calls a target that sends [first], then [rest] once that was read, and resets with its request half read. */
        fun callResetting(first: String, rest: String): CollectedResponse {
            val group = newGroup()
            val client = ForwardClient(group.next() as EventLoop, systemClock())
            val isPartRead = CountDownLatch(1)
            val address = serverOf { socket ->
                socket.send(first)
                isPartRead.await()
                socket.send(rest)
                socket.resetAtClose()
            }
            val call = CompletableFuture<ForwardCall>()
            val listener = PartListener {
                // The reset then shows at the write of the request alone.
                if (isPartRead.count > 0) call.get().setReading(false)
                isPartRead.countDown()
            }
            group.execute { call.complete(client.send(address, requestOf(ByteArray(LARGE_BODY_BYTES)), listener)) }
            val response = listener.response.get(TIMEOUT_S, TimeUnit.SECONDS)
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
            return response
        }

        // Guards against ORDER: a response that was reset while its request was being sent counts as complete.
        test("a response without a length is broken off if the target resets before it has read the whole request") {
            callResetting(HEAD + "half", "").failure shouldNotBe null
            callResetting(HEAD + "half", "more").failure shouldNotBe null
        }

        // Guards against an early response that is lost since the write of its request fails first.
        test("a response that has arrived whole is complete if the target then resets before it has read the request") {
            val head = HEAD.replaceFirst("\r\n", "\r\nContent-Length: 8\r\n")
            callResetting(head + "half", "half") shouldBe CollectedResponse(200, "halfhalf", null, true)
        }

        // Guards against ORDER: a process that ends takes the responses of its targets as complete.
        test("a response without a length is broken off if this process closes the connection") {
            val group = newGroup()
            val client = ForwardClient(group.next() as EventLoop, systemClock())
            val isOver = CountDownLatch(1)
            val address = serverOf { socket ->
                socket.send(HEAD + "half")
                isOver.await()
            }
            val isPartRead = CountDownLatch(1)
            val listener = PartListener { isPartRead.countDown() }
            group.execute { client.send(address, requestOf(ByteArray(0)), listener) }
            isPartRead.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
            listener.response.get(TIMEOUT_S, TimeUnit.SECONDS).failure shouldNotBe null
            isOver.countDown()
        }

        // Guards against ORDER in the product's own client: a reset reply counts as complete.
        test("a reply without a length is complete if the server closes in order, and failed if it resets") {
            val group = newGroup()
            val client = HttpClient(group)
            val request = ClientRequest("GET", "/a")
            val ended = client.fetchBlocking(serverOf { it.send(HEAD + "whole") }, request)
            ended shouldBe FetchOutcome.Replied(HttpReply(200, "whole"))
            val reset = serverOf { socket ->
                socket.send(HEAD + "half")
                Thread.sleep(200) // the client reads the data before the reset
                socket.resetAtClose()
            }
            client.fetchBlocking(reset, request).shouldBeInstanceOf<FetchOutcome.Failed>().sent shouldBe true
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }

        test("a reply without a length is failed if this process closes the connection or a line is too long") {
            val group = newGroup()
            val client = HttpClient(group)
            val isOver = CountDownLatch(1)
            val outcome = CompletableFuture<FetchOutcome>()
            val isSent = CountDownLatch(1)
            val address = serverOf { socket ->
                socket.send(HEAD + "half")
                isSent.countDown()
                isOver.await()
            }
            client.fetch(address, ClientRequest("GET", "/a"), TIMEOUT_S * 1_000) { outcome.complete(it) }
            isSent.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
            Thread.sleep(200) // the client reads the data before it closes
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
            outcome.get(TIMEOUT_S, TimeUnit.SECONDS).shouldBeInstanceOf<FetchOutcome.Failed>()
            isOver.countDown()
            val other = newGroup()
            val long = serverOf { socket ->
                socket.send(HEAD)
                val part = "x".repeat(1024 * 1024)
                runCatching { repeat(20) { socket.send(part) } }
            }
            HttpClient(other).fetchBlocking(long, ClientRequest("GET", "/a")).shouldBeInstanceOf<FetchOutcome.Failed>()
            other.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    })
