/*
 * Stand-in for a target: an engine, a stage of a pool or a plain service. It runs a bounded number of requests side by
 * side, queues some, computes answers that anyone can check from the input, and can be slow, crash, leave or cut.
 */
package org.sesamerouter.standin

import io.netty.channel.EventLoopGroup
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.sesamerouter.api.WireJson
import org.sesamerouter.target.EngineOrder
import org.sesamerouter.target.LoadReport
import org.sesamerouter.target.ModelState
import org.sesamerouter.target.TargetLine
import org.sesamerouter.target.TargetPaths
import org.sesamerouter.target.TargetRefusal
import org.sesamerouter.target.TargetRun
import org.sesamerouter.web.HttpCall
import org.sesamerouter.web.HttpServer
import org.sesamerouter.web.startHttpServer
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val MAX_BODY_BYTES = 32 * 1024 * 1024
private const val MAX_CACHED_PREFIXES = 8
private const val PREFIX_CHARS = 64
private const val PREFIX_HIT_SHARE = 0.3
private const val RELOAD_MS = 400L

/** Input member that makes a target crash: the stand-in for a request that crashes each engine. */
const val POISON_MEMBER = "poison"

/**
 * How a target behaves; may be changed while it runs.
 *
 * @property serviceMs time of one request before its first output.
 * @property tokenMs time between tokens.
 * @property slowdown factor on all times.
 * @property queueLimit requests that wait for a slot; one more is refused.
 * @property errorShare share of requests that end with an error.
 * @property cutShare share of generated answers that are cut at half.
 * @property cachesPrefixes whether a prompt whose prefix is cached takes less time.
 */
@Serializable
data class TargetBehaviour(
    val slots: Int = 4,
    val serviceMs: Long = 10,
    val tokenMs: Long = 2,
    val slowdown: Double = 1.0,
    val queueLimit: Int = 64,
    val leaving: Boolean = false,
    val errorShare: Double = 0.0,
    val cutShare: Double = 0.0,
    val cachesPrefixes: Boolean = false,
    val checksFencing: Boolean = true,
    val generates: Boolean = false,
    val networkMs: Long = 0,
)

/** Path at which a target stand-in tells its runs, a [RunRecord] a line. */
const val RUNS_PATH = "/v1/runs"
private const val KEPT_RUNS = 200_000

/** One run as the target saw it, for checking histories. */
@Serializable
data class RunRecord(val request: String, val attempt: Int, val operation: String, val input: JsonElement)

