/*
 * Stand-ins of the platform for tests: its store, stage targets and echo targets. They use real sockets and record what
 * they receive.
 */
package org.sesamerouter.front

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.sesamerouter.clock.systemClock
import org.sesamerouter.web.IncomingRequest
import org.sesamerouter.web.RequestLimits
import org.sesamerouter.web.RequestServer
import org.sesamerouter.web.startRequestServer
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.nio.ByteBuffer
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val STAGE_CALL_MS = 30L // long enough that items of several requests share a call

/** The stand-ins of one platform, which share one event loop. */
internal class PlatformStandin : AutoCloseable {
    val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = systemClock()
    private val handles = AtomicLong()
    val store = StoreStandin()

    /** Items of each stage call. */
    val stageCalls = ConcurrentLinkedQueue<List<JsonObject>>()

    /** Pairs of a request id and the handle of the result of an item of it. */
    val resultHandles = ConcurrentLinkedQueue<Pair<String, String>>()

    /** Headers of the requests that reached a target. */
    val receivedRequests = ConcurrentLinkedQueue<Map<String, String>>()

    fun listen(handler: (IncomingRequest) -> Unit): String = serve(handler).first

    /** Starts a server that can be closed; returns it with its address. */
    fun serve(handler: (IncomingRequest) -> Unit): Pair<String, RequestServer> {
        val address = freeAddress()
        return address to startRequestServer(address, eventLoopGroup, clock, { RequestLimits() }, handler = handler)
    }

    fun storeAddress(): String = listen(store::onRequest)

    /** Starts a stage target that completes every item after [callMs] and returns its address. */
    fun stageTarget(callMs: () -> Long = { STAGE_CALL_MS }, announce: (HttpHeaders) -> Boolean = { true }): String {
        var address = ""
        address = listen { request ->
            val answer = DefaultHttpHeaders()
            if (!announce(answer)) return@listen request.reply(503, headers = answer.set("Not-Run", "1"))
            if (!request.uri.startsWith("/v1/stage-run")) return@listen request.reply(200, "{}".toByteArray())
            val items = Json.parseToJsonElement(request.body.decodeToString()).jsonObject.getValue("items").jsonArray
            stageCalls += items.map { it.jsonObject }
            val reply = items.joinToString(",") { item ->
                val handle = "$address/h${handles.incrementAndGet()}"
                resultHandles += item.jsonObject.getValue("id").jsonPrimitive.content to handle
                """{"handle":"$handle"}"""
            }
            schedule(callMs()) { request.reply(200, """{"items":[$reply]}""".toByteArray(), answer) }
        }
        return address
    }

    /**
     * Starts a target that responds with the id and body of the request and with a Server-Stamp header, the proof that
     * it handled this request; returns its address. [announce] may add headers to the response and returns whether the
     * target accepts the request.
     */
    fun echoTarget(announce: (HttpHeaders) -> Boolean = { true }): String = listen { request ->
        val headers = request.headers.associate { it.key.lowercase() to it.value }
        receivedRequests += headers
        val id = headers["request-id"].orEmpty()
        val answer = DefaultHttpHeaders().set("Request-Id", id)
        if (announce(answer)) {
            answer.set("Server-Stamp", "stamp of $id")
            request.reply(200, "answer to $id: ".toByteArray() + request.body, answer)
        } else {
            request.reply(503, headers = answer.set("Not-Run", "1"))
        }
    }

    /** Starts a target that keeps its requests waiting until [release] is completed; returns its address. */
    fun heldTarget(release: CompletableFuture<Unit>): String = listen { request ->
        val headers = DefaultHttpHeaders().set("Request-Id", request.headers["request-id"]).set("Server-Stamp", "held")
        release.thenRun { schedule(0) { request.reply(200, headers = headers) } }
    }

