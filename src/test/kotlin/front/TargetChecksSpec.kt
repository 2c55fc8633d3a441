/*
 * Tests that the check of a target ends, whatever the target sends.
 */
package org.sesamerouter.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.sesamerouter.clock.systemClock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.TargetVerdict
import org.sesamerouter.web.ForwardClient
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class TargetChecksSpec :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val loop = group.next() as EventLoop
        afterSpec { group.shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        // Guards against CONFIG: the answers to checks that never end are read for good, one more with each check.
        test("the connection of a check whose answer has no end is closed") {
            val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
            val isClosed = CompletableFuture<Boolean>()
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    socket.getInputStream().read()
                    socket.send("HTTP/1.1 200 OK\r\nInstance-Id: d0\r\nTransfer-Encoding: chunked\r\n\r\n")
                    try {
                        while (true) socket.send("1\r\nx\r\n")
                    } catch (_: SocketException) {
                        isClosed.complete(true)
                    }
                }
            }
            val verdict = CompletableFuture<TargetVerdict>()
            val checks =
                TargetChecks(ForwardClient(loop, systemClock()), loop) { _, found, _ -> verdict.complete(found) }
            val address = "127.0.0.1:${server.localPort}"
            checks.start(TargetEntry("d0", "desk", address, "west", 1, isDraining = false, startTimeMs = 1), "/health")
            verdict.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe TargetVerdict.RUNS
            isClosed.get(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
            server.close()
        }
    })
