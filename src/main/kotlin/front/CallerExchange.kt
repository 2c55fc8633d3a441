/*
 * Transfers one caller's request to a target and the response back. A successful response is passed on only if it
 * carries the request id and the target's proof. Error responses are buffered until the control thread has decided
 * whether to try another target.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.platform.ResponseHead
import org.sesamerouter.platform.SendHeaders
import org.sesamerouter.platform.decodeResponseHead
import org.sesamerouter.platform.encodeOwnResponseHeaders
import org.sesamerouter.platform.encodeResponseHeaders
import org.sesamerouter.platform.encodeSendHeaders
import org.sesamerouter.platform.responseIdOf
import org.sesamerouter.serving.BEGINNING_MS
import org.sesamerouter.serving.FlowEffect
import org.sesamerouter.serving.FlowEvent
import org.sesamerouter.serving.ForwardRequest
import org.sesamerouter.serving.RouteKind
import org.sesamerouter.serving.SendFailure
import org.sesamerouter.serving.SendId
import org.sesamerouter.web.BodyFraming
import org.sesamerouter.web.BreakReason
import org.sesamerouter.web.CallFailure
import org.sesamerouter.web.CallProgress
import org.sesamerouter.web.ForwardCall
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.IncomingRequest
import org.sesamerouter.web.OutgoingRequest
import org.sesamerouter.web.ResponseListener
import org.sesamerouter.web.UsedConnections
import java.io.ByteArrayOutputStream

private const val MAX_BUFFERED_BYTES = 1024 * 1024
private const val MIN_STREAM_PATIENCE_MS = 2_000L
private const val PATIENCE_OBJECTIVES = 4
private const val PATIENCE_PAUSES = 8
private const val STREAM_INACTIVITY_SHARE = 0.5 // leaves as much time to resume the stream at another target
private const val MAX_DECISION_AGE_MS = 500L // what a send was decided by may no longer hold after a pause
private const val SAFE_INACTIVITY_MS = 700L // several times the longest processing time of a plain request
private const val MAX_STREAM_BASE_BYTES = 256 * 1024L // comments, blank lines and events without tokens
private const val MAX_TOKEN_BYTES = 4 * 1024L // an event holds a token or more, and is well below 1 KB
private const val EVENT_STREAM_TYPE = "text/event-stream"

/** Collaborators of an exchange; [remove] ends its registration in [CallerExchanges]. */
internal class ExchangeDependencies(
    val client: ForwardClient,
    val context: ExchangeContext,
    val clock: Clock,
    val metrics: FrontMetrics,
    val log: DecisionLog,
    val remove: () -> Unit,
)

/** A complete error response of a target. */
private class BufferedResponse(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteArray,
    val framing: BodyFraming,
)