    /** Runs [action] on the event loop of the stand-ins after [ms]. */
    fun schedule(ms: Long, action: () -> Unit) {
        eventLoopGroup.next().schedule(action, ms, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** Stand-in of the store with its keyed topics. */
    inner class StoreStandin {
        private val records = HashMap<String, ArrayList<Pair<String, ByteArray>>>()

        @Volatile
        var isDown = false

        /** Whether the next read of the stream of targets finds its history gone. */
        @Volatile
        var isTruncated = false

        /** Number of records in a page of a list. */
        @Volatile
        var pageSize = Int.MAX_VALUE

        /** Called with the topic after each page that has another one behind it. */
        @Volatile
        var onPage: (String) -> Unit = {}

        private var era = 0

        /** Goes back to [sizes] records by topic, as if the store was restored from a copy. */
        @Synchronized
        fun restore(sizes: Map<String, Int>) {
            sizes.forEach { (topic, size) -> records[topic]?.let { while (it.size > size) it.removeLast() } }
            era++
        }

        @Synchronized
        fun size(topic: String): Int = records[topic].orEmpty().size

        /** Returns the values with [key] in [topic], oldest first. */
        @Synchronized
        fun values(topic: String, key: String): List<String> =
            records[topic].orEmpty().filter { it.first == key }.map { it.second.decodeToString() }

        @Synchronized
        private fun replyHeaders() = DefaultHttpHeaders().set("Store-Era", era.toString())

        @Synchronized
        fun put(topic: String, key: String, value: String): Long = add(topic, key, value.toByteArray())

        private fun add(topic: String, key: String, value: ByteArray): Long {
            val of = records.getOrPut(topic) { ArrayList() }
            of += key to value
            return of.size - 1L
        }

        fun onRequest(request: IncomingRequest) {
            val query = request.uri.substringAfter('?').split('&')
                .associate { it.substringBefore('=') to it.substringAfter('=') }
            val topic = query.getValue("topic")
            when {
                isDown -> request.reply(503, headers = replyHeaders())

                request.uri.startsWith("/v1/log-newest") ->
                    request.reply(200, newest(topic, query["after"].orEmpty()).toByteArray(), replyHeaders())

                request.uri.startsWith("/v1/log-append") ->
                    request.reply(200, append(topic, request.body), replyHeaders())

                else -> read(request, topic, query.getValue("from").toInt(), query["wait-ms"]?.toLong() ?: 0)
            }
        }

        /** Appends a record without a value. */
        @Synchronized
        fun remove(topic: String, key: String): Long = add(topic, key, ByteArray(0))

        @Synchronized
        private fun newest(topic: String, after: String): String {
            val all = records[topic].orEmpty()
            val left = all.withIndex().associateBy { it.value.first }.values
                .filter { (_, record) ->
                    record.second.isNotEmpty() && record.first > after
                }.sortedBy { it.value.first }
            val items = left.take(pageSize).joinToString(",") { (offset, record) ->
                val value = Base64.getEncoder().encodeToString(record.second)
                """{"key":"${record.first}","value":"$value","offset":$offset}"""
            }
            val hasMore = left.size > pageSize
            val page = """{"items":[$items],"more":$hasMore,"end":${all.size}}"""
            if (hasMore) onPage(topic)
            return page
        }

        @Synchronized
        private fun append(topic: String, body: ByteArray): ByteArray {
            val buffer = ByteBuffer.wrap(body)
            val record = ByteArray(buffer.getInt()).also(buffer::get)
            val keySize = record[0].toInt()
            val key = String(record, 1, keySize)
            return """{"offset":${add(topic, key, record.copyOfRange(1 + keySize, record.size))}}""".toByteArray()
        }

        private fun read(request: IncomingRequest, topic: String, from: Int, waitMs: Long) {
            val all = synchronized(this) { records[topic].orEmpty().toList() }
            val isGone = isTruncated && topic == "keyed.servers"
            if (isGone) isTruncated = false
            if (all.size < from || isGone) {
                request.reply(410, """{"first":0}""".toByteArray(), replyHeaders())
                return
            }
            if (all.size <= from && waitMs > 0) {
                schedule(minOf(waitMs, STAGE_CALL_MS)) { read(request, topic, from, waitMs - STAGE_CALL_MS) }
                return
            }
            val out = ByteArrayOutputStream()
            val data = DataOutputStream(out)
            data.writeLong(all.size.toLong())
            data.writeLong(0)
            for ((key, value) in all.drop(from)) {
                data.writeInt(1 + key.length + value.size)
                data.writeByte(key.length)
                data.write(key.toByteArray())
                data.write(value)
            }
            request.reply(200, out.toByteArray(), replyHeaders())
        }
    }
}
