/*
 * Tests of input limits (bodies, headers, JSON nesting) and of complete replies of any size.
 */
package org.sesamerouter.web

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.sesamerouter.api.isTooDeep
import java.net.ServerSocket
import java.net.Socket

private const val MAX_BODY_BYTES = 1_024
private const val LARGE_ANSWER_BYTES = 3_000_000

class HttpServerSpec :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
        val client = HttpClient(group)
        val server = startHttpServer("127.0.0.1:0", group, MAX_BODY_BYTES) { call ->
            if (call.path == "/large") call.reply(200, "x".repeat(LARGE_ANSWER_BYTES)) else call.reply(200, call.body)
        }
        val address = "127.0.0.1:${server.port}"

        afterSpec {
            server.close()
            group.shutdownGracefully()
        }

        fun status(request: ClientRequest): Int =
            (client.fetchBlocking(address, request) as FetchOutcome.Replied).reply.status

        test("accepts a body up to the limit and rejects a larger one with 413") {
            status(ClientRequest("POST", "/", "x".repeat(MAX_BODY_BYTES))) shouldBe 200
            status(ClientRequest("POST", "/", "x".repeat(MAX_BODY_BYTES + 1))) shouldBe 413
        }

        test("rejects an oversized request line and invalid HTTP with 400 and closes the connection") {
            status(ClientRequest("GET", "/" + "y".repeat(10_000))) shouldBe 400
            Socket("127.0.0.1", server.port).use { socket ->
                socket.getOutputStream().write("no http at all\r\n\r\n".toByteArray())
                val reply = socket.getInputStream().readBytes().toString(Charsets.ISO_8859_1)
                reply.startsWith("HTTP/1.1 400") shouldBe true
            }
        }

        test("receives a large reply completely") {
            val outcome = client.fetchBlocking(address, ClientRequest("GET", "/large")) as FetchOutcome.Replied
            outcome.reply.body.length shouldBe LARGE_ANSWER_BYTES
        }

        test("distinguishes a refused connection from one closed after the request was sent") {
            val closedPort = ServerSocket(0).use { it.localPort }
            val refused = client.fetchBlocking("127.0.0.1:$closedPort", ClientRequest("GET", "/"))
            refused.shouldBeInstanceOf<FetchOutcome.Failed>().sent.shouldBeFalse()
            val aborting = startHttpServer("127.0.0.1:0", group, MAX_BODY_BYTES) { it.abort() }
            val aborted = client.fetchBlocking("127.0.0.1:${aborting.port}", ClientRequest("GET", "/"))
            aborted.shouldBeInstanceOf<FetchOutcome.Failed>().sent.shouldBeTrue()
            aborting.close()
        }

        test("counts nesting outside of strings only") {
            isTooDeep("[".repeat(64)).shouldBeFalse()
            isTooDeep("[".repeat(65)).shouldBeTrue()
            isTooDeep("\"" + "[".repeat(100) + "\\\"" + "{".repeat(100) + "\"").shouldBeFalse()
        }
    })
