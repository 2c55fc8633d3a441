/*
 * Stand-in for the platform's log service: streams in memory, with latency, outages and replies that are lost after the
 * append took effect.
 */
package org.sesamerouter.standin

import io.netty.channel.EventLoopGroup
import org.sesamerouter.api.WireJson
import org.sesamerouter.log.AppendBody
import org.sesamerouter.log.AppendReply
import org.sesamerouter.log.ReadReply
import org.sesamerouter.log.RecordBody
import org.sesamerouter.web.HttpCall
import org.sesamerouter.web.startHttpServer
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit

private const val MAX_READ = 1_000
private const val MAX_BODY_BYTES = 64 * 1024 * 1024

/**
 * How the log behaves; may be changed while it runs.
 *
 * @property lostReplyShare share of appends whose reply is lost after they took effect.
 * @property retained records kept in each stream.
 */
data class LogBehaviour(
    val latencyMs: Long = 1,
    val down: Boolean = false,
    val lostReplyShare: Double = 0.0,
    val retained: Int = Int.MAX_VALUE,
)

/** A log service on loopback. */
class LogStandin(address: String, private val group: EventLoopGroup) {
    private val streams = HashMap<String, Stream>()
    private val server = startHttpServer(address, group, MAX_BODY_BYTES, ::handle)

    @Volatile
    var behaviour = LogBehaviour()

    /** Appends that took effect so far. */
    @Volatile
    var appends = 0L
        private set

    val address: String = "${address.substringBeforeLast(':')}:${server.port}"

    private class Waiting(val call: HttpCall, val from: Long)

    private class Stream {
        var floor = 0L
        val records = ArrayDeque<RecordBody>()
        val waiting = ArrayList<Waiting>()
        val end: Long get() = floor + records.size
    }

    /** Ends the service. */
    fun close() = server.close()

    private fun handle(call: HttpCall) {
        val now = behaviour
        if (now.down) {
            call.abort()
            return
        }
        group.schedule({ serve(call) }, now.latencyMs, TimeUnit.MILLISECONDS)
    }

    @Synchronized
    private fun serve(call: HttpCall) {
        val name = call.segments.lastOrNull().orEmpty()
        val stream = streams.getOrPut(name) { Stream() }
        when (call.method) {
            "POST" -> append(stream, call)
            "GET" -> read(stream, call)
            else -> call.reply(405, "{}")
        }
    }

    private fun append(stream: Stream, call: HttpCall) {
        val body = WireJson.decodeFromString(AppendBody.serializer(), call.body)
        val first = stream.end
        body.payloads.forEach { stream.records.addLast(RecordBody(stream.end, it)) }
        appends++
        while (stream.records.size > behaviour.retained) {
            stream.records.removeFirst()
            stream.floor++
        }
        val waiting = stream.waiting.toList()
        stream.waiting.clear()
        waiting.forEach { answer(stream, it) }
        if (ThreadLocalRandom.current().nextDouble() < behaviour.lostReplyShare) {
            call.abort()
        } else {
            call.reply(200, WireJson.encodeToString(AppendReply.serializer(), AppendReply(first)))
        }
    }

    private fun read(stream: Stream, call: HttpCall) {
        val waiting = Waiting(call, call.query["from"]?.toLongOrNull() ?: 0)
        val waitMs = call.query["wait_ms"]?.toLongOrNull() ?: 0
        if (stream.end > waiting.from || waitMs == 0L) {
            answer(stream, waiting)
            return
        }
        stream.waiting.add(waiting)
        group.schedule({ expire(stream, waiting) }, waitMs, TimeUnit.MILLISECONDS)
    }

    @Synchronized
    private fun expire(stream: Stream, waiting: Waiting) {
        if (stream.waiting.remove(waiting)) answer(stream, waiting)
    }

    private fun answer(stream: Stream, waiting: Waiting) {
        if (behaviour.down) {
            waiting.call.abort()
            return
        }
        val skip = (maxOf(waiting.from, stream.floor) - stream.floor).toInt()
        val records = stream.records.drop(skip).take(MAX_READ)
        val reply = ReadReply(records, stream.floor, stream.end)
        waiting.call.reply(200, WireJson.encodeToString(ReadReply.serializer(), reply))
    }
}
