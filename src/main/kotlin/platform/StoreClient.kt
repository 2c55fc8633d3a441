/*
 * The client of the platform's store, shared by all its users. It reads topics of keyed records and appends to the
 * topic of this system.
 */
package org.sesamerouter.platform

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.sesamerouter.web.BodyFraming
import org.sesamerouter.web.CallFailure
import org.sesamerouter.web.ConnectionSharing
import org.sesamerouter.web.ForwardCall
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.OutgoingRequest
import org.sesamerouter.web.ResponseListener
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.net.URLEncoder
import java.nio.ByteBuffer
import java.util.Base64
import java.util.concurrent.TimeUnit

private const val OK_STATUS = 200
private const val GONE_STATUS = 410
private const val REPLY_TIMEOUT_MS = 900L // the store replies within a few ms, or 200 ms when slow
private const val TRANSFER_TIMEOUT_MS = 5_000L // of a reply that keeps arriving; a large one takes up to 2 s
private const val READ_HEADER_BYTES = 16
private const val MAX_REPLY_BYTES = 8 * 1024 * 1024 // a read returns up to 1 MB, or one record more than that
private const val MAX_KEY_BYTES = 255
private const val MAX_ENTRY_BYTES = 64 * 1024 // entries of targets with hundreds of models have some 30 kB
private const val BASE64_RATIO = 1.5 // four characters for three bytes, and room for line ends

/**
 * Topics of keyed records, with one partition each.
 *
 * @property maxValueBytes bytes of the longest value that is read from a list.
 */
enum class KeyedTopic(val wireName: String, val maxValueBytes: Int = Int.MAX_VALUE) {
    /** Declarations of operators. */
    CONFIGURATION("keyed.op"),

    /** Discovery entries of targets. */
    TARGETS("keyed.servers", MAX_ENTRY_BYTES),

    /** Discovery entries of this system's hosts. */
    HOSTS("keyed.hosts", MAX_ENTRY_BYTES),

    /** What this system holds back since it crashes targets. */
    QUARANTINE("keyed.quarantine"),
}

/** The key of the newest declarations in [KeyedTopic.CONFIGURATION]. */
const val CONFIGURATION_KEY = "config"

/** A record with a key; [value] is null if the key was removed. */
class KeyedRecord(val key: String, val value: ByteArray?, val offset: Long) {
    /** The value decoded as text. */
    val text: String? get() = value?.toString(Charsets.UTF_8)
}

/**
 * Records of a topic. Whoever applies them knows all changes before the offset [end]; of later ones, it may know some.
 *
 * @property available end of the stream when the read was answered; later than [end] if it has more records.
 * @property era number of times that the store was restored from a copy, which took back its newest records.
 */
data class KeyedRecords(val records: List<KeyedRecord>, val end: Long, val era: Long = 0, val available: Long = end)

/** A reply of the store to a call. */
internal class StoreReply(val body: ByteArray, val era: Long)

/** The outcome of a call to the store. */
sealed interface StoreOutcome<out T> {
    data class Done<T>(val value: T) : StoreOutcome<T>

    /** The requested records are no longer retained. */
    data object HistoryTruncated : StoreOutcome<Nothing>

    /** The store rejected the call without executing it. */
    data class Refused(val status: Int) : StoreOutcome<Nothing>

    /** No usable reply arrived; an append may have been executed. */
    data class Unreachable(val cause: String) : StoreOutcome<Nothing>
}

/** A call to the store in progress. */
class StoreCall internal constructor(private val listener: StoreReplyListener) {
    /** Ends the call as [StoreOutcome.Unreachable] and closes its connection. Must be called on the event loop. */
    fun abandon() = listener.fail("abandoned")
}

@Serializable
private data class AppendReply(@SerialName("offset") val offset: Long)

/** A client of the store at [address]. It may be used on the event loop [loop] only. */
class StoreClient(private val address: String, private val client: ForwardClient, private val loop: EventLoop) {
    private val logger = LoggerFactory.getLogger(StoreClient::class.java)

    /** Number of calls so far. */
    var calls = 0L
        private set

    /**
     * Reads the newest record of each key of [topic]; what the topic had up to the first page is known after it. The
     * value of a record that is not [isUsed] is empty in the result, so that a list of any size takes bounded memory.
     */
    fun newest(topic: KeyedTopic, isUsed: (KeyedRecord) -> Boolean, done: (StoreOutcome<KeyedRecords>) -> Unit) {
        val list = NewestList { item ->
            val isTooLarge = (item.value?.length ?: 0) > topic.maxValueBytes * BASE64_RATIO
            if (isTooLarge) null else recordOf(item).takeIf(isUsed)
        }
        readPage(topic, list, done)
    }