/** A target on loopback. [onRun] hears of every run that starts. */
class TargetStandin(
    val name: String,
    address: String,
    private val group: EventLoopGroup,
    @Volatile var behaviour: TargetBehaviour = TargetBehaviour(),
    private val onRun: (RunRecord) -> Unit = {},
) {
    private val starts = AtomicLong()
    private val waiting = ArrayDeque<Work>()
    private val prefixes = LinkedHashSet<String>()
    private val runs = ArrayDeque<RunRecord>()
    private var running = 0
    private var server: HttpServer
    private var highestFence = -1L
    private var models: List<ModelState> = emptyList()
    private var role = "both"

    /** Deaths so far. */
    val crashes = AtomicInteger()

    /** Runs that found their prefix cached. */
    val prefixHits = AtomicInteger()

    /** Orders taken and orders refused for an old fencing number. */
    val ordersTaken = AtomicInteger()
    val ordersRefused = AtomicInteger()
    val address: String

    @Volatile
    private var alive = true

    /** Whether the target runs. */
    val isAlive: Boolean get() = alive

    private class Work(val call: HttpCall, val run: TargetRun, val life: Long) {
        @Volatile
        var gone = false
    }

    init {
        server = startHttpServer(address, group, MAX_BODY_BYTES, ::handle)
        this.address = "${address.substringBeforeLast(':')}:${server.port}"
    }

    private val incarnation: String get() = "$name-${starts.get()}"

    /** Returns the load of this moment. */
    @Synchronized
    fun load() = LoadReport(
        incarnation,
        running,
        waiting.size,
        behaviour.slots,
        behaviour.leaving,
        models = models,
        role = role,
    )

    /** Dies: every connection breaks and the port closes. */
    @Synchronized
    fun crash() {
        if (!alive) return
        alive = false
        crashes.incrementAndGet()
        starts.incrementAndGet()
        running = 0
        waiting.clear()
        prefixes.clear()
        models = emptyList()
        val dying = server
        group.execute { Thread({ dying.close() }, "crash-$name").start() }
    }

    /** Starts again at the same address, as a new incarnation. */
    fun restart() {
        if (alive) return
        server = startHttpServer(address, group, MAX_BODY_BYTES, ::handle)
        alive = true
    }

    /** Ends the target. */
    fun close() {
        alive = false
        server.close()
    }

    private fun handle(call: HttpCall) {
        val delay = behaviour.networkMs
        if (delay == 0L) serve(call) else group.schedule({ serve(call) }, delay, TimeUnit.MILLISECONDS)
    }

    private fun serve(call: HttpCall) {
        if (!alive) return
        when (call.path) {
            TargetPaths.LOAD -> call.reply(200, WireJson.encodeToString(LoadReport.serializer(), load()))
            TargetPaths.RUN -> accept(call)
            TargetPaths.ORDERS -> order(call)
            RUNS_PATH -> tellRuns(call)
            else -> call.reply(404, "{}")
        }
    }

    @Synchronized
    private fun tellRuns(call: HttpCall) {
        val lines = runs.joinToString("\n") { WireJson.encodeToString(RunRecord.serializer(), it) }
        call.reply(200, lines, "application/x-ndjson")
    }

    @Synchronized
    private fun order(call: HttpCall) {
        val order = WireJson.decodeFromString(EngineOrder.serializer(), call.body)
        if (behaviour.checksFencing && order.fence < highestFence) {
            ordersRefused.incrementAndGet()
            call.reply(409, """{"fence":$highestFence}""")
            return
        }
        highestFence = maxOf(highestFence, order.fence)
        ordersTaken.incrementAndGet()
        group.schedule({
            synchronized(this) {
                models = order.models
                role = order.role
            }
        }, RELOAD_MS, TimeUnit.MILLISECONDS)
        call.reply(200, "{}")
    }

    private fun accept(call: HttpCall) {
        val run = WireJson.decodeFromString(TargetRun.serializer(), call.body)
        val work = Work(call, run, starts.get())
        call.onClosed = { work.gone = true }
        synchronized(this) {
            if (behaviour.leaving || waiting.size >= behaviour.queueLimit) {
                val refusal = TargetRefusal(run.request, run.attempt, behaviour.leaving)
                call.reply(503, WireJson.encodeToString(TargetRefusal.serializer(), refusal))
            } else if (running < behaviour.slots) {
                start(work)
            } else {
                waiting.addLast(work)
            }
        }
    }

    private fun start(work: Work) {
        running++
        val record = RunRecord(work.run.request, work.run.attempt, work.run.operation, work.run.input)
        runs.addLast(record)
        if (runs.size > KEPT_RUNS) runs.removeFirst()
        onRun(record)
        val ms = work.run.input.member("work_ms")?.toLongOrNull() ?: behaviour.serviceMs
        val hit = behaviour.cachesPrefixes && touchPrefix(work.run.input.toString().take(PREFIX_CHARS))
        val jitter = 0.8 + 0.4 * ThreadLocalRandom.current().nextDouble()
        val total = ms * behaviour.slowdown * jitter * if (hit) PREFIX_HIT_SHARE else 1.0
        group.schedule({ firstOutput(work) }, total.toLong(), TimeUnit.MILLISECONDS)
    }

    private fun touchPrefix(prefix: String): Boolean {
        val hit = prefixes.remove(prefix)
        prefixes.add(prefix)
        if (prefixes.size > MAX_CACHED_PREFIXES) prefixes.remove(prefixes.first())
        if (hit) prefixHits.incrementAndGet()
        return hit
    }

    private fun firstOutput(work: Work) {
        if (work.life != starts.get() || !alive) return
        if (behaviour.generates && work.run.input.member(POISON_MEMBER) == "true") {
            crash()
            return
        }
        if (ThreadLocalRandom.current().nextDouble() < behaviour.errorShare) {
            work.call.reply(500, "{}")
            finish(work)
            return
        }
        work.call.startStream("application/x-ndjson")
        if (behaviour.generates) {
            val tokens = expectedTokens(work.run.input, work.run.upstream, work.run.maxTokens)
            val cut = ThreadLocalRandom.current().nextDouble() < behaviour.cutShare
            generate(work, tokens, work.run.resumeFrom, if (cut) tokens.size / 2 else -1)
        } else {
            val output = expectedOutput(work.run.stage, work.run.operation, work.run.input, work.run.upstream)
            writeEnd(work, output, 0)
        }
    }

    private fun generate(work: Work, tokens: List<String>, position: Int, cutAt: Int) {
        if (work.life != starts.get() || !alive) return
        if (work.gone || position == cutAt) {
            work.call.abort()
            finish(work)
            return
        }
        if (position >= tokens.size) {
            writeEnd(work, null, tokens.size)
            return
        }
        val writable = work.call.isWritable
        if (writable) writeLine(work, TargetLine(work.run.request, work.run.attempt, position, tokens[position]))
        val next = if (writable) position + 1 else position
        val ms = (behaviour.tokenMs * behaviour.slowdown).toLong()
        group.schedule({ generate(work, tokens, next, cutAt) }, ms, TimeUnit.MILLISECONDS)
    }

    private fun writeEnd(work: Work, output: JsonElement?, count: Int) {
        val run = work.run
        finish(work)
        writeLine(work, TargetLine(run.request, run.attempt, end = true, count = count, output = output, load = load()))
        work.call.endStream()
    }

    private fun writeLine(work: Work, line: TargetLine) {
        work.call.write(WireJson.encodeToString(TargetLine.serializer(), line) + "\n")
    }

    @Synchronized
    private fun finish(work: Work) {
        if (work.life != starts.get()) return
        running--
        while (running < behaviour.slots) {
            val next = waiting.removeFirstOrNull() ?: return
            if (!next.gone) start(next)
        }
    }
}

/** Returns what a stage that does not generate answers; callers check theirs against it. */
fun expectedOutput(stage: String, operation: String, input: JsonElement, upstream: JsonElement?): JsonElement {
    val seed = "$stage|$operation|$input|$upstream".hashCode()
    return JsonObject(mapOf("stage" to JsonPrimitive(stage + operation), "digest" to JsonPrimitive(seed)))
}

/** Returns the tokens that an engine generates; the text follows from the input and the stage before. */
fun expectedTokens(input: JsonElement, upstream: JsonElement?, count: Int): List<String> {
    val seed = "$input|$upstream".hashCode()
    return List(count) { "w${(seed + it * 31) and 0xffff} " }
}

private fun JsonElement.member(name: String): String? =
    ((this as? JsonObject)?.jsonObject?.get(name) as? JsonPrimitive)?.jsonPrimitive?.content
