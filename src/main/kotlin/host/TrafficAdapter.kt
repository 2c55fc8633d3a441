/*
 * Carries out what the request coordinator decides and reports back what came of it. The maps belong to the control
 * thread; what comes on event loops is posted to it.
 */
package org.sesamerouter.host

import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RefusalReason
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.api.RunCall
import org.sesamerouter.api.WireJson
import org.sesamerouter.clock.Clock
import org.sesamerouter.ledger.ClaimRecord
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest
import org.sesamerouter.pipeline.AttemptFailure
import org.sesamerouter.pipeline.AttemptId
import org.sesamerouter.pipeline.CallTarget
import org.sesamerouter.pipeline.RequestCoordinator
import org.sesamerouter.pipeline.RequestEffect
import org.sesamerouter.pipeline.RequestEvent
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.target.AttemptListener
import org.sesamerouter.target.AttemptRunner
import org.sesamerouter.target.TargetLine
import org.sesamerouter.web.ClientCall

private const val FORWARD_EXTRA_MS = 1_000L
private const val UNANSWERED_RETRY_MS = 500L

/** What the traffic side asks of other slices; called on the control thread. */
internal interface TrafficPeers {
    /** Appends a claim to the log. */
    fun appendClaim(claim: ClaimRecord)

    /** Tells the other hosts of a death. */
    fun shareDeath(notice: DeathNotice)

    /** Asks the holder of a key; [done] may come on any thread. */
    fun ask(effect: RequestEffect.Forward, request: PeerRequest, timeoutMs: Long, done: (PeerOutcome) -> Unit)
}

