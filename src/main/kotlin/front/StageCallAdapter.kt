/*
 * Does the calls that the queues of stage pools ask for.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.platform.decodeAnswerHead
import org.sesamerouter.platform.decodeStageRun
import org.sesamerouter.platform.encodeStageFree
import org.sesamerouter.platform.encodeStageRun
import org.sesamerouter.web.AnswerListener
import org.sesamerouter.web.ForwardCall
import org.sesamerouter.web.ForwardClient
import java.io.ByteArrayOutputStream
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

private const val OK_STATUS = 200
private const val MAX_REPLY_BYTES = 1024 * 1024
private const val FREE_TIMEOUT_MS = 2_000L

internal class StageCallAdapter(
    private val client: ForwardClient,
    private val traffic: EventLoop,
    private val control: ControlLoop,
    private val log: DecisionLog,
    private val metrics: FrontMetrics,
) : StageTargets {
    override fun run(call: PoolEffect.Call, maxConnections: Int, done: (CallOutcome) -> Unit) {
        metrics.stageCalls.increment()
        metrics.stagePieces.increment(call.items.size.toDouble())
        traffic.execute {
            val reply = SmallReply { status, isNotRun, body ->
                val outcome = outcomeOf(call, status, isNotRun, body)
                if (outcome !is CallOutcome.Answered) {
                    log.write("stage-call-failed", "call" to call.call, "target" to call.target.id, "why" to outcome)
                }
                control.post { done(outcome) }
            }
            reply.call = client.send(
                call.target.address,
                encodeStageRun(call.target, call.items),
                reply,
                maxConnections,
            )
            reply.limit(traffic, call.timeoutMs)
        }
    }

    override fun free(effect: PoolEffect.Free, done: () -> Unit) = traffic.execute {
        val reply = SmallReply { _, _, _ -> control.post(done) }
        reply.call = client.send(effect.target.address, encodeStageFree(effect.target, effect.handles), reply)
        reply.limit(traffic, FREE_TIMEOUT_MS)
    }

    private fun outcomeOf(call: PoolEffect.Call, status: Int, isNotRun: Boolean, body: String): CallOutcome = when {
        isNotRun -> CallOutcome.Refused

        status == OK_STATUS ->
            decodeStageRun(call.target, call.items.size, body)?.let { CallOutcome.Answered(it) }
                ?: CallOutcome.Failed("the reply is not one to this call")

        else -> CallOutcome.Failed(if (status == 0) body else "status $status")
    }
}

/** Collects a small reply; status 0 with the cause as the body stands for none. */
private class SmallReply(private val done: (status: Int, isNotRun: Boolean, body: String) -> Unit) : AnswerListener {
    var call: ForwardCall? = null
    private var timeout: Future<*>? = null
    private var status = 0
    private var isNotRun = false
    private var isOver = false
    private val body = ByteArrayOutputStream()

    fun limit(traffic: EventLoop, ms: Long) {
        if (isOver) return
        timeout = traffic.schedule({
            call?.cancel()
            end(0, "no reply within $ms ms")
        }, ms, TimeUnit.MILLISECONDS)
    }

    override fun onHead(status: Int, headers: HttpHeaders) {
        this.status = status
        isNotRun = decodeAnswerHead(headers).isNotRun
    }

    override fun onBody(content: ByteBuf) {
        if (body.size() + content.readableBytes() <= MAX_REPLY_BYTES) content.readBytes(body, content.readableBytes())
    }

    override fun onEnd() = end(status, body.toString(Charsets.UTF_8))

    override fun onFailed(sent: Boolean, cause: String) {
        isNotRun = false
        end(0, cause)
    }

    private fun end(status: Int, text: String) {
        if (isOver) return
        isOver = true
        timeout?.cancel(false)
        done(status, isNotRun, text)
    }
}