    /** Reads the records of [topic] from offset [from]; waits up to [waitMs] for the first record. */
    fun read(topic: KeyedTopic, from: Long, waitMs: Long, done: (StoreOutcome<KeyedRecords>) -> Unit): StoreCall {
        val wait = if (waitMs > 0) "&wait-ms=$waitMs" else ""
        val uri = "/v1/log-read?topic=${topic.wireName}&part=0&from=$from$wait"
        return call("GET", uri, ByteArray(0), waitMs) { reply ->
            done(withoutGap(reply.decodeWith { decodeRecords(it.body, from)?.copy(era = it.era) }, from))
        }
    }

    /** A reply that names a later end but has no records was truncated; continuing from its end would skip records. */
    private fun withoutGap(read: StoreOutcome<KeyedRecords>, from: Long): StoreOutcome<KeyedRecords> {
        val isCut = read is StoreOutcome.Done && read.value.records.isEmpty() && read.value.end > from
        return if (isCut) StoreOutcome.HistoryTruncated else read
    }

    /** Appends [value] with [key] to [topic]; [done] receives the era of the store that holds it. */
    fun append(topic: KeyedTopic, key: String, value: ByteArray, done: (StoreOutcome<Long>) -> Unit) {
        val name = key.toByteArray()
        if (name.size > MAX_KEY_BYTES) {
            logger.warn("the record {} is not written: its key has {} bytes, over {}", key, name.size, MAX_KEY_BYTES)
            done(StoreOutcome.Unreachable("the key has ${name.size} bytes, over $MAX_KEY_BYTES"))
            return
        }
        val size = 1 + name.size + value.size
        val body = ByteBuffer.allocate(Int.SIZE_BYTES + size).putInt(size).put(name.size.toByte()).put(name).put(value)
        call("POST", "/v1/log-append?topic=${topic.wireName}&part=0", body.array(), 0) { reply ->
            done(reply.decodeWith { r -> r.era.takeIf { decodeJson(AppendReply.serializer(), r.body) != null } })
        }
    }

    private fun readPage(topic: KeyedTopic, list: NewestList, done: (StoreOutcome<KeyedRecords>) -> Unit) {
        val from = list.after?.let { "&after=${URLEncoder.encode(it, Charsets.UTF_8)}" }.orEmpty()
        call("GET", "/v1/log-newest?topic=${topic.wireName}&part=0$from", ByteArray(0), 0) { reply ->
            val page = reply.decodeWith { r -> decodeJson(NewestPage.serializer(), r.body)?.let { it to r.era } }
            when (page) {
                is StoreOutcome.Done -> when (val step = list.onPage(page.value.first, page.value.second)) {
                    ListStep.ReadNext -> readPage(topic, list, done)
                    is ListStep.Complete -> done(StoreOutcome.Done(step.records))
                    is ListStep.Unusable -> done(StoreOutcome.Unreachable(step.cause))
                }

                is StoreOutcome.Refused -> done(page)

                is StoreOutcome.Unreachable -> done(page)

                StoreOutcome.HistoryTruncated -> done(StoreOutcome.HistoryTruncated)
            }
        }
    }

    private fun recordOf(item: NewestItem) =
        KeyedRecord(item.key, item.value?.let { decodeValue(item.key, it) }, item.offset)

    /** A value that is no Base64 is passed on as it is: a record that cannot be read, not one that was removed. */
    private fun decodeValue(key: String, value: String): ByteArray = try {
        Base64.getDecoder().decode(value)
    } catch (e: IllegalArgumentException) {
        logger.warn("the value of the record {}, {} characters, is no Base64: {}", key, value.length, e.message)
        value.toByteArray()
    }

