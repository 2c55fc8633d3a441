/*
 * Generated histories of one connection to a target: calls, their answers, and what else the target sends. Copies of
 * earlier answers come late by one answer or more, in another's turn or in the same read as an answer, altered, without
 * an id, in any framing. The real handlers run on an embedded channel. What a call was given is compared with the
 * answer that the target made for it.
 */
package org.sesamerouter.web

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.clock.Clock
import kotlin.random.Random

private const val HEADER = "Request-Id"
private const val MAX_CALLS = 7
private const val OK = 200
private val STATUSES = listOf(OK, OK, OK, 201, 503, 409, 429, 421, 500, 504, 204, 304)
private val BODILESS = listOf(204, 304)

/** Bodies that could be read as answers if their beginning is lost. */
private const val BAIT = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nfar"

internal enum class AnswerFraming { LENGTH, CHUNKS, NONE }

/** An answer as its target writes it; [id] is null if it bears none. */
internal data class ModelAnswer(
    val id: String?,
    val method: String,
    val status: Int,
    val framing: AnswerFraming,
    val body: String,
    val isLast: Boolean = false,
) {
    /** The body that a caller has to see. */
    val seenBody get() = if (method == "HEAD" || status in BODILESS) "" else body
    val endsWithConnection get() = framing == AnswerFraming.NONE && method != "HEAD" && status !in BODILESS

    fun wire(): String {
        val idLine = id?.let { "$HEADER: $it\r\n" }.orEmpty()
        val closeLine = if (isLast) "Connection: close\r\n" else ""
        val framingLine = when (framing) {
            AnswerFraming.LENGTH -> if (status in BODILESS) "" else "Content-Length: ${body.length}\r\n"
            AnswerFraming.CHUNKS -> if (status in BODILESS) "" else "Transfer-Encoding: chunked\r\n"
            AnswerFraming.NONE -> ""
        }
        return "HTTP/1.1 $status X\r\n$idLine$closeLine$framingLine\r\n" + when {
            method == "HEAD" || status in BODILESS -> ""
            framing == AnswerFraming.CHUNKS -> "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n"
            else -> body
        }
    }
}

/** What a listener was given. */
private class Given(private val onEnded: () -> Unit) : ResponseListener {
    var status: Int? = null
    val body = StringBuilder()
    var isComplete = false
    var ends = 0
    val failures = ArrayList<String>()

    override fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming) {
        if (this.status != null) failures += "a second head"
        this.status = status
    }

    override fun onBody(content: ByteBuf) {
        body.append(content.toString(Charsets.UTF_8))
    }

    override fun onEnd() {
        isComplete = true
        ends++
        onEnded()
    }

    fun isOwn(answer: ModelAnswer) = status == answer.status && body.isNotEmpty() && body.toString() == answer.seenBody

    override fun onFailed(failure: CallFailure) {
        ends++
    }
}

private class ModelCall(val number: Int, val id: String?, val method: String, val answer: ModelAnswer) {
    lateinit var given: Given
    lateinit var handle: ForwardCall

    /** Whether all that came before its answer can be told from it, and the answer is whole: it has to be given. */
    var hasToEnd = true
    var isCancelled = false
    var isOwnWhole = true
}

/** Plays the history of [seed]; the failures say which call was given what is not its own, or not whole. */
internal class ConnectionHistory(private val seed: Long, rule: OwnerRule = OwnerById) : AutoCloseable {
    private val random = Random(seed)
    private val channel = EmbeddedChannel()
    private var idle: ForwardConnection? = null
    private val calls = ArrayList<ModelCall>()
    private val sent = StringBuilder()
    private val unused = ArrayList<UnusedAnswer>()
    private val connection = forwardConnection(
        channel,
        "model",
        object : ConnectionOwner {
            override val clock = object : Clock {
                override fun nowMs() = 0L
            }
            override val unusedAnswers = UnusedAnswers { unused += it }

            override fun returnToPool(connection: ForwardConnection) {
                idle = connection
            }

            override fun onConnectionClosed(connection: ForwardConnection) {
                idle = null
            }
        },
        rule,
    )

