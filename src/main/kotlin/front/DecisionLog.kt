/*
 * The decision log: one JSON line for each decision that touches a request or changes what this host believes. A
 * bounded queue and a thread of its own keep slow output away from decisions; lines over the bound are counted.
 */
package org.sesamerouter.front

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.sesamerouter.clock.Clock
import org.slf4j.LoggerFactory
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

private const val CAPACITY = 512
private const val LINES_PER_S = 150 // some lines a request at three times the usual load of a small host
private const val WINDOW_MS = 1_000L

/** Names the logger that the lines go to. */
const val DECISION_LOGGER = "decisions"

/** Writes decision lines without ever waiting. */
class DecisionLog(private val host: String, private val clock: Clock) {
    private val logger = LoggerFactory.getLogger(DECISION_LOGGER)
    private val queue = ArrayBlockingQueue<String>(CAPACITY)
    private val droppedLines = AtomicLong()
    private var windowStartMs = 0L
    private var inWindow = 0

    /** Lines that were left out since the start. */
    val dropped: Long get() = droppedLines.get()

    init {
        Thread(::drain, "decision-log").apply { isDaemon = true }.start()
    }

    /** Writes the decision [event] with its [fields]. */
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
            for ((name, value) in fields) put(name, primitive(value))
        }
        if (!queue.offer(line.toString())) droppedLines.incrementAndGet()
    }

    private fun primitive(value: Any?): JsonPrimitive = when (value) {
        null -> JsonPrimitive(null as String?)
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        else -> JsonPrimitive(value.toString())
    }

    @Synchronized
    private fun admit(now: Long): Boolean {
        if (now - windowStartMs >= WINDOW_MS) {
            windowStartMs = now
            inWindow = 0
        }
        return ++inWindow <= LINES_PER_S
    }

    private fun drain() {
        while (true) logger.info(queue.take())
    }
}
