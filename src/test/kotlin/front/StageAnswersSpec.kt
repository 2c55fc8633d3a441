/*
 * Tests that a stage call ends with its own answer or with none. Answers to stage calls bear no id, so that only their
 * order on a connection tells which call they belong to.
 */
package org.sesamerouter.front

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.sesamerouter.batching.CallItem
import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.Piece
import org.sesamerouter.batching.PieceOutcome
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.clock.systemClock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.readHead
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val CALLS = 12
private const val FAULTY_CALL = 3
private const val REPORTS = 4
private const val FREE_BYTES = 5_000_000L
private val KEY = Regex(""""key":"(\w+)"""")

private fun response(status: Int, header: String, body: String) =
    "HTTP/1.1 $status X\r\n${header}Content-Length: ${body.length}\r\n\r\n$body"

/** A stage target whose answer to the call [FAULTY_CALL] is [faulty]; a second copy of it precedes the next answer. */
private class CopyingStageTarget(private val faulty: (own: String) -> String) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val calls = AtomicInteger()
    val address = "127.0.0.1:${server.localPort}"
    val connections = AtomicInteger()

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = server.accept()
                    connections.incrementAndGet()
                    thread(isDaemon = true) { runCatching { socket.use(::serve) } } // until the connection is closed
                }
            }
        }
    }

    private fun serve(socket: Socket) {
        var copy = ""
        while (true) {
            val key = readKey(socket)
            socket.send(copy)
            val own = response(200, "", """{"items":[{"handle":"$address/$key"}]}""")
            copy = if (calls.incrementAndGet() == FAULTY_CALL) faulty(own) else ""
            socket.send(copy.ifEmpty { own })
        }
    }

    private fun readKey(socket: Socket): String {
        val input = socket.getInputStream()
        val text = StringBuilder()
        while (true) {
            val next = input.read()
            check(next >= 0) { "connection closed" }
            text.append(next.toChar())
            if (text.endsWith("}]}")) return checkNotNull(KEY.find(text)).groupValues[1]
        }
    }

    override fun close() = server.close()
}

/** A stage target that answers each free twice, the second time where the next answer is due, and reports its space. */
private class FreeCopyingTarget : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = server.accept()
                    thread(isDaemon = true) { runCatching { socket.use(::serve) } } // until the connection is closed
                }
            }
        }
    }

    private fun serve(socket: Socket) {
        var copy = ""
        while (true) {
            val isFree = socket.readHead().startsWith("POST /v1/stage-free")
            if (isFree) while (socket.getInputStream().read() != '}'.code) Unit
            socket.send(copy)
            copy = if (isFree) response(200, "", "{}") else ""
            socket.send(if (isFree) copy else response(200, "", """{"free-mb":5}"""))
        }
    }

    override fun close() = server.close()
}

class StageAnswersSpec :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val loop = group.next() as EventLoop
        val clock = systemClock()
        val control = ControlLoop("test")
        val client = ForwardClient(loop, clock)
        val adapter =
            StageCallAdapter(client, loop, control, DecisionLog("test", clock), FrontMetrics(), { _, _ -> }, clock)
        afterSpec {
            control.close()
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }

        // Guards against MIXED: requests run with the results of others after one late second answer.
        test("no stage call is given the answer to another one after a second copy of an answer") {
            val faulty = mapOf<String, (String) -> String>(
                "results" to { it },
                "a rejection" to { response(503, "Not-Run: 1\r\n", "") },
                "no result" to { response(200, "", """{"items":[{"reason":"late"}]}""") },
                "a failure" to { response(500, "", "") },
            )
            for ((name, answer) in faulty) {
                val target = CopyingStageTarget(answer)
                val entry = TargetEntry("s1", "stock", target.address, "west", 1, isDraining = false, startTimeMs = 1)
                for (number in 1..CALLS) {
                    val items = listOf(CallItem("r$number", 0, Piece(0, "k$number"), TIMEOUT.inWholeMilliseconds))
                    val call = PoolEffect.Call(number.toLong(), entry, items, TIMEOUT.inWholeMilliseconds, 0)
                    val ended = CompletableFuture<CallOutcome>()
                    adapter.run(call, maxConnections = 64, ended::complete)
                    val own = CallOutcome.Answered(listOf(PieceOutcome.Made("${target.address}/k$number")))
                    val outcome = ended.get(TIMEOUT_S, TimeUnit.SECONDS)
                    val isDoubtful = number in FAULTY_CALL..FAULTY_CALL + 1
                    val allowed = if (isDoubtful) listOf(own, withoutResult(outcome)) else listOf(own)
                    withClue("call $number after a second copy of $name") { allowed shouldContain outcome }
                }
                withClue("connections after a second copy of $name") { target.connections.get() shouldBeLessThan 4 }
                target.close()
            }
        }

        // Guards against answers to calls without ids that end other calls on the same connection.
        test("a report of free space is not ended by a second copy of the answer to a free") {
            FreeCopyingTarget().use { target ->
                val entry = TargetEntry("s1", "stock", target.address, "west", 1, isDraining = false, startTimeMs = 1)
                repeat(REPORTS) {
                    val freed = CompletableFuture<Unit>()
                    adapter.free(PoolEffect.Free(0, entry, listOf("${target.address}/h"))) { freed.complete(Unit) }
                    freed.get(TIMEOUT_S, TimeUnit.SECONDS)
                    val space = CompletableFuture<Long?>()
                    adapter.askSpace(entry, space::complete)
                    space.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe FREE_BYTES
                }
            }
        }
    })

/** Returns [outcome] if it gives no result to the call; null otherwise. */
private fun withoutResult(outcome: CallOutcome): CallOutcome? = outcome.takeIf {
    it !is CallOutcome.Answered || it.items.none { item -> item is PieceOutcome.Made }
}
