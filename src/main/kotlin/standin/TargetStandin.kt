/*
 * Stand-in for a target: an engine, a stage of a pool or a plain service. It runs a bounded number of requests
 * concurrently and queues a bounded number. Its answers are a deterministic function of the input, so that callers can
 * verify them. It can simulate slow processing, crashes, draining and truncated streams.
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
private const val PREFIX_KEY_CHARS = 64
private const val PREFIX_HIT_TIME_FACTOR = 0.3
private const val MODEL_RELOAD_MS = 400L

/** Input member that makes a generating target crash. Simulates a request that crashes every engine that runs it. */
const val POISON_MEMBER = "poison"

/**
 * Simulated behaviour of a target. It can be replaced while the target runs.
 *
 * @property slots number of requests that run concurrently.
 * @property serviceMs time from the start of a request to its first output.
 * @property tokenMs time between two tokens.
 * @property slowdown factor applied to all times.
 * @property queueLimit number of requests that may wait for a slot; further ones are refused.
 * @property leaving whether the target is draining and refuses new requests.
 * @property errorShare fraction of requests that fail with an error.
 * @property cutShare fraction of generated answers that are truncated after half of their tokens.
 * @property cachesPrefixes whether a request takes less time if its prompt prefix is cached.
 * @property checksFencing whether an order with an outdated fencing token is refused.
 * @property generates whether the target generates tokens, as an engine does.
 * @property networkMs delay before a request is processed.
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

/** Path at which a stand-in of a target returns its runs as JSON lines, one [RunRecord] each. */
const val RUNS_PATH = "/v1/runs"
private const val MAX_RECORDED_RUNS = 200_000

/** One run as observed by the target. Used to check request histories. */
@Serializable
data class RunRecord(val request: String, val attempt: Int, val operation: String, val input: JsonElement)

