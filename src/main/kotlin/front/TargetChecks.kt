/*
 * Checks whether a target that lost a response still runs, by its health path. Each check opens a connection that
 * carries nothing else, since its answer bears no id.
 */
package org.sesamerouter.front

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.discovery.TargetIncarnation
import org.sesamerouter.platform.answersAs
import org.sesamerouter.platform.decodeColdNotice
import org.sesamerouter.platform.encodeTargetCheck
import org.sesamerouter.routing.TargetNotice
import org.sesamerouter.serving.TargetVerdict
import org.sesamerouter.web.BodyFraming
import org.sesamerouter.web.BreakReason
import org.sesamerouter.web.CallFailure
import org.sesamerouter.web.ForwardCall
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.ResponseListener
import java.util.concurrent.TimeUnit

private const val MAX_TRIES = 3
private const val RETRY_MS = 100L
private const val TIMEOUT_MS = 300L // a target that runs answers within a few ms

/**
 * Checks targets; [onNotice] is called with what a target says of itself, [onChecked] with the verdict; both are called
 * on the event loop. One check of an incarnation runs at a time.
 */
internal class TargetChecks(
    private val client: ForwardClient,
    private val eventLoop: EventLoop,
    private val onNotice: (TargetEntry, TargetNotice) -> Unit = { _, _ -> },
    private val onChecked: (TargetEntry, TargetVerdict, cause: String) -> Unit,
) {
    private val running = HashSet<TargetIncarnation>()

    fun start(target: TargetEntry, healthPath: String) = eventLoop.execute {
        val isNew = running.add(TargetIncarnation(target.id, target.startTimeMs))
        if (isNew) tryOnce(target, healthPath, triesLeft = MAX_TRIES)
    }

    private fun tryOnce(target: TargetEntry, healthPath: String, triesLeft: Int) {
        val check = Check(target) { verdict, cause ->
            if (verdict == TargetVerdict.UNKNOWN && triesLeft > 1) {
                eventLoop.schedule({ tryOnce(target, healthPath, triesLeft - 1) }, RETRY_MS, TimeUnit.MILLISECONDS)
            } else {
                running -= TargetIncarnation(target.id, target.startTimeMs)
                onChecked(target, verdict, cause)
            }
        }
        check.call = client.send(target.address, encodeTargetCheck(target, healthPath), check)
        check.startTimeout()
    }

    private inner class Check(
        private val target: TargetEntry,
        private val onEnded: (TargetVerdict, cause: String) -> Unit,
    ) : ResponseListener {
        var call: ForwardCall? = null
        private var isEnded = false
        private var isComplete = false

        /** Ends the check, and the connection of an answer that is not complete by then: its body may have no end. */
        fun startTimeout() {
            eventLoop.schedule({
                if (!isComplete) call?.cancel()
                end(TargetVerdict.UNKNOWN, "no answer within $TIMEOUT_MS ms")
            }, TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }

        override fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming) {
            val verdict = if (target.answersAs(status, headers)) TargetVerdict.RUNS else TargetVerdict.CRASHED
            if (verdict == TargetVerdict.RUNS) decodeColdNotice(headers)?.let { onNotice(target, it) }
            end(verdict, "status $status")
        }

        override fun onBody(content: ByteBuf) = Unit

        override fun onEnd() {
            isComplete = true
        }

        override fun onFailed(failure: CallFailure) {
            isComplete = true
            val isRefused = failure.reason == BreakReason.REFUSED
            end(if (isRefused) TargetVerdict.CRASHED else TargetVerdict.UNKNOWN, failure.cause)
        }

        private fun end(verdict: TargetVerdict, cause: String) {
            if (isEnded) return
            isEnded = true
            onEnded(verdict, cause)
        }
    }
}