    private fun call(
        method: String,
        uri: String,
        body: ByteArray,
        waitMs: Long,
        done: (StoreOutcome<StoreReply>) -> Unit,
    ): StoreCall {
        calls++
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.HOST, address)
        val request = OutgoingRequest(method, uri, headers, body, sharing = ConnectionSharing.IN_ORDER)
        val reply = StoreReplyListener(done)
        reply.call = client.send(address, request, reply)
        reply.timeout = failAfter(reply, waitMs + REPLY_TIMEOUT_MS)
        reply.onProgress = { extendTimeout(reply) }
        if (reply.isCompleted) reply.cancelTimeouts()
        return StoreCall(reply)
    }

    private fun failAfter(reply: StoreReplyListener, ms: Long) =
        loop.schedule({ reply.fail("no reply in time") }, ms, TimeUnit.MILLISECONDS)

    /** A reply fails when no bytes of it arrive for a while, and when it takes too long as a whole. */
    private fun extendTimeout(reply: StoreReplyListener) {
        if (reply.transferTimeout == null) reply.transferTimeout = failAfter(reply, TRANSFER_TIMEOUT_MS)
        reply.timeout?.cancel(false)
        reply.timeout = failAfter(reply, REPLY_TIMEOUT_MS)
    }

    private fun <T, R : Any> StoreOutcome<T>.decodeWith(decode: (T) -> R?): StoreOutcome<R> = when (this) {
        is StoreOutcome.Done -> decode(value)?.let { StoreOutcome.Done(it) }
            ?: StoreOutcome.Unreachable("the reply cannot be read")

        is StoreOutcome.Refused -> this

        is StoreOutcome.Unreachable -> this

        StoreOutcome.HistoryTruncated -> StoreOutcome.HistoryTruncated
    }
}

private fun <T> decodeJson(serializer: kotlinx.serialization.KSerializer<T>, bytes: ByteArray): T? =
    decodeDocument(serializer, bytes.toString(Charsets.UTF_8))

/** Decodes a reply to a read: the end offset, the first offset, then length-prefixed records; null if truncated. */
internal fun decodeRecords(bytes: ByteArray, from: Long): KeyedRecords? {
    if (bytes.size < READ_HEADER_BYTES) return null
    val buffer = ByteBuffer.wrap(bytes)
    val end = buffer.getLong()
    buffer.getLong()
    val records = ArrayList<KeyedRecord>()
    var offset = from
    while (buffer.hasRemaining()) {
        if (buffer.remaining() < Int.SIZE_BYTES) return null
        val size = buffer.getInt()
        if (size < 0 || size > buffer.remaining()) return null
        val record = ByteArray(size).also(buffer::get)
        decodeRecord(record, offset)?.let(records::add)
        offset++
    }
    val readEnd = if (records.isEmpty() && offset == from) maxOf(end, from) else offset
    return KeyedRecords(records, readEnd, available = maxOf(end, readEnd))
}

private fun decodeRecord(record: ByteArray, offset: Long): KeyedRecord? {
    if (record.isEmpty()) return null
    val keySize = record[0].toInt() and MAX_KEY_BYTES
    if (record.size < 1 + keySize) return null
    val value = record.copyOfRange(1 + keySize, record.size).takeIf { it.isNotEmpty() }
    return KeyedRecord(String(record, 1, keySize, Charsets.UTF_8), value, offset)
}

internal class StoreReplyListener(private val done: (StoreOutcome<StoreReply>) -> Unit) : ResponseListener {
    var call: ForwardCall? = null
    var timeout: java.util.concurrent.Future<*>? = null
    var transferTimeout: java.util.concurrent.Future<*>? = null

    /** Called when bytes of the reply have arrived. */
    var onProgress: () -> Unit = {}
    var isCompleted = false
        private set
    private var status = 0
    private var era = 0L
    private val body = ByteArrayOutputStream()

    override fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming) {
        onProgress()
        this.status = status
        era = decodeStoreEra(headers)
    }

    override fun onBody(content: ByteBuf) {
        onProgress()
        if (body.size() + content.readableBytes() > MAX_REPLY_BYTES) {
            fail("the reply is longer than $MAX_REPLY_BYTES bytes")
        } else {
            content.readBytes(body, content.readableBytes())
        }
    }

    override fun onEnd() = end(
        when (status) {
            OK_STATUS -> StoreOutcome.Done(StoreReply(body.toByteArray(), era))
            GONE_STATUS -> StoreOutcome.HistoryTruncated
            else -> StoreOutcome.Refused(status)
        },
    )

    override fun onFailed(failure: CallFailure) = end(StoreOutcome.Unreachable(failure.cause))

    /** Ends the call without a reply. */
    fun fail(cause: String) {
        if (isCompleted) return
        call?.cancel()
        end(StoreOutcome.Unreachable(cause))
    }

    private fun end(outcome: StoreOutcome<StoreReply>) {
        if (isCompleted) return
        isCompleted = true
        cancelTimeouts()
        done(outcome)
    }

    fun cancelTimeouts() {
        timeout?.cancel(false)
        transferTimeout?.cancel(false)
    }
}