    /** Number of calls that were given their answers. */
    val completed get() = calls.count { it.given.isComplete }

    fun play(): List<HistoryFailure> {
        start()
        while (calls.last().given.ends == 0 && channel.isActive) {
            answer(calls.last())
            if (calls.last().given.ends > 0 && idle != null && calls.size < MAX_CALLS) between()
        }
        close()
        return calls.flatMap(::check)
    }

    private fun start() {
        idle = null
        val number = calls.size
        val hasId = number == 0 || random.nextInt(10) > 0
        val id = if (hasId) "s$seed-r$number" else null
        val method = if (random.nextInt(8) == 0) "HEAD" else "POST"
        val framing = AnswerFraming.entries[if (random.nextInt(12) == 0) 2 else random.nextInt(2)]
        val body = if (random.nextInt(3) == 0) BAIT + "x".repeat(random.nextInt(4)) else "own body of call $number"
        val status = STATUSES.random(random)
        val isIdless = random.nextInt(12) == 0
        val own = ModelAnswer(id.takeIf { !isIdless }, method, status, framing, body, random.nextInt(15) == 0)
        val call = ModelCall(number, id, method, own)
        val startsNext = random.nextBoolean()
        call.given = Given {
            if (id == null && call.given.isOwn(own)) call.handle.confirmOwnAnswer()
            if (startsNext && idle != null && calls.size < MAX_CALLS) start()
        }
        if (own.id == null) call.hasToEnd = false
        calls += call
        call.handle = ForwardCall(channel.eventLoop())
        val headers = DefaultHttpHeaders().set("Host", "a")
        id?.let { headers.set(HEADER, it) }
        val responseId = id?.let { ResponseId(HEADER, it) }
        val request =
            OutgoingRequest(method, "/a", headers, ByteArray(0), responseId, sharing = ConnectionSharing.SHARED)
        check(number == 0 || connection.mayCarry(request)) { "seed $seed" }
        connection.start(request, call.given, call.handle)
        channel.releaseOutbound()
    }

    /** Sends what the target sends in the turn of [call]. */
    private fun answer(call: ModelCall) {
        val text = StringBuilder()
        repeat(if (random.nextInt(3) == 0) 1 + random.nextInt(2) else 0) { text.append(interference(call)) }
        val own = call.answer.wire()
        val isBrokenOff = random.nextInt(8) == 0
        call.isOwnWhole = !isBrokenOff
        if (isBrokenOff || (call.answer.endsWithConnection && random.nextInt(4) == 0)) call.hasToEnd = false
        text.append(if (isBrokenOff) own.take(random.nextInt(own.length)) else own)
        val isFollowed = !isBrokenOff && !call.answer.endsWithConnection && random.nextInt(4) == 0
        if (isFollowed) text.append(copy(call.number))
        if (!isBrokenOff && random.nextInt(20) == 0) {
            receive(text.take(random.nextInt(text.length)).toString())
            if (call.given.ends == 0) {
                call.isCancelled = true
                call.handle.cancel()
            }
            return
        }
        receive(text.toString())
        if (call.given.ends == 0 && channel.isActive) endInput(call, isBrokenOff)
    }

    private fun interference(call: ModelCall): String = when (random.nextInt(8)) {
        0 -> "HTTP/1.1 ${listOf(100, 102, 103).random(random)} X\r\n\r\n"

        1 -> {
            call.hasToEnd = false
            listOf("what is this\r\n\r\n", "HTTP/1.1 101 X\r\nUpgrade: h2c\r\n\r\n", "\u0001{}\r\n").random(random)
        }

        else -> if (call.number == 0) "" else lateCopy(call)
    }

