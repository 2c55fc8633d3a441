/*
 * Stand-in for the platform's log service: keeps its streams in memory and can simulate latency, outages and replies
 * that are lost after the append took effect.
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

private const val MAX_RECORDS_PER_READ = 1_000
private const val MAX_BODY_BYTES = 64 * 1024 * 1024

/**
 * Simulated behaviour of the log service. It can be replaced while the service runs.
 *
 * @property latencyMs delay before a request is processed.
 * @property down whether the service closes connections without a reply.
 * @property lostReplyShare fraction of appends that take effect but whose reply is lost.
 * @property retained number of records kept in each stream; older ones are dropped.
 */
data class LogBehaviour(
    val latencyMs: Long = 1,
    val down: Boolean = false,
    val lostReplyShare: Double = 0.0,
    val retained: Int = Int.MAX_VALUE,
)

/** A log service that keeps its streams in memory. */
class LogStandin(address: String, private val group: EventLoopGroup) {
    private val streams = HashMap<String, Stream>()
    private val server = startHttpServer(address, group, MAX_BODY_BYTES, handler = ::handle)

    @Volatile
    var behaviour = LogBehaviour()

    /** Number of appends that have taken effect. */
    @Volatile
    var appends = 0L
        private set

    val address: String = "${address.substringBeforeLast(':')}:${server.port}"

    private class PendingRead(val call: HttpCall, val from: Long)

    private class Stream {
        var startOffset = 0L
        val records = ArrayDeque<RecordBody>()
        val pendingReads = ArrayList<PendingRead>()
        val endOffset: Long get() = startOffset + records.size
    }

    /** Stops the service. */
    fun close() = server.close()

    private fun handle(call: HttpCall) {
        val current = behaviour
        if (current.down) {
            call.abort()
            return
        }
        group.schedule({ serve(call) }, current.latencyMs, TimeUnit.MILLISECONDS)
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
        val firstOffset = stream.endOffset
        body.payloads.forEach { stream.records.addLast(RecordBody(stream.endOffset, it)) }
        appends++
        while (stream.records.size > behaviour.retained) {
            stream.records.removeFirst()
            stream.startOffset++
        }
        val reads = stream.pendingReads.toList()
        stream.pendingReads.clear()
        reads.forEach { replyToRead(stream, it) }
        if (ThreadLocalRandom.current().nextDouble() < behaviour.lostReplyShare) {
            call.abort()
        } else {
            call.reply(200, WireJson.encodeToString(AppendReply.serializer(), AppendReply(firstOffset)))
        }
    }

    private fun read(stream: Stream, call: HttpCall) {
        val read = PendingRead(call, call.query["from"]?.toLongOrNull() ?: 0)
        val waitMs = call.query["wait_ms"]?.toLongOrNull() ?: 0
        if (stream.endOffset > read.from || waitMs == 0L) {
            replyToRead(stream, read)
            return
        }
        stream.pendingReads.add(read)
        group.schedule({ onWaitExpired(stream, read) }, waitMs, TimeUnit.MILLISECONDS)
    }

    @Synchronized
    private fun onWaitExpired(stream: Stream, read: PendingRead) {
        if (stream.pendingReads.remove(read)) replyToRead(stream, read)
    }

    private fun replyToRead(stream: Stream, read: PendingRead) {
        if (behaviour.down) {
            read.call.abort()
            return
        }
        val skip = (maxOf(read.from, stream.startOffset) - stream.startOffset).toInt()
        val records = stream.records.drop(skip).take(MAX_RECORDS_PER_READ)
        val reply = ReadReply(records, stream.startOffset, stream.endOffset)
        read.call.reply(200, WireJson.encodeToString(ReadReply.serializer(), reply))
    }
}
