/*
 * Stand-ins of the platform for tests: its store, targets of stages, and targets that answer requests. They speak over
 * real sockets and keep what they saw.
 */
package org.sesamerouter.front

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.sesamerouter.clock.systemClock
import org.sesamerouter.web.IncomingRequest
import org.sesamerouter.web.RequestLimits
import org.sesamerouter.web.startRequestServer
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.ByteBuffer
import java.util.Base64
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val CALL_MS = 30L // long enough that pieces of several requests meet

internal fun freeAddress(): String =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }

/** The stand-ins of one platform on one event loop. */
internal class PlatformStandin : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = systemClock()
    private val handles = AtomicLong()
    val store = StoreStandin()

    /** Items of stage calls, by call. */
    val stageCalls = ConcurrentLinkedQueue<List<JsonObject>>()

    /** Result handles by the request and piece that they were made for. */
    val made = ConcurrentLinkedQueue<Pair<String, String>>()

    /** Requests that reached a target, with their headers. */
    val runs = ConcurrentLinkedQueue<Map<String, String>>()

    fun listen(handler: (IncomingRequest) -> Unit): String = freeAddress().also {
        startRequestServer(it, group, clock, { RequestLimits() }, handler)
    }

    fun storeAddress(): String = listen(store::onRequest)

    /** A target of a stage: it makes every piece. */
    fun stageTarget(): String {
        var address = ""
        address = listen { request ->
            if (!request.uri.startsWith("/v1/stage-run")) return@listen request.reply(200, "{}".toByteArray())
            val items = Json.parseToJsonElement(request.body.decodeToString()).jsonObject.getValue("items").jsonArray
            stageCalls += items.map { it.jsonObject }
            val reply = items.joinToString(",") { item ->
                val handle = "$address/h${handles.incrementAndGet()}"
                made += item.jsonObject.getValue("id").jsonPrimitive.content to handle
                """{"handle":"$handle"}"""
            }
            later(CALL_MS) { request.reply(200, """{"items":[$reply]}""".toByteArray()) }
        }
        return address
    }

    /** A target that answers with the request's body and id, with its proof. */
    fun answeringTarget(): String = listen { request ->
        val headers = request.headers.associate { it.key.lowercase() to it.value }
        runs += headers
        val id = headers["request-id"].orEmpty()
        val answer = DefaultHttpHeaders().set("Request-Id", id).set("Server-Stamp", "stamp of $id")
        request.reply(200, "answer to $id: ".toByteArray() + request.body, answer)
    }

    private fun later(ms: Long, action: () -> Unit) {
        group.next().schedule(action, ms, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    /** The keyed topics of the store. */
    inner class StoreStandin {
        private val records = HashMap<String, ArrayList<Pair<String, ByteArray>>>()

        @Volatile
        var isDown = false

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
                isDown -> request.reply(503)
                request.uri.startsWith("/v1/log-newest") -> request.reply(200, newest(topic).toByteArray())
                request.uri.startsWith("/v1/log-append") -> request.reply(200, append(topic, request.body))
                else -> read(request, topic, query.getValue("from").toInt(), query["wait-ms"]?.toLong() ?: 0)
            }
        }

        @Synchronized
        private fun newest(topic: String): String {
            val all = records[topic].orEmpty()
            val items = all.withIndex().associateBy { it.value.first }.values.joinToString(",") { (offset, record) ->
                val value = Base64.getEncoder().encodeToString(record.second)
                """{"key":"${record.first}","value":"$value","offset":$offset}"""
            }
            return """{"items":[$items],"more":false,"end":${all.size}}"""
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
            if (all.size <= from && waitMs > 0) {
                later(minOf(waitMs, CALL_MS)) { read(request, topic, from, waitMs - CALL_MS) }
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
            request.reply(200, out.toByteArray())
        }
    }
}
