/*
 * Tests which replies the HTTP client of the product's own interface takes.
 */
package org.sesamerouter.web

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private fun reply(body: String) = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"

class HttpClientSpec :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        afterSpec { group.shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        // Guards against MIXED: what was left of an extra reply is taken for the reply to the next call.
        test("a connection that received data outside a call is not used again") {
            val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
            val cutReply = reply("extra").dropLast("extra".length)
            thread(isDaemon = true) {
                for (rest in listOf(cutReply, "")) {
                    val socket = server.accept()
                    thread(isDaemon = true) {
                        val input = socket.getInputStream()
                        val buffer = ByteArray(4_096)
                        var number = 0
                        // Each request fits into one read of a loopback connection.
                        while (input.read(buffer) > 0) {
                            val own = if (rest.isEmpty()) "two" else "one"
                            socket.getOutputStream().write((reply(own) + if (number++ == 0) rest else "").toByteArray())
                        }
                        socket.close()
                    }
                }
            }
            val client = HttpClient(group)
            val address = "127.0.0.1:${server.localPort}"
            for (body in listOf("one", "two")) {
                val outcome = client.fetchBlocking(address, ClientRequest("GET", "/"))
                outcome shouldBe FetchOutcome.Replied(HttpReply(200, body))
            }
            server.close()
        }

        // Guards against an interim answer that is taken for the reply.
        test("an interim answer does not end a call") {
            val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    socket.readHead()
                    socket.write("HTTP/1.1 102 Processing\r\n\r\n" + reply("own"))
                    socket.readHead()
                }
            }
            val outcome = HttpClient(group).fetchBlocking("127.0.0.1:${server.localPort}", ClientRequest("GET", "/"))
            outcome shouldBe FetchOutcome.Replied(HttpReply(200, "own"))
            server.close()
        }

        // Guards against MIXED: the beginning of an extra reply stays in the decoder for the next call.
        test("a connection with a part of an extra reply is not used again") {
            val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
            thread(isDaemon = true) {
                while (true) {
                    val socket = runCatching { server.accept() }.getOrNull() ?: break
                    thread(isDaemon = true) {
                        socket.use {
                            it.readHead()
                            it.write(reply("own") + reply("extra").dropLast(3))
                            it.readHead()
                            runCatching { it.write("tra" + reply("own")) }
                        }
                    }
                }
            }
            val client = HttpClient(group)
            repeat(3) {
                val outcome = client.fetchBlocking("127.0.0.1:${server.localPort}", ClientRequest("GET", "/"))
                outcome shouldBe FetchOutcome.Replied(HttpReply(200, "own"))
            }
            server.close()
        }
    })
