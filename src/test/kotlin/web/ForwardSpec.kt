/*
 * Tests of forwarding over real sockets: matching responses by id, detecting truncated responses, rejecting requests
 * with an ambiguous length, and connection reuse.
 */
package org.sesamerouter.web

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
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
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val REPLY_TIMEOUT_S = 20L

/** A target that runs one script per accepted connection, in order. */
private class ScriptedTarget(private val scripts: List<(Socket) -> Unit>) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${server.localPort}"

    init {
        Thread {
            scripts.forEach { script -> server.accept().use(script) }
        }.apply { isDaemon = true }.start()
    }

    override fun close() = server.close()
}

private fun response(id: String, body: String) =
    "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nContent-Length: ${body.length}\r\n\r\n$body"

class ForwardSpec :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val client = ForwardClient(group.next() as EventLoop, systemClock())
        afterSpec { group.shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        fun call(address: String, id: String, body: String = ""): CollectedResponse {
            val collector = ResponseCollector()
            val headers = DefaultHttpHeaders().set("Host", "shop.example").set("Request-Id", id)
            val request = OutgoingRequest("POST", "/a", headers, body.toByteArray(), ResponseId("Request-Id", id))
            group.execute { client.send(address, request, collector) }
            return collector.response.get(REPLY_TIMEOUT_S, TimeUnit.SECONDS)
        }

        test("a late response to another request is skipped and the response with the matching id is returned") {
            val script: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(response("other", "not yours") + response("r1", "yours"))
                socket.readHead()
            }
            ScriptedTarget(listOf(script)).use { call(it.address, "r1").body shouldBe "yours" }
        }

        // Guards against a request that is refused for want of connections, since the idle ones have carried it.
        test("at the limit of connections, one that has carried a request makes room for its next send") {
            val script: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(response("r1", "first"))
                socket.readHead()
            }
            val next: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(response("r1", "second"))
                socket.readHead()
            }
            ScriptedTarget(listOf(script, next)).use { target ->
                val used = UsedConnections()
                val headers = DefaultHttpHeaders().set("Host", "shop.example").set("Request-Id", "r1")
                val id = ResponseId("Request-Id", "r1")
                val request = OutgoingRequest("POST", "/a", headers, ByteArray(0), id, usedConnections = used)
                for (body in listOf("first", "second")) {
                    val collector = ResponseCollector()
                    group.execute { client.send(target.address, request, collector, maxConnections = 1) }
                    collector.response.get(REPLY_TIMEOUT_S, TimeUnit.SECONDS).body shouldBe body
                }
            }
        }

        test("a connection that received data after the response is not reused") {
            val extra: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(response("r1", "one") + response("r1", "again"))
                socket.readHead()
            }
            val clean: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(response("r2", "two"))
                socket.readHead()
            }
            ScriptedTarget(listOf(extra, clean)).use {
                call(it.address, "r1").body shouldBe "one"
                call(it.address, "r2").body shouldBe "two"
            }
        }

        test("a response shorter than its Content-Length is a failure") {
            val script: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nhalf")
            }
            ScriptedTarget(listOf(script)).use { call(it.address, "r1").failure shouldBe "connection closed" }
        }

        test("a response without a length is complete when the connection closes and a failure when it is reset") {
            val head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it"
            val ended: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(head)
            }
            ScriptedTarget(listOf(ended)).use {
                call(it.address, "r1") shouldBe CollectedResponse(200, "all of it", null, true)
            }
            val reset: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(head)
                Thread.sleep(200)
                socket.setSoLinger(true, 0)
            }
            ScriptedTarget(listOf(reset)).use { call(it.address, "r1").failure shouldBe "connection reset" }
        }

        test("an invalid response fails as possibly sent, a refused connection fails as not sent") {
            val script: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write("what is this\r\n\r\n")
                socket.readHead()
            }
            ScriptedTarget(listOf(script)).use { call(it.address, "r1").sent shouldBe true }
            val closed = ServerSocket(0).use { it.localPort }
            call("127.0.0.1:$closed", "r1").sent shouldBe false
        }

        test("data without end that is no response fails the call as possibly sent, and its connection is closed") {
            val blankLines = "\r\n".repeat(32 * 1024)
            val other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
            val otherChunk = "8000\r\n${"x".repeat(0x8000)}\r\n"
            val interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(1_024)
            val endless = listOf(
                "" to blankLines,
                "HTTP/1.1 200 OK\r\nX: " to "y".repeat(64 * 1024),
                "\u0001\u0002" to "\u0000".repeat(64 * 1024),
                other to otherChunk,
                "" to interim,
            )
            for ((start, rest) in endless) {
                val isClosedByCaller = CompletableFuture<Boolean>()
                val script: (Socket) -> Unit = { socket ->
                    socket.readHead()
                    socket.write(start)
                    isClosedByCaller.complete(runCatching { while (true) socket.write(rest) }.isFailure)
                }
                ScriptedTarget(listOf(script)).use {
                    val outcome = call(it.address, "r1")
                    outcome.sent shouldBe true
                    checkNotNull(outcome.failure) shouldStartWith "invalid response"
                    isClosedByCaller.get(REPLY_TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
                }
            }
        }

        test("a request that expired while its connection was opened is not sent") {
            val script: (Socket) -> Unit = { socket -> socket.readHead() }
            ScriptedTarget(listOf(script)).use { target ->
                val collector = ResponseCollector()
                val headers = DefaultHttpHeaders().set("Host", "shop.example")
                val request = OutgoingRequest("POST", "/a", headers, ByteArray(0), null, expiresAtMs = 0)
                group.execute { client.send(target.address, request, collector) }
                val outcome = collector.response.get(REPLY_TIMEOUT_S, TimeUnit.SECONDS)
                outcome.sent shouldBe false
                outcome.failure shouldBe "expired while connecting"
            }
        }

        test("a connection is not reused if the target responded before the whole request body was written") {
            val early: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(response("r1", "early"))
                Thread.sleep(100)
            }
            val next: (Socket) -> Unit = { socket ->
                socket.readHead()
                socket.write(response("r2", "two"))
                socket.readHead()
            }
            ScriptedTarget(listOf(early, next)).use {
                call(it.address, "r1", "x".repeat(8_000_000)).body shouldBe "early"
                call(it.address, "r2").body shouldBe "two"
            }
        }

        val limits =
            RequestLimits(maxHeaderBytes = 2_000, maxBodyBytes = 1_000, headerTimeoutMs = 300, idleTimeoutMs = 400)
        val server = startRequestServer("127.0.0.1:0", group, systemClock(), { limits }) { request ->
            request.reply(200, "${request.method} ${request.uri} ${String(request.body)}".toByteArray())
        }

        fun exchange(text: String): String = Socket("127.0.0.1", server.port).use { socket ->
            socket.soTimeout = 20_000
            socket.write(text)
            socket.getInputStream().readBytes().toString(Charsets.UTF_8)
        }

        test("requests with an ambiguous length are rejected, so that no request can be smuggled in a body") {
            val smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
            val lengthAndChunked = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n" +
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n$smuggled"
            val twoLengths = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" +
                "Content-Length: ${smuggled.length}\r\n\r\n$smuggled"
            val coding = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n$smuggled"
            for (text in listOf(lengthAndChunked, twoLengths, coding)) {
                val reply = exchange(text)
                reply shouldStartWith "HTTP/1.1 400"
                reply shouldNotContain "smuggled"
            }
        }

        test("pipelined requests with and without chunked bodies are answered in order") {
            val reply = exchange(
                "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" +
                    "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndef\r\n0\r\n\r\n" +
                    "GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            )
            reply shouldContain "POST /a abc"
            reply shouldContain "POST /b def"
            reply shouldContain "GET /c "
        }

        test("a request counts from its first byte, however long its body takes") {
            val startedMs = CompletableFuture<Long>()
            val clock = systemClock()
            val timed = startRequestServer("127.0.0.1:0", group, clock, { limits }) { request ->
                startedMs.complete(request.startedMs)
                request.reply(200)
            }
            Socket("127.0.0.1", timed.port).use { socket ->
                socket.write("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
                socket.getInputStream().read() shouldBe 'H'.code // the head was read
                val headReadMs = clock.nowMs()
                while (clock.nowMs() == headReadMs) Thread.sleep(1)
                socket.write("abcd")
                (startedMs.get(REPLY_TIMEOUT_S, TimeUnit.SECONDS) <= headReadMs) shouldBe true
            }
            timed.close()
        }

        test("on a busy host, a request whose caller has closed its connection meanwhile is not handled") {
            val handled = ConcurrentLinkedQueue<String>()
            val busy = LoopLag(0) // its timer never ran
            val server = startRequestServer("127.0.0.1:0", group, systemClock(), { limits }, busy) { request ->
                handled += request.uri
                request.reply(200)
            }
            val release = CountDownLatch(1)
            group.execute { release.await() }
            Socket("127.0.0.1", server.port).use { it.write("GET /left HTTP/1.1\r\nHost: a\r\n\r\n") }
            val waiting = Socket("127.0.0.1", server.port)
            waiting.write("GET /waits HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            release.countDown()
            waiting.getInputStream().readBytes().decodeToString() shouldStartWith "HTTP/1.1 200"
            handled.toList() shouldBe listOf("/waits")
            server.close()
        }

        test("a server that closes still answers the requests that have arrived, read or not, and closes idle ones") {
            val unanswered = ConcurrentLinkedQueue<IncomingRequest>()
            val server = startRequestServer("127.0.0.1:0", group, systemClock(), { limits }) { unanswered += it }
            val sockets = List(2) { Socket("127.0.0.1", server.port) }
            val idle = Socket("127.0.0.1", server.port)
            sockets[0].write("GET /read HTTP/1.1\r\nHost: a\r\n\r\n")
            while (unanswered.isEmpty()) Thread.sleep(1)
            val release = CountDownLatch(1)
            group.execute { release.await() }
            sockets[1].write("GET /unread HTTP/1.1\r\nHost: a\r\n\r\n")
            val waiting = server.closeWhenAnswered()
            release.countDown()
            waiting.get(REPLY_TIMEOUT_S, TimeUnit.SECONDS) shouldBe 2
            idle.getInputStream().readBytes().size shouldBe 0
            group.execute { unanswered.forEach { it.reply(200) } }
            sockets.forEach { it.getInputStream().readBytes().decodeToString() shouldStartWith "HTTP/1.1 200" }
            server.closeWhenAnswered().get(REPLY_TIMEOUT_S, TimeUnit.SECONDS) shouldBe 0
            server.close()
        }

        // Guards against LOST: a request that was read behind another one ends with the connection.
        test("a closing server answers pipelined requests that it has read before it closes") {
            val first = CompletableFuture<IncomingRequest>()
            val server = startRequestServer("127.0.0.1:0", group, systemClock(), { limits }) {
                if (it.uri == "/1") first.complete(it) else it.reply(200, it.uri.toByteArray())
            }
            Socket("127.0.0.1", server.port).use { socket ->
                socket.soTimeout = 20_000
                socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                val request = first.get(REPLY_TIMEOUT_S, TimeUnit.SECONDS)
                server.closeWhenAnswered().get(REPLY_TIMEOUT_S, TimeUnit.SECONDS) shouldBe 1
                group.execute { request.reply(200, request.uri.toByteArray()) }
                val reply = socket.getInputStream().readBytes().decodeToString()
                reply shouldContain "/1HTTP/1.1 200"
                reply shouldContain "/2"
            }
            server.close()
        }

        // Guards against MIXED: the last chunk of a response without a body belongs to no answer.
        test("a streamed response to a HEAD ends with its head") {
            val server = startRequestServer("127.0.0.1:0", group, systemClock(), { limits }) { request ->
                request.startResponse(200, DefaultHttpHeaders())
                if (request.method == "GET") request.write(Unpooled.copiedBuffer(request.uri, Charsets.UTF_8))
                request.end()
            }
            Socket("127.0.0.1", server.port).use { socket ->
                socket.soTimeout = 20_000
                socket.write("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                socket.readHead() shouldStartWith "HTTP/1.1 200"
                socket.write("GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                val rest = socket.getInputStream().readBytes().decodeToString()
                rest shouldStartWith "HTTP/1.1 200"
                rest shouldContain "/2"
            }
            server.close()
        }

        test("oversized heads are rejected with 431 and oversized bodies with 413") {
            exchange("GET /a HTTP/1.1\r\nHost: a\r\nX: ${"y".repeat(3_000)}\r\n\r\n") shouldStartWith "HTTP/1.1 431"
            exchange("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n") shouldStartWith "HTTP/1.1 413"
        }

        test("an incomplete head is rejected with 408, an idle connection is closed without a response") {
            exchange("GET /a HTTP/1.1\r\nHost:") shouldStartWith "HTTP/1.1 408"
            exchange("") shouldBe ""
        }
    })
