/*
 * Tests what a server that closes does with connections on which a request or its answer is only partly transferred.
 */
package org.sesamerouter.web

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.sesamerouter.clock.systemClock
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

private const val TIMEOUT_S = 20L
private const val TIMEOUT_MS = 20_000
private const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
private const val LARGE_BYTES = 64 * 1024 * 1024 // more than the buffers of the system take
private val LIMITS = RequestLimits(idleTimeoutMs = 600_000)

class ClosingServerSpec :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        afterSpec { group.shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        // Guards against a stop that ends early while a caller is still sending its body.
        test("a server that closes counts a request that has partly arrived as waiting for its answer") {
            val handled = ConcurrentLinkedQueue<String>()
            val server = startRequestServer("127.0.0.1:0", group, systemClock(), { LIMITS }) {
                handled += it.uri
                it.reply(200)
            }
            Socket("127.0.0.1", server.port).use { socket ->
                socket.soTimeout = TIMEOUT_MS
                socket.write("POST /half HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
                socket.getInputStream().readNBytes(CONTINUE.length).decodeToString() shouldBe CONTINUE
                socket.write("ab")
                server.closeIdleConnections()
                server.closeWhenAnswered().get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe 1
                socket.write("cd")
                socket.getInputStream().readBytes().decodeToString() shouldStartWith "HTTP/1.1 200"
                handled.toList() shouldBe listOf("/half")
            }
            server.close()
        }

        // Guards against a stop that ends early while a slow reader has not got the whole answer.
        test("a server that closes counts an answer that is not yet written to the network as waiting") {
            val server = startRequestServer("127.0.0.1:0", group, systemClock(), { LIMITS }) {
                it.reply(200, ByteArray(LARGE_BYTES))
            }
            Socket("127.0.0.1", server.port).use { socket ->
                socket.soTimeout = TIMEOUT_MS
                socket.write("GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
                socket.getInputStream().read() shouldBe 'H'.code // the answer is complete, most of it is not sent
                server.closeWhenAnswered().get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe 1
                socket.getInputStream().readBytes().size shouldBeGreaterThan LARGE_BYTES
            }
            server.close()
        }

        // Guards against requests that arrive on idle connections seconds after SIGTERM.
        test("a connection whose response began before the server closes is closed when it becomes idle") {
            val unanswered = ConcurrentLinkedQueue<IncomingRequest>()
            val server = startRequestServer("127.0.0.1:0", group, systemClock(), { LIMITS }) {
                it.startResponse(200, DefaultHttpHeaders())
                unanswered += it
            }
            Socket("127.0.0.1", server.port).use { socket ->
                socket.soTimeout = TIMEOUT_MS
                socket.write("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
                while (unanswered.isEmpty()) Thread.sleep(1)
                server.closeIdleConnections()
                group.execute { unanswered.single().end() }
                socket.getInputStream().readBytes().decodeToString() shouldEndWith "0\r\n\r\n"
            }
            server.close()
        }

        // Guards against requests that count as late on arrival since the start of their time is unknown.
        test("a request that arrives in one segment behind another one knows when its first byte arrived") {
            val startedMs = ConcurrentLinkedQueue<Long>()
            val clock = systemClock()
            val server = startRequestServer("127.0.0.1:0", group, clock, { LIMITS }) {
                startedMs += it.startedMs
                it.reply(200)
            }
            val sentMs = clock.nowMs()
            Socket("127.0.0.1", server.port).use { socket ->
                socket.soTimeout = TIMEOUT_MS
                val last = "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n$last")
                socket.getInputStream().readBytes()
            }
            startedMs.map { it >= sentMs } shouldBe listOf(true, true)
            server.close()
        }

        // Guards against requests on new connections that a stop closes before it has read them.
        test("a connection that was just opened is not closed as idle before its first request") {
            val server = startRequestServer("127.0.0.1:0", group, systemClock(), { LIMITS }) { it.reply(200) }
            Socket("127.0.0.1", server.port).use { opened ->
                opened.soTimeout = TIMEOUT_MS
                Socket("127.0.0.1", server.port).use { later ->
                    later.soTimeout = TIMEOUT_MS
                    later.write("GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
                    later.getInputStream().read() shouldBe 'H'.code // both connections are accepted
                    server.closeIdleConnections()
                    while (later.getInputStream().read() >= 0) Unit // the idle connections are closed
                }
                opened.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
                opened.getInputStream().readBytes().decodeToString() shouldStartWith "HTTP/1.1 200"
            }
            server.close()
        }
    })