/** A target with simulated [behaviour]. Calls [onRun] for every run that starts. */
class TargetStandin(
    val name: String,
    address: String,
    private val group: EventLoopGroup,
    @Volatile var behaviour: TargetBehaviour = TargetBehaviour(),
    private val onRun: (RunRecord) -> Unit = {},
) {
    private val incarnationCount = AtomicLong()
    private val queue = ArrayDeque<Task>()
    private val cachedPrefixes = LinkedHashSet<String>()
    private val runs = ArrayDeque<RunRecord>()
    private var runningTasks = 0
    private var server: HttpServer
    private var highestFence = -1L
    private var models: List<ModelState> = emptyList()
    private var role = "both"

    /** Number of crashes. */
    val crashes = AtomicInteger()

    /** Number of runs whose prompt prefix was cached. */
    val prefixHits = AtomicInteger()

    /** Number of accepted orders. */
    val ordersAccepted = AtomicInteger()

    /** Number of orders refused because of an outdated fencing token. */
    val ordersRefused = AtomicInteger()
    val address: String

    @Volatile
    private var alive = true

    val isAlive: Boolean get() = alive

    private class Task(val call: HttpCall, val run: TargetRun, val incarnationNumber: Long) {
        @Volatile
        var isClientDisconnected = false
    }

    init {
        server = startHttpServer(address, group, MAX_BODY_BYTES, handler = ::handle)
        this.address = "${address.substringBeforeLast(':')}:${server.port}"
    }

    private val incarnation: String get() = "$name-${incarnationCount.get()}"

    /** Returns the current load. */
    @Synchronized
    fun load() = LoadReport(
        incarnation,
        runningTasks,
        queue.size,
        behaviour.slots,
        behaviour.leaving,
        models = models,
        role = role,
    )

    /** Simulates a crash: drops all running and queued requests, breaks every connection and closes the port. */
    @Synchronized
    fun crash() {
        if (!alive) return
        alive = false
        crashes.incrementAndGet()
        incarnationCount.incrementAndGet()
        runningTasks = 0
        queue.clear()
        cachedPrefixes.clear()
        models = emptyList()
        val crashedServer = server
        group.execute { Thread({ crashedServer.close() }, "crash-$name").start() }
    }

    /** Restarts a crashed target at the same address, as a new incarnation. */
    fun restart() {
        if (alive) return
        server = startHttpServer(address, group, MAX_BODY_BYTES, handler = ::handle)
        alive = true
    }

    /** Stops the target. */
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
            TargetPaths.RUN -> enqueueOrStart(call)
            TargetPaths.ORDERS -> applyOrder(call)
            RUNS_PATH -> replyWithRuns(call)
            else -> call.reply(404, "{}")
        }
    }

    @Synchronized
    private fun replyWithRuns(call: HttpCall) {
        val lines = runs.joinToString("\n") { WireJson.encodeToString(RunRecord.serializer(), it) }
        call.reply(200, lines, "application/x-ndjson")
    }

    @Synchronized
    private fun applyOrder(call: HttpCall) {
        val order = WireJson.decodeFromString(EngineOrder.serializer(), call.body)
        if (behaviour.checksFencing && order.fence < highestFence) {
            ordersRefused.incrementAndGet()
            call.reply(409, """{"fence":$highestFence}""")
            return
        }
        highestFence = maxOf(highestFence, order.fence)
        ordersAccepted.incrementAndGet()
        group.schedule({
            synchronized(this) {
                models = order.models
                role = order.role
            }
        }, MODEL_RELOAD_MS, TimeUnit.MILLISECONDS)
        call.reply(200, "{}")
    }

    private fun enqueueOrStart(call: HttpCall) {
        val run = WireJson.decodeFromString(TargetRun.serializer(), call.body)
        val task = Task(call, run, incarnationCount.get())
        call.onClosed = { task.isClientDisconnected = true }
        synchronized(this) {
            if (behaviour.leaving || queue.size >= behaviour.queueLimit) {
                val refusal = TargetRefusal(run.request, run.attempt, behaviour.leaving)
                call.reply(503, WireJson.encodeToString(TargetRefusal.serializer(), refusal))
            } else if (runningTasks < behaviour.slots) {
                start(task)
            } else {
                queue.addLast(task)
            }
        }
    }

    private fun start(task: Task) {
        runningTasks++
        val record = RunRecord(task.run.request, task.run.attempt, task.run.operation, task.run.input)
        runs.addLast(record)
        if (runs.size > MAX_RECORDED_RUNS) runs.removeFirst()
        onRun(record)
        val ms = task.run.input.textMember("work_ms")?.toLongOrNull() ?: behaviour.serviceMs
        val hit = behaviour.cachesPrefixes && recordPrefixUse(task.run.input.toString().take(PREFIX_KEY_CHARS))
        val jitter = 0.8 + 0.4 * ThreadLocalRandom.current().nextDouble()
        val durationMs = ms * behaviour.slowdown * jitter * if (hit) PREFIX_HIT_TIME_FACTOR else 1.0
        group.schedule({ startOutput(task) }, durationMs.toLong(), TimeUnit.MILLISECONDS)
    }

    private fun recordPrefixUse(prefix: String): Boolean {
        val hit = cachedPrefixes.remove(prefix)
        cachedPrefixes.add(prefix)
        if (cachedPrefixes.size > MAX_CACHED_PREFIXES) cachedPrefixes.remove(cachedPrefixes.first())
        if (hit) prefixHits.incrementAndGet()
        return hit
    }

    private fun startOutput(task: Task) {
        if (task.incarnationNumber != incarnationCount.get() || !alive) return
        if (behaviour.generates && task.run.input.textMember(POISON_MEMBER) == "true") {
            crash()
            return
        }
        if (ThreadLocalRandom.current().nextDouble() < behaviour.errorShare) {
            task.call.reply(500, "{}")
            finish(task)
            return
        }
        task.call.startStream("application/x-ndjson")
        if (behaviour.generates) {
            val tokens = expectedTokens(task.run.input, task.run.upstream, task.run.maxTokens)
            val cut = ThreadLocalRandom.current().nextDouble() < behaviour.cutShare
            generate(task, tokens, task.run.resumeFrom, if (cut) tokens.size / 2 else -1)
        } else {
            val output = expectedOutput(task.run.stage, task.run.operation, task.run.input, task.run.upstream)
            writeEnd(task, output, 0)
        }
    }

    private fun generate(task: Task, tokens: List<String>, position: Int, cutAt: Int) {
        if (task.incarnationNumber != incarnationCount.get() || !alive) return
        if (task.isClientDisconnected || position == cutAt) {
            task.call.abort()
            finish(task)
            return
        }
        if (position >= tokens.size) {
            writeEnd(task, null, tokens.size)
            return
        }
        val writable = task.call.isWritable
        if (writable) writeLine(task, TargetLine(task.run.request, task.run.attempt, position, tokens[position]))
        val nextPosition = if (writable) position + 1 else position
        val ms = (behaviour.tokenMs * behaviour.slowdown).toLong()
        group.schedule({ generate(task, tokens, nextPosition, cutAt) }, ms, TimeUnit.MILLISECONDS)
    }

    private fun writeEnd(task: Task, output: JsonElement?, count: Int) {
        val run = task.run
        finish(task)
        writeLine(task, TargetLine(run.request, run.attempt, end = true, count = count, output = output, load = load()))
        task.call.endStream()
    }

    private fun writeLine(task: Task, line: TargetLine) {
        task.call.write(WireJson.encodeToString(TargetLine.serializer(), line) + "\n")
    }

    @Synchronized
    private fun finish(task: Task) {
        if (task.incarnationNumber != incarnationCount.get()) return
        runningTasks--
        while (runningTasks < behaviour.slots) {
            val next = queue.removeFirstOrNull() ?: return
            if (!next.isClientDisconnected) start(next)
        }
    }
}

/** Returns the output of a stage that does not generate tokens. Callers compare their answers with it. */
fun expectedOutput(stage: String, operation: String, input: JsonElement, upstream: JsonElement?): JsonElement {
    val seed = "$stage|$operation|$input|$upstream".hashCode()
    return JsonObject(mapOf("stage" to JsonPrimitive(stage + operation), "digest" to JsonPrimitive(seed)))
}

/** Returns the tokens that an engine generates for [input] and the output of the previous stage, [upstream]. */
fun expectedTokens(input: JsonElement, upstream: JsonElement?, count: Int): List<String> {
    val seed = "$input|$upstream".hashCode()
    return List(count) { "w${(seed + it * 31) and 0xffff} " }
}

private fun JsonElement.textMember(name: String): String? =
    ((this as? JsonObject)?.jsonObject?.get(name) as? JsonPrimitive)?.jsonPrimitive?.content
