/*
 * Starts a host against a minimal platform in this process, sends one request through it, and measures the processor
 * time until the host is ready and until the response has arrived. The build also runs it to find the classes for the
 * class archive.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.clock.systemClock
import org.sesamerouter.platform.FrontSettings
import org.sesamerouter.platform.ProbePlatform
import org.sesamerouter.platform.READY_PATH
import org.sesamerouter.web.BodyFraming
import org.sesamerouter.web.CallFailure
import org.sesamerouter.web.ConnectionSharing
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.OutgoingRequest
import org.sesamerouter.web.RequestLimits
import org.sesamerouter.web.ResponseListener
import org.sesamerouter.web.startRequestServer
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val OK = 200
private const val TIMEOUT_MS = 20_000L
private const val POLL_MS = 5L
private const val GRACE_MS = 3_000L
private const val ADDRESS_TTL_MS = 2_000L

/**
 * Processor time of this process.
 *
 * @property readyCpuMs until the host was ready.
 * @property servedCpuMs until the first response was received.
 */
data class StartupTimes(val readyCpuMs: Long, val servedCpuMs: Long)

/** Runs the probe; fails with an [IllegalStateException] if the host does not become ready or answer in time. */
fun probeStartup(): StartupTimes {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val clock = systemClock()
    val platformAddress = freeAddress()
    val platform = ProbePlatform(platformAddress)
    startRequestServer(platformAddress, group, clock, { RequestLimits() }, handler = platform::onRequest)
    val settings = probeSettings(platformAddress)
    startFrontHost(settings)
    val client = ForwardClient(group.next() as EventLoop, clock)

    fun statusOf(address: String, request: OutgoingRequest): Int {
        val response = StatusListener()
        group.execute { client.send(address, request, response) }
        return response.status.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    val endMs = clock.nowMs() + TIMEOUT_MS
    val headers = DefaultHttpHeaders().set("Host", "probe")
    val ready = OutgoingRequest("GET", READY_PATH, headers, ByteArray(0), sharing = ConnectionSharing.IN_ORDER)
    while (statusOf(settings.readyAddress, ready) != OK) {
        check(clock.nowMs() < endMs) { "the host is not ready after $TIMEOUT_MS ms" }
        Thread.sleep(POLL_MS)
    }
    val readyCpuMs = processCpuMs()
    val status = statusOf(settings.requestAddress, platform.callerRequest())
    check(status == OK) { "the request through the host ended with status $status" }
    return StartupTimes(readyCpuMs, processCpuMs())
}

private fun probeSettings(storeAddress: String) = FrontSettings(
    name = "probe",
    ip = "127.0.0.1",
    dataCentre = "probe",
    requestAddress = freeAddress(),
    readyAddress = freeAddress(),
    directoryAddress = freeAddress(),
    linkAddress = freeAddress(),
    seedAddresses = emptyList(),
    storeAddress = storeAddress,
    graceMs = GRACE_MS,
    addressTtlMs = ADDRESS_TTL_MS,
    retryShare = 0.1,
    retrySlack = 1.0,
)

/** A loopback address of this process: on 127.0.0.1 an outgoing connection may take a port before it is bound. */
private val ownIp = ProcessHandle.current().pid().let { "127.${100 + it % 100}.${it / 100 % 250}.1" }

/** Returns a loopback address whose port was free a moment ago. */
internal fun freeAddress(): String = ServerSocket(0, 1, InetAddress.getByName(ownIp)).use { "$ownIp:${it.localPort}" }

private fun processCpuMs(): Long = ProcessHandle.current().info().totalCpuDuration().map { it.toMillis() }.orElse(-1)

private class StatusListener : ResponseListener {
    val status = CompletableFuture<Int>()
    private var received = 0

    override fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming) {
        received = status
    }

    override fun onBody(content: ByteBuf) = Unit

    override fun onEnd() {
        status.complete(received)
    }

    override fun onFailed(failure: CallFailure) {
        status.completeExceptionally(IllegalStateException(failure.cause))
    }
}
