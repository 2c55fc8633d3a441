/*
 * The targets of a soak: they work for the steps that each request names, at times slower, and record what reached
 * them. Some responses have neither a length nor chunks, and some are broken off, also inside an event. Engines crash
 * when they begin to answer a prompt with one particular part.
 */
package org.sesamerouter.soak

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.sesamerouter.clock.Clock
import org.sesamerouter.front.PlatformStandin
import org.sesamerouter.web.BodyFraming
import org.sesamerouter.web.IncomingRequest
import java.util.Random
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val SLOW_SHARE = 0.08 // of the requests of a target
private const val SLOW_FACTOR = 3
private const val SLOTS = 24
private const val STAGE_CALL_MIN_MS = 20L
private const val STAGE_CALL_SPREAD_MS = 250
private const val LONG_STAGE_CALL_MS = 1_500L
private const val LONG_STAGE_CALL_SHARE = 0.05
private const val UNFRAMED_SHARE = 0.3 // of the responses
private const val BROKEN_SHARE = 0.08
private const val ORDERLY_BREAK_SHARE = 0.5 // of the streams that are broken off

private const val BEGIN_MS = 60L
private const val CRASH_MS = 10L
private const val RESTART_MS = 2_500L
private const val ENTRY_EXPIRY_MS = 3_600L

/** The part of a prompt that crashes engines. */
internal const val CRASHING_PART = "bad"

/** The targets of one soak. */
internal class SoakTargets(private val platform: PlatformStandin, private val clock: Clock, seed: Long) {
    private val random = Random(seed)
    private val runs = ArrayList<TargetRun>()
    private val engineNumber = AtomicInteger()

    /** Registers [engines] engines, [desks] targets of plain requests and [stages] stage targets with the store. */
    fun start(engines: Int, desks: Int, stages: Int) {
        repeat(engines) { Engine().start() }
        repeat(desks) { register("d$it", "desk", target()) }
        repeat(stages) { register("s$it", "stock", platform.stageTarget(::stageCallMs)) }
    }

    /** All runs so far. */
    fun runs(): List<TargetRun> = synchronized(runs) { runs.toList() }

    private fun register(id: String, service: String, address: String) {
        val entry = """
            {"service":"$service","address":"$address","zone":"west","version":"v1","slots":$SLOTS,"state":"ready",
             "cold-left-ms":0,"seq-no":1,"born":${clock.nowMs()}}
        """.trimIndent()
        platform.store.put("keyed.servers", id, entry)
    }

    private fun stageCallMs(): Long = synchronized(random) {
        val isLong = random.nextDouble() < LONG_STAGE_CALL_SHARE
        if (isLong) LONG_STAGE_CALL_MS else STAGE_CALL_MIN_MS + random.nextInt(STAGE_CALL_SPREAD_MS)
    }

    private fun slowness(): Int = synchronized(random) { if (random.nextDouble() < SLOW_SHARE) SLOW_FACTOR else 1 }

    private fun chance(share: Double): Boolean = synchronized(random) { random.nextDouble() < share }

    private fun randomInt(bound: Int): Int = synchronized(random) { random.nextInt(bound) }

    private fun target(): String {
        val works = LinkedHashSet<Work>()
        return platform.listen { accept(it, works) {} }
    }

    private fun accept(request: IncomingRequest, works: LinkedHashSet<Work>, crash: () -> Unit) {
        val id = request.headers.get("Request-Id")
        when {
            id == null -> request.reply(200, "{}".toByteArray())
            works.size >= SLOTS -> request.reply(503, headers = answerHeaders(id).set("Not-Run", "1"))
            else -> Work(request, id, begin(id, request), works, crash).start()
        }
    }

    /** An engine that crashes when it begins to answer a prompt with the crashing part, and starts again. */
    private inner class Engine {
        private val works = LinkedHashSet<Work>()
        private val id = "m${engineNumber.getAndIncrement()}"
        private val server = platform.serve { accept(it, works, ::crash) }
        private var isUp = true

        fun start() = register(id, "model", server.first)

        private fun crash() {
            if (!isUp) return
            isUp = false
            works.toList().forEach { it.crash() }
            server.second.close()
            // A server is not started on the event loop that it is to run on.
            platform.schedule(RESTART_MS) { thread { Engine().start() } }
            platform.schedule(ENTRY_EXPIRY_MS) { platform.store.put("keyed.servers", id, "") }
        }
    }

