/*
 * The targets of a soak: they work for the steps that each request names, at times slower, and record what reached
 * them. Some responses have neither a length nor chunks, and some are broken off, also inside an event. Engines crash
 * when they begin to answer a prompt with one particular part. Besides, the targets have the troubles of the plan.
 */
package org.sesamerouter.soak

import org.sesamerouter.clock.Clock
import org.sesamerouter.front.PlatformStandin
import org.sesamerouter.web.BodyFraming
import java.util.Random
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val SLOW_SHARE = 0.08 // of the requests of a target
private const val SLOW_FACTOR = 3
private const val SLOTS = 24
private const val UNFRAMED_SHARE = 0.3 // of the responses
private const val BROKEN_SHARE = 0.08
private const val ORDERLY_BREAK_SHARE = 0.5 // of the streams that are broken off

private const val BEGIN_MS = 60L
private const val CRASH_MS = 10L
private const val RESTART_MS = 2_500L
private const val ENTRY_EXPIRY_MS = 3_600L

private const val ORDERLY_COPY_SHARE = 0.5 // of the copies, which come while a request waits
private const val IMMEDIATE_COPY_SHARE = 0.5
private const val MAX_LATE_ANSWERS = 3
private const val MAX_LATE_MS = 2_000
private const val MISSING_BYTES = 7
private const val REJECTED_STATUS = 503
private const val BUSY_STATUS = 429
private const val LOST_INPUTS_STATUS = 409
private const val ERROR_STATUS = 500
private const val TIMEOUT_STATUS = 504
private const val SURPLUS = "surplus"
private val JUNK = listOf(
    "HTTP/1.1 200 OK\r\nb\u0007d name: 1\r\nContent-Length: 2\r\n\r\nok",
    "\u0000\u0001\u0002 not an answer\r\n\r\n",
    "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
)

/** The part of a prompt that crashes engines. */
internal const val CRASHING_PART = "bad"

