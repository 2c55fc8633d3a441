/*
 * Tests that a second copy of a target's answer, sent where the next answer on its connection is due, is not taken for
 * the answer to another send of the same request.
 */
package org.sesamerouter.front

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

private const val REQUESTS = 6
private const val RETRY_SLACK = 100.0 // every request is sent twice

private fun answer(status: Int, id: String, header: String) =
    "HTTP/1.1 $status X\r\nRequest-Id: $id\r\n$header\r\nContent-Length: 0\r\n\r\n"

/** Answers the first arrival of each request with [first] and runs the second, after another copy of [first]. */
private class CopyingTarget(first: (id: String) -> String) : AutoCloseable {
    val runs = ConcurrentLinkedQueue<String>()
    private val lateCopies = ConcurrentHashMap<Socket, String>()
    private val target = RawTarget(keepsConnections = true) { request, socket ->
        lateCopies.remove(socket)?.let(socket::send)
        if (request.number == 1) {
            lateCopies[socket] = first(request.id)
            socket.send(first(request.id))
        } else {
            runs += request.id
            socket.send(answer(200, request.id, "Server-Stamp: stamp"))
        }
    }
    val address = target.address

    override fun close() = target.close()
}

class LateCopySpec :
    FunSpec({
        // Guards against TWICE and REFUSED: the copy of a rejection is taken for the answer to a send that runs.
        test("a rejected request is not sent again on the connection that its rejection came on") {
            for (status in listOf(503, 429, 421)) {
                val target = CopyingTarget { answer(status, it, "Not-Run: 1") }
                Site(retrySlack = RETRY_SLACK).use { site ->
                    site.declare(1, "\"k1\"")
                    site.register("d0", "desk", target.address)
                    site.startHost()
                    site.awaitReady(1)
                    val ids = List(REQUESTS) { "$status-$it" }
                    val answers = ids.map { site.send(0, "/book/x", it).get().status }
                    withClue("after rejections with $status") {
                        target.runs.toList() shouldContainExactly ids
                        answers shouldBe ids.map { 200 }
                    }
                }
                target.close()
            }
        }

        // Guards against an answer of the first send that hides the one of the second.
        test("a failed request is not repeated on the connection that its failure came on") {
            val target = CopyingTarget { answer(500, it, "Server-Stamp: failed") }
            Site(retrySlack = RETRY_SLACK).use { site ->
                site.declare(1, "\"k1\"")
                site.register("d0", "desk", target.address)
                site.startHost()
                site.awaitReady(1)
                val ids = List(REQUESTS) { "safe-$it" }
                ids.map { site.send(0, "/look/x", it).get().status } shouldBe ids.map { 200 }
                target.runs.toList() shouldContainExactly ids
            }
            target.close()
        }
    })
