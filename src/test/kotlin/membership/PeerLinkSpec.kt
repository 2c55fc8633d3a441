/*
 * The link between hosts with garbage, truncated and oversized frames, and with unreachable peers.
 */
package org.sesamerouter.membership

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.sesamerouter.web.MemoryBudget
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private const val TIMEOUT_MS = 5_000L

private object EchoHandler : PeerHandler {
    override fun onProbe(message: ProbeMessage, from: String) = Unit

    override fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit) {
        if (request is PeerRequest.Outcome) reply(PeerReply.Outcome(request.key)) else reply(PeerReply.Acknowledged)
    }
}

class PeerLinkSpec :
    FunSpec({
        val one = PeerLink("127.0.0.1:0").also { it.start(EchoHandler) }
        val two = PeerLink("127.0.0.1:0").also { it.start(EchoHandler) }

        afterSpec {
            one.close()
            two.close()
        }

        fun exchange(to: String, request: PeerRequest): PeerOutcome {
            val future = CompletableFuture<PeerOutcome>()
            one.request(to, request, TIMEOUT_MS, future::complete)
            return future.get()
        }

        fun port(link: PeerLink) = link.address.substringAfter(':').toInt()

        test("concurrent requests receive their own replies") {
            val futures = List(200) { i ->
                CompletableFuture<PeerOutcome>().also {
                    one.request(two.address, PeerRequest.Outcome("k$i"), TIMEOUT_MS, it::complete)
                }
            }
            futures.forEachIndexed { i, future ->
                future.get() shouldBe PeerOutcome.Replied(PeerReply.Outcome("k$i"))
            }
        }

        test("a broadcast reaches every peer once and in order, also those that are not connected yet") {
            val received = List(3) { ConcurrentLinkedQueue<String>() }
            val peers = received.map { messages ->
                val handler = object : PeerHandler {
                    override fun onProbe(message: ProbeMessage, from: String) = Unit

                    override fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit) {
                        messages += (request as PeerRequest.Outcome).key
                    }
                }
                PeerLink("127.0.0.1:0").also { it.start(handler) }
            }
            repeat(5) { i -> one.broadcast(peers.map { it.address }, PeerRequest.Outcome("k$i")) }
            received.forEach { eventually(10.seconds) { it.toList() shouldBe List(5) { i -> "k$i" } } }
            peers.forEach { it.close() }
        }

        test("a bad version, an oversized frame and a garbage body close only their connection and are counted") {
            val frames = listOf(
                byteArrayOf(9, 0, 0, 0, 1, 1),
                byteArrayOf(1, 127, 0, 0, 0),
                byteArrayOf(1, 0, 0, 0, 3, 7, 7, 7),
            )
            for (frame in frames) {
                Socket("127.0.0.1", port(two)).use { socket ->
                    socket.getOutputStream().write(frame)
                    socket.getInputStream().read() shouldBe -1
                }
            }
            Socket("127.0.0.1", port(two)).use { it.getOutputStream().write(byteArrayOf(1, 0, 0)) }
            two.counts().badFrames shouldBe frames.size.toLong()
            exchange(two.address, PeerRequest.Outcome("still open")).shouldBeInstanceOf<PeerOutcome.Replied>()
        }

        // Guards against LOST: a message over the limit closed the connection, with all that was in progress on it.
        test("a message over the limit is not sent, and the requests beside it on the connection are answered") {
            val budget = MemoryBudget(10_000_000) { _, _ -> }
            val slow = object : PeerHandler {
                override fun onProbe(message: ProbeMessage, from: String) = Unit

                override fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit) {
                    val key = (request as PeerRequest.Outcome).key
                    val delayed = CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS)
                    CompletableFuture.runAsync({ reply(PeerReply.Outcome(key)) }, delayed)
                }
            }
            val limited =
                List(2) { PeerLink("127.0.0.1:0", limits = LinkLimits(2_000, budget)).also { it.start(slow) } }
            val (from, to) = limited
            fun request(key: String) = CompletableFuture<PeerOutcome>().also {
                from.request(to.address, PeerRequest.Outcome(key), TIMEOUT_MS, it::complete)
            }
            val small = request("small")
            request("k".repeat(3_000)).get() shouldBe PeerOutcome.Failed(sent = false)
            small.get() shouldBe PeerOutcome.Replied(PeerReply.Outcome("small"))
            limited.forEach { it.close() }
        }

        test("a garbage datagram is counted and dropped") {
            val before = two.counts().badFrames
            DatagramSocket().use { socket ->
                val bytes = ByteArray(50) { it.toByte() }
                socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), port(two)))
            }
            eventually(10.seconds) { two.counts().badFrames shouldBeGreaterThanOrEqual before + 1 }
        }

        test("a request to an unreachable peer is reported as not sent") {
            val closedPort = ServerSocket(0).use { it.localPort }
            exchange("127.0.0.1:$closedPort", PeerRequest.CatchUp(0)) shouldBe PeerOutcome.Failed(sent = false)
        }
    })
