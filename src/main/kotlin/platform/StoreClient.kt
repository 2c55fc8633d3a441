/*
 * The one client of the platform's store. It reads streams of keyed records and appends to the system's own.
 */
package org.sesamerouter.platform

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.sesamerouter.web.AnswerListener
import org.sesamerouter.web.ForwardCall
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.OutgoingRequest
import java.io.ByteArrayOutputStream
import java.net.URLEncoder
import java.nio.ByteBuffer
import java.util.Base64
import java.util.concurrent.TimeUnit

private const val OK_STATUS = 200
private const val GONE_STATUS = 410
private const val REPLY_TIMEOUT_MS = 900L // the store answers within a few ms, or 200 ms when it is slow
private const val HEADER_BYTES = 16
private const val MAX_REPLY_BYTES = 64 * 1024 * 1024
private const val MAX_KEY_BYTES = 255

/** Topics of keyed records; each has one partition. */
enum class KeyedTopic(val wireName: String) {
    /** What operators declare. */
    CONFIGURATION("keyed.op"),

    /** Entries of targets. */
    TARGETS("keyed.servers"),

    /** Entries of this system's hosts. */
    HOSTS("keyed.hosts"),
}

/** The key under which the newest declarations lie in [KeyedTopic.CONFIGURATION]. */
const val CONFIGURATION_KEY = "config"

/** A record with a key; without a [value] the key went. */
class KeyedRecord(val key: String, val value: ByteArray?, val offset: Long) {
    /** The value as text. */
    val text: String? get() = value?.toString(Charsets.UTF_8)
}

/** Records up to the offset [end]. */
data class KeyedRecords(val records: List<KeyedRecord>, val end: Long)

/** How a call of the store ended. */
sealed interface StoreOutcome<out T> {
    data class Done<T>(val value: T) : StoreOutcome<T>

    /** The records asked for are no longer kept. */
    data object HistoryGone : StoreOutcome<Nothing>

    /** The store turned the call away, and did nothing. */
    data class Refused(val status: Int) : StoreOutcome<Nothing>

    /** No answer came; an append may have been done. */
    data class Unreachable(val cause: String) : StoreOutcome<Nothing>
}

@Serializable
private data class NewestItem(val key: String, val value: String? = null, val offset: Long)

@Serializable
private data class NewestPage(val items: List<NewestItem>, val more: Boolean = false, val end: Long)

@Serializable
private data class AppendReply(@SerialName("offset") val offset: Long)

/** Calls the store at [address]; used on the event loop [loop] alone. */
class StoreClient(private val address: String, private val client: ForwardClient, private val loop: EventLoop) {
    /** Calls made so far. */
    var calls = 0L
        private set

    /** Reads the newest record of each key of [topic]. */
    fun newest(topic: KeyedTopic, done: (StoreOutcome<KeyedRecords>) -> Unit) =
        newestAfter(topic, null, emptyList(), done)

    /** Reads the records of [topic] from offset [from]; waits up to [waitMs] for the first. */
    fun read(topic: KeyedTopic, from: Long, waitMs: Long, done: (StoreOutcome<KeyedRecords>) -> Unit) {
        val wait = if (waitMs > 0) "&wait-ms=$waitMs" else ""
        call("GET", "/v1/log-read?topic=${topic.wireName}&part=0&from=$from$wait", ByteArray(0), waitMs) { reply ->
            done(reply.then { decodeRecords(it, from) })
        }
    }

    /** Appends [value] under [key] to [topic] and returns its offset. */
    fun append(topic: KeyedTopic, key: String, value: ByteArray, done: (StoreOutcome<Long>) -> Unit) {
        val name = key.toByteArray()
        require(name.size <= MAX_KEY_BYTES) { "The key $key is too long; use at most $MAX_KEY_BYTES bytes." }
        val size = 1 + name.size + value.size
        val body = ByteBuffer.allocate(Int.SIZE_BYTES + size).putInt(size).put(name.size.toByte()).put(name).put(value)
        call("POST", "/v1/log-append?topic=${topic.wireName}&part=0", body.array(), 0) { reply ->
            done(reply.then { decodeJson(AppendReply.serializer(), it)?.offset })
        }
    }