    private fun lateCopy(call: ModelCall): String {
        val lateBy = 1 + random.nextInt(3)
        val earlier = calls.getOrNull(call.number - lateBy) ?: calls[call.number - 1]
        if (earlier.answer.id == null || call.id == null || earlier.answer.endsWithConnection) call.hasToEnd = false
        if (earlier.answer.isLast) call.hasToEnd = false
        val copied = altered(earlier.answer)
        if (copied.id == null || copied.endsWithConnection || copied.isLast) call.hasToEnd = false
        return copied.wire()
    }

    private fun altered(answer: ModelAnswer): ModelAnswer = when (random.nextInt(6)) {
        0 -> answer.copy(status = STATUSES.random(random))
        1 -> answer.copy(body = answer.body + BAIT)
        2 -> answer.copy(id = null)
        3 -> answer.copy(framing = AnswerFraming.entries.random(random))
        4 -> answer.copy(isLast = true)
        else -> answer
    }

    /** A copy of the answer to call [number] that follows that answer in the same read. */
    private fun copy(number: Int): String {
        val copied = altered(calls[number].answer)
        if (calls.size <= MAX_CALLS) followed = copied
        val wire = copied.wire()
        return if (random.nextInt(4) == 0) wire.take(1 + random.nextInt(wire.length)) else wire
    }

    private var followed: ModelAnswer? = null

    /** What the target sends between two calls, and the next call. */
    private fun between() {
        if (random.nextInt(6) == 0) receive(copy(calls.lastIndex))
        if (idle != null && channel.isActive) start()
    }

    /** Lets [text] arrive in one read or in several. */
    private fun receive(text: String) {
        sent.append(text).append("\n--\n")
        val cuts = if (random.nextInt(3) == 0) List(random.nextInt(4)) { random.nextInt(text.length + 1) } else listOf()
        val ends = (cuts + text.length).sorted()
        val before = calls.size
        var start = 0
        for (end in ends) {
            if (channel.isActive && end > start) {
                channel.writeInbound(Unpooled.copiedBuffer(text.substring(start, end), Charsets.UTF_8))
            }
            start = end
        }
        // A call that was started while the read was still being decoded may meet the rest of it.
        if (followed != null) calls.drop(before).forEach { it.hasToEnd = false }
        followed = null
    }

    private fun endInput(call: ModelCall, isBrokenOff: Boolean) {
        val isReset = (isBrokenOff && call.answer.endsWithConnection) || (!call.hasToEnd && random.nextBoolean())
        if (isReset) {
            if (call.answer.endsWithConnection) call.isOwnWhole = false
            channel.pipeline().fireExceptionCaught(java.io.IOException("Connection reset"))
        } else {
            channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
        }
        channel.runPendingTasks()
        channel.close()
    }

    override fun close() {
        channel.close()
        channel.runPendingTasks()
        channel.finishAndReleaseAll()
    }

    private fun check(call: ModelCall): List<HistoryFailure> = buildList {
        val given = call.given
        val own = call.answer
        addAll(given.failures)
        if (call.isCancelled && given.ends > 0) add("ended after it was cancelled")
        if (!call.isCancelled && given.ends != 1) add("not ended once")
        // Whose an answer without an id to a call without an id is, its caller has to find out.
        if (call.id != null) {
            if (given.status != null && given.status != own.status) add("given another status")
            if (!own.seenBody.startsWith(given.body)) add("given another body")
            if (given.isComplete && given.body.toString() != own.seenBody) add("ended with another body")
            if (given.isComplete && !call.isOwnWhole) add("ended with a part of its answer")
            if (call.hasToEnd && !call.isCancelled && !given.isComplete) add("not given its answer")
        }
    }.map {
        val given = "given ${call.given.status} '${call.given.body}'"
        val own = "own ${call.answer.status} '${call.answer.seenBody}'"
        HistoryFailure(it, "seed $seed, call ${call.number} of ${call.id}: $it; $given, $own; received:\n$sent")
    }
}

/** What was wrong, as one of a few [kind]s and in full. */
internal data class HistoryFailure(val kind: String, val text: String)
