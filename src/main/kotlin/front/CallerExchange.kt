/*
 * One request of a caller on its way to a target and back. An answer is passed on once it is known to be one: it bears
 * the request's id and the target's proof. Failed answers are kept back until the control thread has decided whether
 * another target is asked.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.clock.Clock
import org.sesamerouter.platform.AnswerHead
import org.sesamerouter.platform.SendHeaders
import org.sesamerouter.platform.answerIdOf
import org.sesamerouter.platform.decodeAnswerHead
import org.sesamerouter.platform.encodeAnswerHeaders
import org.sesamerouter.platform.encodeOwnAnswer
import org.sesamerouter.platform.encodeSendHeaders
import org.sesamerouter.serving.FlowEffect
import org.sesamerouter.serving.FlowEvent
import org.sesamerouter.serving.ForwardRequest
import org.sesamerouter.serving.RouteKind
import org.sesamerouter.serving.SendFailure
import org.sesamerouter.serving.SendId
import org.sesamerouter.web.AnswerListener
import org.sesamerouter.web.ForwardCall
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.IncomingRequest
import org.sesamerouter.web.OutgoingRequest
import java.io.ByteArrayOutputStream

private const val MAX_HELD_BYTES = 1024 * 1024
private const val STREAM_SILENCE_MS = 1_500L // callers give a stream up after two seconds at the least
private const val SAFE_SILENCE_MS = 700L // several times the longest work of a plain call
private const val EVENT_STREAM = "text/event-stream"

/** What an exchange uses of its surroundings. */
internal class ExchangeLinks(
    val client: ForwardClient,
    val context: ExchangeContext,
    val clock: Clock,
    val metrics: FrontMetrics,
    val forget: () -> Unit,
)

/** A failed answer of a target, kept whole. */
private class HeldAnswer(val status: Int, val headers: HttpHeaders, val body: ByteArray)

internal class CallerExchange(
    private val request: ForwardRequest,
    private val incoming: IncomingRequest,
    private val organisation: String?,
    private val links: ExchangeLinks,
) {
    private val isStream = request.route.kind == RouteKind.STREAM
    private var sending: Sending? = null
    private var held: HeldAnswer? = null

    fun send(effect: FlowEffect.Send) {
        val headers = encodeSendHeaders(
            incoming.headers,
            SendHeaders(
                effect.target.id,
                organisation,
                effect.deadlineLeftMs,
                effect.inputs,
                effect.lastEventId,
                if (isStream) effect.rank else null,
            ),
        )
        val outgoing =
            OutgoingRequest(incoming.method, incoming.uri, headers, incoming.body, answerIdOf(request.id))
        val next = Sending(effect.send)
        sending = next
        next.call = links.client.send(effect.target.address, outgoing, next, effect.maxConnections)
        incoming.onWritable = { next.call?.setReading(true) }
    }

    fun cancelSend(send: SendId) {
        sending?.takeIf { it.id == send }?.call?.cancel()
    }

    fun onCallerLeft() {
        sending?.call?.cancel()
        links.forget()
    }

    fun reject(effect: FlowEffect.Reject) {
        links.forget()
        if (incoming.isBegun) {
            incoming.abort()
        } else {
            incoming.reply(effect.status, headers = encodeOwnAnswer(request.id, effect.retryAfterMs))
        }
    }

    fun deliverHeld() {
        val answer = held ?: return cut()
        links.forget()
        incoming.reply(answer.status, answer.body, answer.headers)
    }

    fun cut() {
        links.forget()
        incoming.abort()
    }

    /** Gives up a target that went silent, where another one may be asked. */
    fun checkSilence(now: Long) {
        val current = sending ?: return
        val silence = now - current.lastBytesMs
        val limit = when {
            request.route.kind == RouteKind.SAFE && !current.isBegun -> SAFE_SILENCE_MS
            request.route.isResumable && current.isBegun -> STREAM_SILENCE_MS
            else -> return
        }
        if (silence < limit) return
        current.call?.cancel()
        current.onFailed(sent = true, cause = "silent for $silence ms")
    }

    private fun post(event: FlowEvent) = links.context.post(event)

    private fun sinceArrivalMs() = (links.clock.nowMs() - request.arrivedMs).toDouble()

    private inner class Sending(val id: SendId) : AnswerListener {
        var call: ForwardCall? = null
        var lastBytesMs = links.clock.nowMs()
        var isBegun = false
        private var head: AnswerHead? = null
        private var status = 0
        private var headers: HttpHeaders? = null
        private var splitter: EventSplitter? = null
        private val kept = ByteArrayOutputStream()

        override fun onHead(status: Int, headers: HttpHeaders) {
            lastBytesMs = links.clock.nowMs()
            val decoded = decodeAnswerHead(headers)
            this.status = status
            this.headers = headers
            head = decoded
            if (status !in SUCCESS || decoded.isNotRun) return
            if (!decoded.isProved) {
                call?.cancel()
                onFailed(sent = true, cause = "an answer without proof")
                return
            }
            isBegun = true
            links.metrics.firstByteMs.record(sinceArrivalMs())
            val isEvents = headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith(EVENT_STREAM)
            if (isStream && isEvents) splitter = EventSplitter()
            if (!incoming.isBegun) incoming.begin(status, encodeAnswerHeaders(headers))
            post(FlowEvent.ResponseStarted(id, decoded.load))
        }

        override fun onBody(content: ByteBuf) {
            lastBytesMs = links.clock.nowMs()
            if (!isBegun) {
                if (kept.size() + content.readableBytes() <= MAX_HELD_BYTES) {
                    content.readBytes(kept, content.readableBytes())
                }
                return
            }
            val events = splitter
            val passed = if (events == null) content.retain() else events.add(content)
            if (passed != null) incoming.write(passed)
            if (!incoming.isWritable) call?.setReading(false)
        }

        override fun onEnd() {
            sending = null
            val decoded = head ?: return onFailed(sent = true, cause = "an answer without a head")
            when {
                isBegun -> {
                    splitter?.takeRest()?.let { if (it.isReadable) incoming.write(it) else it.release() }
                    incoming.end()
                    links.forget()
                    links.metrics.answerMs.record(sinceArrivalMs())
                    post(FlowEvent.ResponseCompleted(id, status))
                }

                decoded.isNotRun -> post(FlowEvent.SendFailed(id, SendFailure.NotRun(status), decoded.load))

                decoded.isProved -> {
                    held = HeldAnswer(status, encodeAnswerHeaders(checkNotNull(headers)), kept.toByteArray())
                    post(FlowEvent.SendFailed(id, SendFailure.FailedAnswer(status), decoded.load))
                }

                else -> post(FlowEvent.SendFailed(id, SendFailure.Lost("status $status without proof")))
            }
        }

        override fun onFailed(sent: Boolean, cause: String) {
            if (sending !== this && call != null) return
            sending = null
            val failure = when {
                isBegun -> SendFailure.Broken(splitter != null, splitter?.lastId, cause)
                sent -> SendFailure.Lost(cause)
                else -> SendFailure.NotSent(cause)
            }
            post(FlowEvent.SendFailed(id, failure))
        }
    }

    private companion object {
        val SUCCESS = 200..299
    }
}