/** The targets of one soak, with [troubles]. */
internal class SoakTargets(
    private val platform: PlatformStandin,
    private val clock: Clock,
    seed: Long,
    private val troubles: List<TroubleSpan>,
) {
    private val random = Random(seed)
    private val runs = ArrayList<TargetRun>()
    private val engineNumber = AtomicInteger()
    private val stageTargets = LinkedHashMap<String, SoakStageTarget>()

    /** Number of second copies that were sent. */
    val copies = AtomicInteger()

    /** When the load started. */
    @Volatile
    private var loadStartedMs = Long.MAX_VALUE

    /** Starts the targets [engines], the targets of plain requests [desks] and the stage targets [stages]. */
    fun start(engines: List<String>, desks: List<String>, stages: List<String>) {
        engines.forEach { Engine(it).start() }
        desks.forEach { desk ->
            val works = LinkedHashSet<Work>()
            register(desk, "desk", serve(desk) { accept(desk, "desk", it, works) {} }.address)
        }
        for (stage in stages) {
            val target = SoakStageTarget(platform, ::randomInt, { hasTrouble(stage, it) }, ::isLost)
            stageTargets[stage] = target
            register(stage, "stock", serve(stage, target::accept).also { target.address = it.address }.address)
        }
    }

    /** Starts the troubles, whose times count from now. */
    fun startTroubles() {
        loadStartedMs = clock.nowMs()
        troubles.filter { it.trouble == Trouble.LOST_RESULTS }.forEach {
            platform.schedule(it.span.fromMs, stageTargets.getValue(it.target)::loseAll)
        }
    }

    /** All runs so far, in the order of their arrival. */
    fun runs(): List<TargetRun> = synchronized(runs) { runs.toList() }

    /** All results of stages so far. */
    fun stageResults(): List<StageResult> = stageTargets.values.flatMap { it.results() }

    private fun register(id: String, service: String, address: String) {
        val entry = """
            {"service":"$service","address":"$address","zone":"west","version":"v1","slots":$SLOTS,"state":"ready",
             "cold-left-ms":0,"seq-no":1,"born":${clock.nowMs()}}
        """.trimIndent()
        platform.store.put("keyed.servers", id, entry)
    }

    private fun serve(name: String, accept: (TargetCall) -> Unit) =
        TargetServer(platform.eventLoopGroup, clock, { copies.incrementAndGet() }) { call ->
            if (hasTrouble(name, Trouble.COPIES)) call.copy = randomCopy()
            accept(call)
        }

    private fun randomCopy() = LateCopy(
        lateAnswers = randomInt(1 + MAX_LATE_ANSWERS),
        lateMs = if (chance(IMMEDIATE_COPY_SHARE)) 0 else randomInt(1 + MAX_LATE_MS).toLong(),
        isForCall = chance(ORDERLY_COPY_SHARE),
    )

    /** Whether [name] is to do [trouble] now. */
    private fun hasTrouble(name: String, trouble: Trouble): Boolean {
        val atMs = clock.nowMs() - loadStartedMs
        return troubles.any {
            it.target == name && it.trouble == trouble && atMs in it.span.fromMs..it.span.toMs && chance(it.share)
        }
    }

    private fun slowness(): Int = synchronized(random) { if (random.nextDouble() < SLOW_SHARE) SLOW_FACTOR else 1 }

    private fun chance(share: Double): Boolean = synchronized(random) { random.nextDouble() < share }

    private fun randomInt(bound: Int): Int = synchronized(random) { random.nextInt(bound) }

    private fun accept(name: String, service: String, call: TargetCall, works: LinkedHashSet<Work>, crash: () -> Unit) {
        val id = call.header("Request-Id") ?: return call.answer(200, body = "{}")
        val rejection = when {
            works.size >= SLOTS -> REJECTED_STATUS
            hasTrouble(name, Trouble.REJECTIONS) -> if (chance(0.5)) REJECTED_STATUS else BUSY_STATUS
            inputsOf(call).any(::isLost) -> LOST_INPUTS_STATUS
            else -> null
        }
        val run = begin(id, service, call)
        if (rejection == null) return Work(name, call, id, run, works, crash).start()
        end(run, RunEnding.REJECTED, rejection)
        call.answer(rejection, answerHeaders(id) + ("Not-Run" to "1"))
    }

    private fun isLost(handle: String) = stageTargets.values.any { it.hasLost(handle) }

    /** An engine that crashes when it begins to answer a prompt with the crashing part, and starts again. */
    private inner class Engine(private val name: String) {
        private val works = LinkedHashSet<Work>()
        private val id = "m${engineNumber.getAndIncrement()}"
        private val server = serve(name) { accept(name, "model", it, works, ::crash) }
        private var isUp = true

        fun start() = register(id, "model", server.address)

        private fun crash() {
            if (!isUp) return
            isUp = false
            works.toList().forEach { it.crash() }
            server.close()
            // A server is not started on the event loop that it is to run on.
            platform.schedule(RESTART_MS) { thread { Engine(name).start() } }
            platform.schedule(ENTRY_EXPIRY_MS) { platform.store.put("keyed.servers", id, "") }
        }
    }

    private fun answerHeaders(id: String) = mapOf("Request-Id" to id)

    private fun inputsOf(call: TargetCall) = call.header("Inputs")?.split(',')?.map { it.trim() }.orEmpty()

    private fun begin(id: String, service: String, call: TargetCall): Int = synchronized(runs) {
        val now = clock.nowMs()
        val stamp = stampOf(id, runs.size)
        runs += TargetRun(
            id,
            now,
            endedMs = null,
            RunEnding.RUNNING,
            inputsOf(call),
            hasCrashingPart(call),
            service,
            stamp,
        )
        runs.lastIndex
    }

    private fun end(run: Int, ending: RunEnding, status: Int?) = synchronized(runs) {
        runs[run] = runs[run].copy(endedMs = clock.nowMs(), ending = ending, status = status)
    }

    private fun hasCrashingPart(call: TargetCall) = "$CRASHING_PART:" in call.header("Prefix-Hash").orEmpty()

    /** One run of a request at a target; used on the event loop of the stand-ins. */
    private inner class Work(
        name: String,
        private val call: TargetCall,
        private val id: String,
        private val run: Int,
        private val works: MutableSet<Work>,
        private val crashTarget: () -> Unit,
    ) {
        private val steps = call.body.substringBefore(',').toInt()
        private val stepMs = call.body.substringAfter(',').toLong() * slowness()
        private val isStream = RequestKind.entries.first { call.uri.startsWith(it.pathPrefix) }.isStream
        private val headers = answerHeaders(id) + ("Server-Stamp" to stampOf(id, run))
        private var done = call.header("Last-Event-Id")?.toInt() ?: 0
        private var isOver = false
        private val isFailing = hasTrouble(name, Trouble.ERRORS)
        private val isSpoiled = hasTrouble(name, Trouble.SPOILED)
        private val framing = if (chance(UNFRAMED_SHARE)) BodyFraming.CONNECTION_END else BodyFraming.CHUNKS

        /** The step at which the response is broken off; null if it is not. */
        private val breakingStep = if (chance(BROKEN_SHARE)) 1 + randomInt(steps) else null

        fun start() {
            works += this
            call.onClosed = { end(RunEnding.DROPPED) }
            if (isStream && hasCrashingPart(call)) {
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
                call.abort()
            }
        }

        /** Ends the request with its target. */
        fun crash() {
            end(RunEnding.BROKEN_OFF)
            call.abort()
        }

        private fun step() {
            if (isOver) return
            if (call.status == null && isFailing) return fail()
            if (isSpoiled && spoils()) return
            if (isStream && done >= steps) return finish() // resumed after its last event
            done++
            val isBreaking = done == breakingStep
            if (isStream) writeStream(eventText(id, done), isBreaking)
            when {
                isBreaking -> breakOff()
                done < steps -> platform.schedule(stepMs, ::step)
                else -> finish()
            }
        }

        private fun fail() {
            call.answer(if (chance(0.5)) ERROR_STATUS else TIMEOUT_STATUS, headers, "error of $id")
            end(RunEnding.FAILED)
        }

        /** Sends bytes that are no answer, or a cut body, in half of the cases; returns whether it did. */
        private fun spoils(): Boolean {
            if (chance(0.5)) return false
            when {
                call.status == null && chance(0.5) -> startCutBody()

                // Without chunks, whatever follows belongs to the body.
                call.status == null || framing == BodyFraming.CHUNKS -> call.writeRaw(JUNK[randomInt(JUNK.size)])
            }
            end(RunEnding.BROKEN_OFF)
            call.abort()
            return true
        }

        private fun startCutBody() {
            val type = if (isStream) "text/event-stream" else "text/plain"
            val cut = if (isStream) eventText(id, done + 1) else "answer to $id"
            call.start(200, headers + ("Content-Type" to type), BodyFraming.LENGTH, cut.length + MISSING_BYTES)
            call.write(cut)
        }

        private fun writeStream(event: String, isBreaking: Boolean) {
            startResponse("text/event-stream")
            call.write(if (isBreaking) event.take(1 + randomInt(event.length - 1)) else event)
        }

        private fun startResponse(type: String) {
            if (call.status == null) call.start(200, headers + ("Content-Type" to type), framing)
        }

        /** Ends the response early; a stream ends inside an event, half of them as if complete. */
        private fun breakOff() {
            if (!isStream) {
                startResponse("text/plain")
                call.write("answer")
            }
            end(RunEnding.BROKEN_OFF)
            if (isStream && chance(ORDERLY_BREAK_SHARE)) call.end() else call.abort()
        }

        private fun finish() {
            val body = "answer to $id: " + call.body
            end(RunEnding.FINISHED, status = 200)
            when {
                isStream -> {
                    startResponse("text/event-stream")
                    call.end()
                }

                framing == BodyFraming.CONNECTION_END -> {
                    startResponse("text/plain")
                    call.write(body)
                    call.end()
                }

                else -> {
                    call.answer(200, headers, body)
                    if (isSpoiled) call.sendSurplus(SURPLUS)
                }
            }
        }

        private fun end(ending: RunEnding, status: Int? = call.status) {
            if (isOver) return
            isOver = true
            works -= this
            end(run, ending, status)
        }
    }
}
