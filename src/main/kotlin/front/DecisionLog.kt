/*
 * The decision log: one JSON line for each decision about a request and for each change of this host's view of the
 * system. A bounded queue and a separate thread keep slow log output from blocking decisions; dropped lines are
 * counted.
 */
package org.sesamerouter.front

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.sesamerouter.clock.Clock
import org.slf4j.LoggerFactory
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

private const val CAPACITY = 512
private const val LINES_PER_S = 150 // a few lines per request at three times the usual load of a small host
private const val WINDOW_MS = 1_000L

/** Name of the logger that receives the lines. */
const val DECISION_LOGGER = "decisions"

/** Writes decision lines without blocking. */
class DecisionLog(private val host: String, private val clock: Clock) {
    private val logger = LoggerFactory.getLogger(DECISION_LOGGER)
    private val queue = ArrayBlockingQueue<String>(CAPACITY)
    private val droppedLines = AtomicLong()
    private var windowStartMs = 0L
    private var linesInWindow = 0

    /** When this process ends, once it was asked to stop: each line then tells the time left. */
    @Volatile
    var endsAtMs: Long? = null

    /** Number of lines dropped since the start. */
    val dropped: Long get() = droppedLines.get()

    init {
        Thread(::writeQueued, "decision-log").apply { isDaemon = true }.start()
    }

    /** Writes the decision [event] with [fields], or drops it when the rate limit or the queue bound is exceeded. */
    fun write(event: String, vararg fields: Pair<String, Any?>) {
        val now = clock.nowMs()
        if (!admit(now)) {
            droppedLines.incrementAndGet()
            return
        }
        val line = buildJsonObject {
            put("ts", JsonPrimitive(now))
            put("host", JsonPrimitive(host))
            put("event", JsonPrimitive(event))
            for ((name, value) in fields) put(name, toJsonPrimitive(value))
            endsAtMs?.let { put("stop-left-ms", JsonPrimitive(it - now)) }
        }
        if (!queue.offer(line.toString())) droppedLines.incrementAndGet()
    }

    private fun toJsonPrimitive(value: Any?): JsonPrimitive = when (value) {
        null -> JsonPrimitive(null as String?)
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        else -> JsonPrimitive(value.toString())
    }

    @Synchronized
    private fun admit(now: Long): Boolean {
        if (now - windowStartMs >= WINDOW_MS) {
            windowStartMs = now
            linesInWindow = 0
        }
        return ++linesInWindow <= LINES_PER_S
    }

    private fun writeQueued() {
        while (true) logger.info(queue.take())
    }
}
