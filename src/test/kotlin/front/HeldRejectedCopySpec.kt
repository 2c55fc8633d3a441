/*
 * Tests that a second copy of a rejection, held back until the next answer on its connection is due, does not shift the
 * answers to the later sends of the request.
 */
package org.sesamerouter.front

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

private const val REQUESTS = 8
private const val RETRY_SLACK = 100.0 // every request is sent twice
private const val HEAD_DELAY_MS = 120L
private const val GATEWAY_TIMEOUT = 504
private const val OK = 200

private fun rejection(status: Int, id: String) =
    "HTTP/1.1 $status X\r\nRequest-Id: $id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

private fun failure(id: String) =
    "HTTP/1.1 $GATEWAY_TIMEOUT X\r\nRequest-Id: $id\r\nServer-Stamp: stamp\r\nContent-Length: 0\r\n\r\n"

private fun stream(id: String): String {
    val events = (1..3).joinToString("") { "id: $it\ndata: x\n\n" }
    return "HTTP/1.1 $OK OK\r\nRequest-Id: $id\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\n" +
        "Content-Length: ${events.length}\r\n\r\n$events"
}

/** Rejects the first arrival of each request, runs the second behind a copy of the rejection, and fails the third. */
private class HoldingTarget(status: Int) : AutoCloseable {
    private val heldCopies = ConcurrentHashMap<Socket, String>()
    val lastStatus = ConcurrentHashMap<String, Int>()
    private val target = RawTarget(keepsConnections = true) { request, socket ->
        heldCopies.remove(socket)?.let(socket::send)
        when (request.number) {
            1 -> {
                heldCopies[socket] = rejection(status, request.id)
                lastStatus[request.id] = status
                socket.send(rejection(status, request.id))
            }

            2 -> {
                Thread.sleep(HEAD_DELAY_MS)
                lastStatus[request.id] = OK
                socket.send(stream(request.id))
            }

            else -> {
                lastStatus[request.id] = GATEWAY_TIMEOUT
                socket.send(failure(request.id))
            }
        }
    }
    val address = target.address

    fun arrivals(id: String) = target.received.count { it.id == id }

    override fun close() = target.close()
}

class HeldRejectedCopySpec :
    FunSpec({
        // Guards against MIXED: a caller of a stream gets a success where the target answered the last send with 504.
        test("a held back copy of a rejection ends no later send of its request") {
            for (status in listOf(503, 409, 429)) {
                val target = HoldingTarget(status)
                Site(retrySlack = RETRY_SLACK).use { site ->
                    site.declare(1, "\"k1\"")
                    site.register("e0", "model", target.address)
                    site.startHost()
                    site.awaitReady(1)
                    val seen = List(REQUESTS) { number ->
                        val id = "$status-$number"
                        Triple(site.send(0, "/plan/x", id).get().status, target.lastStatus[id], target.arrivals(id))
                    }
                    withClue("status for the caller, last answer of the target, arrivals after $status: $seen") {
                        seen.forEach { (status, last, arrivals) ->
                            status shouldBe last
                            arrivals shouldBeLessThanOrEqual 2
                        }
                    }
                }
                target.close()
            }
        }
    })