/** Runs requests. [submit], [cancel] and [onEvent] may be called from any thread. */
internal class TrafficAdapter(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val coordinator: RequestCoordinator,
    private val runner: AttemptRunner,
    private val maxAnswerBytes: Int,
    private val peers: TrafficPeers,
) {
    private val exchanges = HashMap<String, CallerExchange>()
    private val byKey = HashMap<String, String>()
    private val keys = HashMap<String, String>()
    private val calls = HashMap<AttemptId, ClientCall>()

    /** Requests whose caller waits. Read on the control thread. */
    val waitingCallers: Int get() = exchanges.size

    /** Takes in a caller's request and returns what the connection should tell: that it is writable again. */
    fun submit(
        request: String,
        target: CallTarget,
        call: RunCall,
        sink: AnswerSink,
        forwarded: Boolean,
    ): CallerExchange {
        val exchange = CallerExchange(request, sink, call.stream, maxAnswerBytes)
        loop.post {
            exchanges[request] = exchange
            if (call.key.isNotEmpty()) {
                byKey[call.key] = request
                keys[request] = call.key
            }
            handle(RequestEvent.Arrived(request, target, call, forwarded))
        }
        return exchange
    }

    /** The caller of [request] went away. */
    fun cancel(request: String) = loop.post { handle(RequestEvent.Cancelled(request)) }

    /** Cancels the request with the name or key [name]; runs on the control thread. */
    fun cancelNamed(name: String): Boolean {
        val request = byKey[name] ?: name
        if (request !in exchanges) return false
        handle(RequestEvent.Cancelled(request))
        return true
    }

    /** Posts [event] to the coordinator. */
    fun onEvent(event: RequestEvent) = loop.post { handle(event) }

    /** Gives [event] to the coordinator and carries out its effects; on the control thread. */
    fun handle(event: RequestEvent) = coordinator.handle(event, clock.nowMs()).forEach(::carryOut)

    private fun carryOut(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.StartAttempt -> start(effect)

            is RequestEffect.CancelAttempt -> calls.remove(effect.attempt)?.cancel()

            is RequestEffect.Probe -> runner.load(effect.address) { report ->
                onEvent(RequestEvent.Probed(effect.target, effect.address, report))
            }

            is RequestEffect.Complete -> take(effect.request)?.complete(effect.answer.copy(request = effect.request))

            is RequestEffect.Refuse -> take(effect.request)?.refuse(effect.refusal)

            is RequestEffect.Forward -> forward(effect)

            is RequestEffect.AppendClaim -> peers.appendClaim(effect.claim)

            is RequestEffect.ShareDeath -> peers.shareDeath(effect.notice)
        }
    }

    private fun take(request: String): CallerExchange? {
        keys.remove(request)?.let { key -> byKey.remove(key, request) }
        return exchanges.remove(request)
    }

    private fun start(effect: RequestEffect.StartAttempt) {
        val exchange = exchanges[effect.attempt.request]
            ?: CallerExchange(effect.attempt.request, DiscardingSink, stream = false, maxAnswerBytes)
        val listener = StageListener(effect, exchange)
        calls[effect.attempt] = runner.start(effect.address, effect.run, effect.once, listener)
    }

    private fun end(event: RequestEvent, attempt: AttemptId) = loop.post {
        calls.remove(attempt)
        handle(event)
    }

    private fun forward(effect: RequestEffect.Forward) {
        val service = effect.target as? CallTarget.ServiceCall ?: return
        val body = WireJson.encodeToString(RunCall.serializer(), effect.call)
        val request = PeerRequest.Forward(effect.request, service.pool, service.operation, body)
        val patienceMs = maxOf(effect.call.deadlineMs, FORWARD_EXTRA_MS) + FORWARD_EXTRA_MS
        peers.ask(effect, request, patienceMs) { outcome -> loop.post { answerForwarded(effect.request, outcome) } }
    }

    private fun answerForwarded(request: String, outcome: PeerOutcome) {
        val exchange = take(request) ?: return
        when (val reply = (outcome as? PeerOutcome.Replied)?.reply) {
            is PeerReply.Answer ->
                exchange.complete(
                    WireJson.decodeFromString(RunAnswer.serializer(), reply.answer).copy(request = request),
                )

            is PeerReply.Refused ->
                exchange.refuse(WireJson.decodeFromString(Refusal.serializer(), reply.refusal).copy(request = request))

            else -> exchange.refuse(
                Refusal(
                    RefusalKind.OUTCOME_UNKNOWN,
                    RefusalReason.HOME_HOST_GONE,
                    "the host of this key did not answer; ask for the outcome of the key after retry_after_ms",
                    UNANSWERED_RETRY_MS,
                    request,
                ),
            )
        }
    }

    private inner class StageListener(
        private val effect: RequestEffect.StartAttempt,
        private val exchange: CallerExchange,
    ) : AttemptListener {
        private val attempt = effect.attempt

        override fun onToken(call: ClientCall, position: Int, token: String): Boolean {
            val verdict = exchange.onToken(attempt, effect.stage, effect.isLast, position, token)
            when (verdict) {
                TokenVerdict.FIRST -> onEvent(RequestEvent.FirstToken(attempt))
                TokenVerdict.TAKEN -> Unit
                TokenVerdict.LOST_RACE -> fail(AttemptFailure.LOST_RACE)
                TokenVerdict.GAP -> fail(AttemptFailure.ERROR)
                TokenVerdict.TOO_LARGE -> fail(AttemptFailure.TOO_LARGE)
            }
            val goesOn = verdict == TokenVerdict.FIRST || verdict == TokenVerdict.TAKEN
            if (goesOn) exchange.throttle(call)
            return goesOn
        }

        override fun onAnswer(line: TargetLine) {
            if (!exchange.isWhole(attempt, effect.stage, line.count)) {
                val lost = !exchange.mayOwn(attempt, effect.stage)
                fail(if (lost) AttemptFailure.LOST_RACE else AttemptFailure.ERROR)
                return
            }
            val text = exchange.progress().text
            end(RequestEvent.Succeeded(attempt, line.output, text, line.count, line.load), attempt)
        }

        override fun onRefused(leaving: Boolean) =
            fail(if (leaving) AttemptFailure.REFUSED_LEAVING else AttemptFailure.REFUSED)

        override fun onError() = fail(AttemptFailure.ERROR)

        override fun onCut(sent: Boolean) = fail(if (sent) AttemptFailure.CUT else AttemptFailure.NEVER_SENT)

        private fun fail(failure: AttemptFailure) {
            val progress = exchange.release(attempt, effect.stage)
            end(RequestEvent.Failed(attempt, failure, progress.position, progress.text), attempt)
        }
    }
}

/** Takes the answer of a request whose caller has gone; the ledger keeps it. */
private object DiscardingSink : AnswerSink {
    override val isWritable = true

    override fun token(position: Int, token: String) = Unit

    override fun complete(answer: RunAnswer) = Unit

    override fun refuse(refusal: Refusal) = Unit
}