internal class CallerExchange(
    private val request: ForwardRequest,
    private val incoming: IncomingRequest,
    private val organisation: String?,
    private val deps: ExchangeDependencies,
) {
    private val isStream = request.route.kind == RouteKind.STREAM
    private var currentSend: TargetSend? = null
    private val usedConnections = UsedConnections()
    private var buffered: BufferedResponse? = null

    fun send(effect: FlowEffect.Send) {
        if (!incoming.isCallerWaiting()) return // the flow ends with the event of the closed connection
        val now = deps.clock.nowMs()
        val deadlineLeftMs = effect.expiresAtMs - now
        val ageMs = now - effect.decidedAtMs
        if (deadlineLeftMs <= 0 || ageMs > MAX_DECISION_AGE_MS) {
            val failure = SendFailure.NotAttempted("decided $ageMs ms ago, $deadlineLeftMs ms left")
            post(FlowEvent.SendFailed(effect.send, failure))
            return
        }
        val headers = encodeSendHeaders(
            incoming.headers,
            SendHeaders(
                effect.target.id,
                organisation,
                deadlineLeftMs,
                effect.inputs,
                effect.lastEventId,
                if (isStream) effect.rank else null,
            ),
        )
        val outgoing = OutgoingRequest(
            incoming.method,
            incoming.uri,
            headers,
            incoming.body,
            responseIdOf(request.id),
            effect.expiresAtMs,
            usedConnections,
        )
        val next = TargetSend(effect.send, effect.target)
        currentSend = next
        next.call = deps.client.send(effect.target.address, outgoing, next, effect.maxConnections)
        if (effect.send.number > 1) {
            val isKept = next.call?.isOnKeptConnection == true
            deps.log.writeResend(request.id, effect, isKept)
        }
        incoming.onWritable = { next.call?.setReading(true) }
    }

    fun cancelSend(send: SendId) {
        currentSend?.takeIf { it.id == send }?.call?.cancel()
    }

    fun onCallerDisconnected() {
        currentSend?.call?.cancel()
        deps.remove()
    }

    fun reject(effect: FlowEffect.Reject) {
        deps.remove()
        if (incoming.isResponseStarted) {
            incoming.abort()
        } else {
            incoming.reply(effect.status, headers = encodeOwnResponseHeaders(request.id, effect.retryAfterMs))
        }
    }

    fun deliverBuffered() {
        val response = buffered ?: return abort()
        deps.remove()
        if (response.framing == BodyFraming.CONNECTION_END) {
            incoming.startResponse(response.status, response.headers, response.framing)
            incoming.write(Unpooled.wrappedBuffer(response.body))
            incoming.end()
        } else {
            incoming.reply(response.status, response.body, response.headers)
        }
    }

    fun abort() {
        deps.remove()
        incoming.abort()
    }

    /** Reports a target that has sent nothing for too long; whether it is given up is decided by the flows. */
    fun checkInactivity(now: Long) {
        val current = currentSend ?: return
        if (isSilent(current, now)) post(FlowEvent.SendSilent(current.id))
    }

    /** Gives up the target of [send] unless it has sent something since it was reported as silent. */
    fun giveUpIfSilent(send: SendId) {
        val now = deps.clock.nowMs()
        val current = currentSend?.takeIf { it.id == send && isSilent(it, now) } ?: return
        val cause = "silent for ${now - current.lastProgressMs} ms"
        current.call?.cancel()
        current.onFailed(CallFailure(CallProgress.SENT, cause, BreakReason.SILENT))
    }

    private fun isSilent(send: TargetSend, now: Long): Boolean {
        val limitMs = when {
            request.route.kind == RouteKind.SAFE && !send.isStarted -> SAFE_INACTIVITY_MS
            request.route.isResumable && send.isStarted -> streamInactivityMs
            else -> return false
        }
        return now - send.lastProgressMs >= limitMs
    }

    /**
     * How long a stream may make no progress before another target resumes it. Callers give up after the longest of two
     * seconds, four objectives and eight of the route's pauses; a slow but sound stream is not to be cut.
     */
    private val streamInactivityMs = maxOf(
        MIN_STREAM_PATIENCE_MS,
        PATIENCE_OBJECTIVES * request.route.objectiveMs,
        PATIENCE_PAUSES * request.route.gapObjectiveMs,
    ).times(STREAM_INACTIVITY_SHARE).toLong()

    private fun post(event: FlowEvent) = deps.context.post(event)

    private fun elapsedMs() = (deps.clock.nowMs() - request.arrivedMs).toDouble()

    private inner class TargetSend(val id: SendId, private val target: TargetEntry) : ResponseListener {
        var call: ForwardCall? = null
        var lastProgressMs = deps.clock.nowMs()
        var isStarted = false
        private var startedMs = 0L
        private var isPastBeginning = false

        /** Bytes of the body that were passed on. */
        private var passedOnBytes = 0L

        /** Whether any of the body, whole events in a stream, was passed on. */
        private var hasEvents = false

        /** Time from the start of the response to the last of it that was passed on. */
        private val activeForMs get() = lastProgressMs - startedMs
        private var head: ResponseHead? = null
        private var status = 0
        private var headers: HttpHeaders? = null
        private var framing = BodyFraming.LENGTH
        private var splitter: EventSplitter? = null
        private val failedBody = ByteArrayOutputStream()

        override fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming) {
            lastProgressMs = deps.clock.nowMs()
            val decoded = decodeResponseHead(status, headers)
            decoded.notice?.let { deps.context.onNotice(target, it) }
            decoded.invalidLoad?.let { deps.context.onInvalidLoad(target, it) }
            this.status = status
            this.headers = headers
            this.framing = framing
            head = decoded
            if (status !in SUCCESS_STATUSES || decoded.isNotRun) return
            if (!decoded.hasProof) {
                giveUp("a success without proof")
                return
            }
            val isEvents = headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty().startsWith(EVENT_STREAM_TYPE)
            if (incoming.isResponseStarted && !isEvents) {
                giveUp("no event stream to resume with")
                return
            }
            isStarted = true
            startedMs = lastProgressMs
            deps.metrics.firstByteMs.record(elapsedMs())
            if (isEvents) splitter = EventSplitter()
            if (!incoming.isResponseStarted) startResponse(status, headers)
            post(FlowEvent.ResponseStarted(id, decoded.load))
        }

        private fun startResponse(status: Int, headers: HttpHeaders) {
            val encoded = encodeResponseHeaders(headers)
            // A target that resumes the stream may send another length.
            if (splitter != null && request.route.isResumable) encoded.remove(HttpHeaderNames.CONTENT_LENGTH)
            incoming.startResponse(status, encoded, framing)
        }

        override fun onBody(content: ByteBuf) {
            if (!isStarted) {
                onFailedBody(content)
                return
            }
            val events = splitter
            val forwarded = if (events == null) content.retain() else events.add(content)
            if (forwarded != null) {
                // Single bytes of an event are no progress: a stalled target may send some now and then.
                onProgress()
                passedOnBytes += forwarded.readableBytes()
                incoming.write(forwarded)
            }
            val excess = events?.let(::excessOf)
            if (excess != null) {
                giveUp(excess)
                return
            }
            if (!incoming.isWritable) call?.setReading(false)
        }

        /** Says what [events] has too much of; null if nothing. */
        private fun excessOf(events: EventSplitter): String? {
            val tokens = request.maxOutputTokens
            return when {
                events.isTooLong && events.isInsideEvent -> "an event without end"

                events.isTooLong -> "blank lines and comments without end"

                tokens != null && passedOnBytes > MAX_STREAM_BASE_BYTES + tokens.toLong() * MAX_TOKEN_BYTES ->
                    "$passedOnBytes bytes of events for at most $tokens tokens"

                else -> null
            }
        }

        private fun onProgress() {
            hasEvents = true
            lastProgressMs = deps.clock.nowMs()
            if (isPastBeginning || activeForMs < BEGINNING_MS) return
            isPastBeginning = true
            post(FlowEvent.ResponsePastBeginning(id))
        }

        private fun onFailedBody(content: ByteBuf) {
            when {
                failedBody.size() + content.readableBytes() <= MAX_BUFFERED_BYTES &&
                    incoming.hold(content.readableBytes()) ->
                    content.readBytes(failedBody, content.readableBytes())

                head?.isNotRun == true -> {
                    call?.cancel()
                    onEnd()
                }

                else -> giveUp("an error response over $MAX_BUFFERED_BYTES bytes, or without room in memory")
            }
        }

        private fun giveUp(cause: String) {
            call?.cancel()
            onFailed(CallFailure(CallProgress.SENT, cause, BreakReason.INVALID))
        }

        override fun onEnd() {
            if (splitter?.isInsideEvent == true) {
                val cause = "the stream ended inside an event"
                return onFailed(CallFailure(CallProgress.SENT, cause, BreakReason.INSIDE_EVENT))
            }
            if (splitter != null && !hasEvents && framing == BodyFraming.CONNECTION_END) {
                val cause = "the stream ended with its connection before its first event"
                return onFailed(CallFailure(CallProgress.SENT, cause, BreakReason.CLOSED))
            }
            currentSend = null
            val decoded = head ?: return onFailed(CallFailure(CallProgress.SENT, "a response without a head"))
            when {
                isStarted -> {
                    splitter?.takeRest()?.let { if (it.isReadable) incoming.write(it) else it.release() }
                    incoming.end()
                    deps.remove()
                    deps.metrics.answerMs.record(elapsedMs())
                    deps.metrics.countResponse("complete", framing.name)
                    val isEndCertain = framing != BodyFraming.CONNECTION_END
                    post(FlowEvent.ResponseCompleted(id, status, "ended by $framing", isEndCertain))
                }

                decoded.isNotRun -> post(FlowEvent.SendFailed(id, SendFailure.NotRun(status), decoded.load))

                decoded.hasProof -> {
                    val encoded = encodeResponseHeaders(checkNotNull(headers))
                    buffered = BufferedResponse(status, encoded, failedBody.toByteArray(), framing)
                    post(FlowEvent.SendFailed(id, SendFailure.FailedAnswer(status), decoded.load))
                }

                else -> post(FlowEvent.SendFailed(id, SendFailure.Lost("status $status without proof")))
            }
        }

        override fun onFailed(failure: CallFailure) {
            if (currentSend !== this && call != null) return
            currentSend = null
            val cause = if (isStarted) "${failure.cause}, framed by $framing" else failure.cause
            if (isStarted) deps.metrics.countResponse("broken off", failure.reason.name)
            val mayBeCrash = failure.reason in CRASH_REASONS
            val sendFailure = when {
                isStarted -> SendFailure.Broken(
                    splitter?.isResumable == true,
                    splitter?.lastId,
                    cause,
                    mayBeCrash,
                    activeForMs,
                    hasEvents,
                )

                failure.progress == CallProgress.SENT ->
                    SendFailure.Lost(cause, mayBeCrash, mayHaveBegun = failure.reason == BreakReason.RESET)

                failure.progress == CallProgress.UNREACHABLE ->
                    SendFailure.NotSent(cause, isRefused = failure.reason == BreakReason.REFUSED)

                else -> SendFailure.NotAttempted(cause)
            }
            post(FlowEvent.SendFailed(id, sendFailure))
        }
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299

        /** What a crash of the target may look like. */
        val CRASH_REASONS = setOf(BreakReason.CLOSED, BreakReason.RESET, BreakReason.INSIDE_EVENT, BreakReason.SILENT)
    }
}