    private fun answerHeaders(id: String) = DefaultHttpHeaders().set("Request-Id", id)

    private fun begin(id: String, request: IncomingRequest): Int = synchronized(runs) {
        val inputs = request.headers.get("Inputs")?.split(',')?.map { it.trim() }.orEmpty()
        runs += TargetRun(id, clock.nowMs(), endedMs = null, RunEnding.RUNNING, inputs, hasCrashingPart(request))
        runs.lastIndex
    }

    private fun hasCrashingPart(request: IncomingRequest) =
        "$CRASHING_PART:" in request.headers.get("Prefix-Hash").orEmpty()

    /** One run of a request at a target; used on the event loop of the stand-ins. */
    private inner class Work(
        private val request: IncomingRequest,
        private val id: String,
        private val run: Int,
        private val works: MutableSet<Work>,
        private val crashTarget: () -> Unit,
    ) {
        private val steps = request.body.decodeToString().substringBefore(',').toInt()
        private val stepMs = request.body.decodeToString().substringAfter(',').toLong() * slowness()
        private val isStream = RequestKind.entries.first { request.uri.startsWith(it.pathPrefix) }.isStream
        private var done = request.headers.get("Last-Event-Id")?.toInt() ?: 0
        private var isOver = false
        private val framing = if (chance(UNFRAMED_SHARE)) BodyFraming.CONNECTION_END else BodyFraming.CHUNKS

        /** The step at which the response is broken off; null if it is not. */
        private val breakingStep = if (chance(BROKEN_SHARE)) 1 + randomInt(steps) else null

        fun start() {
            works += this
            request.onClosed = { end(RunEnding.DROPPED) }
            if (isStream && hasCrashingPart(request)) {
                platform.schedule(BEGIN_MS, ::beginAndCrash)
            } else {
                platform.schedule(stepMs, ::step)
            }
        }

        private fun beginAndCrash() {
            if (isOver) return
            startResponse("text/event-stream")
            platform.schedule(CRASH_MS) {
                if (isOver) return@schedule
                end(RunEnding.CRASHED)
                crashTarget()
                request.abort()
            }
        }

        /** Ends the request with its target. */
        fun crash() {
            end(RunEnding.BROKEN_OFF)
            request.abort()
        }

        private fun step() {
            if (isOver) return
            done++
            val isBreaking = done == breakingStep
            if (isStream) writeStream(eventText(id, done), isBreaking)
            when {
                isBreaking -> breakOff()
                done < steps -> platform.schedule(stepMs, ::step)
                else -> finish()
            }
        }

        private fun writeStream(event: String, isBreaking: Boolean) {
            startResponse("text/event-stream")
            write(if (isBreaking) event.take(1 + randomInt(event.length - 1)) else event)
        }

        private fun startResponse(type: String) {
            val headers = answerHeaders(id).set("Server-Stamp", stampOf(id)).set("Content-Type", type)
            if (!request.isResponseStarted) request.startResponse(200, headers, framing)
        }

        private fun write(text: String) = request.write(Unpooled.copiedBuffer(text, Charsets.UTF_8))

        /** Ends the response early; a stream ends inside an event, half of them as if complete. */
        private fun breakOff() {
            if (!isStream) {
                startResponse("text/plain")
                write("answer")
            }
            if (isStream && chance(ORDERLY_BREAK_SHARE)) request.end() else request.abort()
            end(RunEnding.BROKEN_OFF)
        }

        private fun finish() {
            val body = "answer to $id: " + request.body.decodeToString()
            when {
                isStream -> request.end()

                framing == BodyFraming.CONNECTION_END -> {
                    startResponse("text/plain")
                    write(body)
                    request.end()
                }

                else -> request.reply(200, body.toByteArray(), answerHeaders(id).set("Server-Stamp", stampOf(id)))
            }
            end(RunEnding.FINISHED)
        }

        private fun end(ending: RunEnding) {
            if (isOver) return
            isOver = true
            works -= this
            synchronized(runs) { runs[run] = runs[run].copy(endedMs = clock.nowMs(), ending = ending) }
        }
    }
}