    private fun newestAfter(
        topic: KeyedTopic,
        after: String?,
        before: List<KeyedRecord>,
        done: (StoreOutcome<KeyedRecords>) -> Unit,
    ) {
        val from = after?.let { "&after=${URLEncoder.encode(it, Charsets.UTF_8)}" }.orEmpty()
        call("GET", "/v1/log-newest?topic=${topic.wireName}&part=0$from", ByteArray(0), 0) { reply ->
            when (val page = reply.then { decodeJson(NewestPage.serializer(), it) }) {
                is StoreOutcome.Done -> {
                    val all = before + page.value.items.map(::recordOf)
                    if (page.value.more && page.value.items.isNotEmpty()) {
                        newestAfter(topic, page.value.items.last().key, all, done)
                    } else {
                        done(StoreOutcome.Done(KeyedRecords(all, page.value.end)))
                    }
                }

                is StoreOutcome.Refused -> done(page)

                is StoreOutcome.Unreachable -> done(page)

                StoreOutcome.HistoryGone -> done(StoreOutcome.HistoryGone)
            }
        }
    }

    private fun recordOf(item: NewestItem) =
        KeyedRecord(item.key, item.value?.let(Base64.getDecoder()::decode), item.offset)

    private fun call(
        method: String,
        uri: String,
        body: ByteArray,
        waitMs: Long,
        done: (StoreOutcome<ByteArray>) -> Unit,
    ) {
        calls++
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.HOST, address)
        val reply = StoreReply(done)
        reply.call = client.send(address, OutgoingRequest(method, uri, headers, body), reply)
        reply.timeout = loop.schedule({ reply.expire() }, waitMs + REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        if (reply.isOver) reply.timeout?.cancel(false)
    }

    private fun <T, R : Any> StoreOutcome<T>.then(decode: (T) -> R?): StoreOutcome<R> = when (this) {
        is StoreOutcome.Done -> decode(value)?.let { StoreOutcome.Done(it) }
            ?: StoreOutcome.Unreachable("the reply cannot be read")

        is StoreOutcome.Refused -> this

        is StoreOutcome.Unreachable -> this

        StoreOutcome.HistoryGone -> StoreOutcome.HistoryGone
    }
}

private fun <T> decodeJson(serializer: kotlinx.serialization.KSerializer<T>, bytes: ByteArray): T? = try {
    platformJson.decodeFromString(serializer, bytes.toString(Charsets.UTF_8))
} catch (_: SerializationException) {
    null
}

/** Decodes a read: its end and first offset, then records, each with its length. */
internal fun decodeRecords(bytes: ByteArray, from: Long): KeyedRecords? {
    if (bytes.size < HEADER_BYTES) return null
    val buffer = ByteBuffer.wrap(bytes)
    val end = buffer.getLong()
    buffer.getLong()
    val records = ArrayList<KeyedRecord>()
    var offset = from
    while (buffer.remaining() >= Int.SIZE_BYTES) {
        val size = buffer.getInt()
        if (size < 0 || size > buffer.remaining()) return null
        val record = ByteArray(size).also(buffer::get)
        keyedRecord(record, offset)?.let(records::add)
        offset++
    }
    return KeyedRecords(records, if (records.isEmpty() && offset == from) maxOf(end, from) else offset)
}

private fun keyedRecord(record: ByteArray, offset: Long): KeyedRecord? {
    if (record.isEmpty()) return null
    val keySize = record[0].toInt() and MAX_KEY_BYTES
    if (record.size < 1 + keySize) return null
    val value = record.copyOfRange(1 + keySize, record.size).takeIf { it.isNotEmpty() }
    return KeyedRecord(String(record, 1, keySize, Charsets.UTF_8), value, offset)
}

private class StoreReply(private val done: (StoreOutcome<ByteArray>) -> Unit) : AnswerListener {
    var call: ForwardCall? = null
    var timeout: java.util.concurrent.Future<*>? = null
    var isOver = false
        private set
    private var status = 0
    private val body = ByteArrayOutputStream()

    override fun onHead(status: Int, headers: HttpHeaders) {
        this.status = status
    }

    override fun onBody(content: ByteBuf) {
        if (body.size() + content.readableBytes() <= MAX_REPLY_BYTES) content.readBytes(body, content.readableBytes())
    }

    override fun onEnd() = end(
        when (status) {
            OK_STATUS -> StoreOutcome.Done(body.toByteArray())
            GONE_STATUS -> StoreOutcome.HistoryGone
            else -> StoreOutcome.Refused(status)
        },
    )

    override fun onFailed(sent: Boolean, cause: String) = end(StoreOutcome.Unreachable(cause))

    fun expire() {
        if (isOver) return
        call?.cancel()
        end(StoreOutcome.Unreachable("no reply in time"))
    }

    private fun end(outcome: StoreOutcome<ByteArray>) {
        if (isOver) return
        isOver = true
        timeout?.cancel(false)
        done(outcome)
    }
}
