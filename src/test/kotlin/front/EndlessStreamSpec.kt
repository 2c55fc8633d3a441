/*
 * Tests that a stream without end is ended by its host, well before the deadline of the request.
 */
package org.sesamerouter.front

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val OUTPUT_TOKENS = 8
private const val MAX_BODY_BYTES = 512 * 1024
private const val HEAD = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n" +
    "Transfer-Encoding: chunked\r\n"

private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

class EndlessStreamSpec :
    FunSpec({
        // Guards against a target in trouble that keeps a stream open, and its host busy, until the deadline.
        test("a stream without end is cut, be it of one event, blank lines, comments or events") {
            val endless = mapOf(
                "one event" to "x",
                "blank lines" to "\n",
                "comments" to ":\n\n",
                "events" to "id: 1\ndata: x\n\n",
            )
            for ((name, text) in endless) {
                val isClosed = CompletableFuture<Boolean>()
                val target = RawTarget { request, socket ->
                    socket.send("${HEAD}Request-Id: ${request.id}\r\n\r\n")
                    try {
                        while (true) socket.send(chunk(text).repeat(100))
                    } catch (_: IOException) {
                        isClosed.complete(true)
                    }
                }
                Site().use { site ->
                    site.declare(1, "\"k1\"")
                    site.register("m0", "model", target.address)
                    site.startHost()
                    site.awaitReady(1)
                    val request =
                        "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r\r\nDeadline-Ms: 900000\r\n" +
                            "Authorization: Bearer k1\r\nToken-Counts: 10,$OUTPUT_TOKENS\r\nContent-Length: 0\r\n\r\n"
                    val answer = exchangeRaw(site.requestAddress(0), request)
                    withClue(name) {
                        answer.isComplete shouldBe false
                        answer.body.length shouldBeLessThan MAX_BODY_BYTES
                        isClosed.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
                    }
                }
                target.close()
            }
        }
    })
