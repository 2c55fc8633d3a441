/*
 * Relays the answer of one request to its caller. The first attempt of a stage that produces a token owns the stage's
 * answer; its tokens are checked for order, gaps and repeats, and streamed or collected. Retries and hedges are decided
 * by the request coordinator, not here.
 */
package org.sesamerouter.host

import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.api.StreamEvents
import org.sesamerouter.api.TokenEvent
import org.sesamerouter.api.WireJson
import org.sesamerouter.pipeline.AttemptId
import org.sesamerouter.web.ClientCall
import org.sesamerouter.web.HttpCall

private const val OK = 200

/** Result of offering a token to the exchange. */
internal enum class TokenResult { TAKEN, FIRST, LOST_RACE, GAP, TOO_LARGE }

/** Tokens received for the current stage: the next expected position and the text so far. */
internal data class Progress(val position: Int, val text: String)

/** Destination of a request's answer. */
internal interface AnswerSink {
    /** Whether the sink can accept more output now. */
    val isWritable: Boolean

    /** Writes one streamed token. */
    fun token(position: Int, token: String)

    /** Completes the request with the full answer. */
    fun complete(answer: RunAnswer)

    /** Completes the request with a refusal. */
    fun refuse(refusal: Refusal)
}

/** Collects the tokens of one request, stage by stage. Thread-safe, because attempts run on different event loops. */
internal class CallerExchange(
    val request: String,
    private val sink: AnswerSink,
    private val stream: Boolean,
    private val maxAnswerBytes: Int,
) {
    private var stage = 0
    private var owner: AttemptId? = null
    private var nextPosition = 0
    private var ended = false
    private val text = StringBuilder()
    private val pausedCalls = ArrayList<ClientCall>()

    /** Handles a token that [attempt] received while running [atStage]. */
    @Synchronized
    fun onToken(attempt: AttemptId, atStage: Int, isLast: Boolean, position: Int, token: String): TokenResult {
        if (ended || !advanceTo(atStage)) return TokenResult.LOST_RACE
        val isFirst = owner == null
        if (isFirst) owner = attempt
        if (owner != attempt) return TokenResult.LOST_RACE
        if (position > nextPosition) return TokenResult.GAP
        if (position < nextPosition) return TokenResult.TAKEN
        val isStreamed = isLast && stream
        if (!isStreamed && text.length + token.length > maxAnswerBytes) return TokenResult.TOO_LARGE
        nextPosition++
        if (text.length + token.length <= maxAnswerBytes) text.append(token)
        if (isStreamed) sink.token(position, token)
        return if (isFirst) TokenResult.FIRST else TokenResult.TAKEN
    }

    /**
     * Returns whether [attempt] may end the stage with [count] tokens. False means that tokens are missing or that
     * another attempt owns the answer.
     */
    @Synchronized
    fun isComplete(attempt: AttemptId, atStage: Int, count: Int): Boolean {
        if (!advanceTo(atStage)) return false
        if (owner == null) owner = attempt
        return owner == attempt && count == nextPosition
    }

    /** Returns whether [attempt] owns the answer of [atStage] or can still become its owner. */
    @Synchronized
    fun canOwn(attempt: AttemptId, atStage: Int): Boolean =
        atStage >= stage && (atStage > stage || owner == null || owner == attempt)

    /** Releases the answer if [attempt] owns it, and returns the progress of [atStage]. */
    @Synchronized
    fun release(attempt: AttemptId, atStage: Int): Progress {
        if (owner == attempt) owner = null
        return if (atStage == stage) progress() else Progress(0, "")
    }

    /** Returns the progress of the current stage. */
    @Synchronized
    fun progress() = Progress(nextPosition, text.toString())

    /** Pauses reading from the target of [call] while the caller's connection is not writable. */
    fun throttle(call: ClientCall) {
        if (sink.isWritable) return
        synchronized(this) { pausedCalls.add(call) }
        call.setReading(false)
        if (sink.isWritable) onWritable()
    }

    /** Resumes reading from the pausedCalls targets. */
    fun onWritable() {
        val calls = synchronized(this) { pausedCalls.toList().also { pausedCalls.clear() } }
        calls.forEach { it.setReading(true) }
    }

    /** Completes the request with the full answer; later tokens are dropped. */
    fun complete(answer: RunAnswer) = end { sink.complete(answer) }

    /** Completes the request with a refusal; later tokens are dropped. */
    fun refuse(refusal: Refusal) = end { sink.refuse(refusal) }

    @Synchronized
    private fun end(deliver: () -> Unit) {
        if (ended) return
        ended = true
        deliver()
    }

    private fun advanceTo(atStage: Int): Boolean {
        if (atStage < stage) return false
        if (atStage > stage) {
            stage = atStage
            owner = null
            nextPosition = 0
            text.setLength(0)
        }
        return true
    }
}

/** Answers over HTTP, either with one JSON body or with server-sent events that finish with an explicit end event. */
internal class HttpAnswerSink(private val call: HttpCall, private val stream: Boolean) : AnswerSink {
    private var started = false

    override val isWritable: Boolean get() = call.isWritable

    override fun token(position: Int, token: String) {
        start()
        val event = WireJson.encodeToString(TokenEvent.serializer(), TokenEvent(position, token))
        call.write(eventText(StreamEvents.TOKEN, event))
    }

    override fun complete(answer: RunAnswer) {
        if (!stream) {
            call.reply(OK, WireJson.encodeToString(RunAnswer.serializer(), answer))
            return
        }
        start()
        val end = WireJson.encodeToString(RunAnswer.serializer(), answer.copy(text = ""))
        call.write(eventText(StreamEvents.END, end))
        call.endStream()
    }

    override fun refuse(refusal: Refusal) {
        val body = WireJson.encodeToString(Refusal.serializer(), refusal)
        if (!started) {
            call.reply(refusal.reason.status, body)
            return
        }
        call.write(eventText(StreamEvents.REFUSED, body))
        call.endStream()
    }

    private fun start() {
        if (started) return
        started = true
        call.startStream("text/event-stream")
    }

    private fun eventText(event: String, data: String) = "event: $event\ndata: $data\n\n"
}
