/*
 * Sends the calls that the queues of stage pools start to their targets. Answers bear no id, so only their order on a
 * connection tells which call they belong to: an answer is confirmed as that of its call by the handle of a new result.
 * After any other answer, the one that is due might still follow, and the connection is not used again.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.PieceOutcome
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.batching.ReceivedHandles
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.platform.decodeResponseHead
import org.sesamerouter.platform.decodeSpaceReport
import org.sesamerouter.platform.decodeStageRun
import org.sesamerouter.platform.encodeSpaceReport
import org.sesamerouter.platform.encodeStageFree
import org.sesamerouter.platform.encodeStageRun
import org.sesamerouter.routing.TargetNotice
import org.sesamerouter.web.BodyFraming
import org.sesamerouter.web.CallFailure
import org.sesamerouter.web.ForwardCall
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.ResponseListener
import java.io.ByteArrayOutputStream
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

private const val OK_STATUS = 200
private const val MAX_REPLY_BYTES = 1024 * 1024
private const val FREE_TIMEOUT_MS = 2_000L
private const val REPORT_TIMEOUT_MS = 1_000L

internal class StageCallAdapter(
    private val client: ForwardClient,
    private val eventLoop: EventLoop,
    private val controlLoop: ControlLoop,
    private val log: DecisionLog,
    private val metrics: FrontMetrics,
    private val onNotice: (TargetEntry, TargetNotice) -> Unit,
    private val clock: Clock,
) : StageTargetClient {
    private val receivedHandles = ReceivedHandles()

    override fun run(call: PoolEffect.Call, maxConnections: Int, onEnded: (CallOutcome) -> Unit) {
        metrics.stageCalls.increment()
        metrics.stagePieces.increment(call.items.size.toDouble())
        eventLoop.execute {
            val reply = BufferedReply({ onNotice(call.target, it) }) { reply, status, isNotRun, body ->
                val outcome = outcomeOf(call, status, isNotRun, body)
                if (hasNewResult(outcome)) reply.confirm()
                if (outcome !is CallOutcome.Answered) {
                    log.write("stage-call-failed", "call" to call.call, "target" to call.target.id, "why" to outcome)
                }
                controlLoop.post { onEnded(outcome) }
            }
            reply.call = client.send(
                call.target.address,
                encodeStageRun(call.target, call.items),
                reply,
                maxConnections,
            )
            reply.startTimeout(eventLoop, call.timeoutMs)
        }
    }

    override fun free(effect: PoolEffect.Free, onFreed: () -> Unit) = eventLoop.execute {
        val reply = BufferedReply({ onNotice(effect.target, it) }) { _, _, _, _ -> controlLoop.post(onFreed) }
        reply.call = client.send(effect.target.address, encodeStageFree(effect.target, effect.handles), reply)
        reply.startTimeout(eventLoop, FREE_TIMEOUT_MS)
    }

    override fun askSpace(target: TargetEntry, onReport: (Long?) -> Unit) = eventLoop.execute {
        val reply = BufferedReply({ onNotice(target, it) }) { _, status, _, body ->
            controlLoop.post { onReport(if (status == OK_STATUS) decodeSpaceReport(body) else null) }
        }
        reply.call = client.send(target.address, encodeSpaceReport(target), reply)
        reply.startTimeout(eventLoop, REPORT_TIMEOUT_MS)
    }

    private fun outcomeOf(call: PoolEffect.Call, status: Int, isNotRun: Boolean, body: String): CallOutcome = when {
        isNotRun -> CallOutcome.Refused

        status == OK_STATUS ->
            decodeStageRun(call.target, call.items.size, body)?.let(::answered)
                ?: CallOutcome.Failed("the reply is not one to this call")

        else -> CallOutcome.Failed(if (status == 0) body else "status $status")
    }

    private fun answered(items: List<PieceOutcome>): CallOutcome {
        val now = clock.nowMs()
        val areNew = items.filterIsInstance<PieceOutcome.Made>().map { receivedHandles.add(it.handle, now) }
        return if (areNew.all { it }) {
            CallOutcome.Answered(items)
        } else {
            CallOutcome.Failed("the reply is a second copy of one to an earlier call")
        }
    }

    private fun hasNewResult(outcome: CallOutcome) =
        outcome is CallOutcome.Answered && outcome.items.any { it is PieceOutcome.Made }
}

/** Buffers a small reply. A call without a reply ends with status 0 and the cause as the body. */
private class BufferedReply(
    private val onNotice: (TargetNotice) -> Unit,
    private val onReply: (reply: BufferedReply, status: Int, isNotRun: Boolean, body: String) -> Unit,
) : ResponseListener {
    var call: ForwardCall? = null
    private var timeout: Future<*>? = null
    private var status = 0
    private var isNotRun = false
    private var isEnded = false
    private val body = ByteArrayOutputStream()

    fun startTimeout(eventLoop: EventLoop, ms: Long) {
        if (isEnded) return
        timeout = eventLoop.schedule({
            call?.cancel()
            end(0, "no reply within $ms ms")
        }, ms, TimeUnit.MILLISECONDS)
    }

    override fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming) {
        this.status = status
        val head = decodeResponseHead(status, headers)
        isNotRun = head.isNotRun
        head.notice?.let(onNotice)
    }

    override fun onBody(content: ByteBuf) {
        if (body.size() + content.readableBytes() <= MAX_REPLY_BYTES) {
            content.readBytes(body, content.readableBytes())
        } else {
            call?.cancel()
            end(0, "the reply is longer than $MAX_REPLY_BYTES bytes")
        }
    }

    override fun onEnd() = end(status, body.toString(Charsets.UTF_8))

    override fun onFailed(failure: CallFailure) {
        isNotRun = false
        end(0, failure.cause)
    }

    private fun end(status: Int, text: String) {
        if (isEnded) return
        isEnded = true
        timeout?.cancel(false)
        onReply(this, status, isNotRun, text)
    }

    /** Says that the reply is that of its call. */
    fun confirm() {
        call?.confirmOwnAnswer()
    }
}
