/*
 * Tests over real sockets that engines which crash on one part of a prompt are protected by all hosts together.
 */
package org.sesamerouter.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

private const val HOSTS = 3
private const val ENGINES = 8
private const val REQUESTS = 30
private const val MAX_CRASHES = 5
private const val STREAM_HEAD = "Server-Stamp: proof\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"

/** Engines that end when they begin to answer a prompt with the part "bad", and start again under a new id. */
private class CrashingEngines(private val site: Site) : AutoCloseable {
    private val engines = ConcurrentLinkedQueue<RawTarget>()
    private val started = AtomicInteger()
    val crashes = AtomicInteger()

    fun start() {
        var engine: RawTarget? = null
        engine = RawTarget { request, socket -> answer(request, socket) { checkNotNull(engine).close() } }
        engines += engine
        site.register("m${started.incrementAndGet()}", "model", engine.address)
    }

    private fun answer(request: RawRequest, socket: Socket, end: () -> Unit) {
        val head = "HTTP/1.1 200 OK\r\nRequest-Id: ${request.id}\r\n$STREAM_HEAD\r\n\r\n"
        if ("bad:" in request.headers.getValue("prefix-hash")) {
            crashes.incrementAndGet()
            end()
            socket.send(head)
            start()
        } else {
            val event = "id: 1\ndata: x\n\n"
            socket.send(head + "${event.length.toString(16)}\r\n$event\r\n0\r\n\r\n")
        }
    }

    override fun close() = engines.forEach { it.close() }
}

class CrashingPromptSpec :
    FunSpec({
        // Each request has another body and another last part, so that nothing but the part tells them apart.
        test("a part that crashes engines is held back by all hosts, sound prompts with the other parts are served") {
            Site().use { site ->
                CrashingEngines(site).use { engines ->
                    site.declare(1, "\"k1\"")
                    repeat(ENGINES) { engines.start() }
                    repeat(HOSTS) { site.startHost() }
                    site.awaitReady(HOSTS)
                    val sound = (0 until REQUESTS).map { number ->
                        site.send(number % HOSTS, "/chat/x", "b$number", parts = "ab:10,bad:20,l$number:5").get()
                        site.send((number + 1) % HOSTS, "/chat/x", "s$number", parts = "ab:10,ok:20,m$number:5").get()
                    }
                    engines.crashes.get() shouldBeLessThanOrEqual MAX_CRASHES
                    sound.takeLast(REQUESTS / 2).map { it.status } shouldContainOnly setOf(200)
                }
            }
        }
    })
