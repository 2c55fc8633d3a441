/*
 * Executes the effects of the request coordinator and reports their outcomes back to it as events. The maps are
 * confined to the control thread; callbacks from event loops are posted to it.
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

private const val FORWARD_MARGIN_MS = 1_000L
private const val NO_REPLY_RETRY_MS = 500L

/** Operations of other slices that the traffic adapter depends on; called on the control thread. */
internal interface TrafficDependencies {
    /** Appends a key claim to the platform log. */
    fun appendClaim(claim: ClaimRecord)

    /** Notifies the other hosts of a target death. */
    fun broadcastDeath(notice: DeathNotice)

    /** Sends [request] to the host that holds the key; [done] may be called on any thread. */
    fun requestHolder(effect: RequestEffect.Forward, request: PeerRequest, timeoutMs: Long, done: (PeerOutcome) -> Unit)
}

/** Runs requests. [submit], [cancel] and [onEvent] may be called from any thread. */
internal class TrafficAdapter(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val coordinator: RequestCoordinator,
    private val runner: AttemptRunner,
    private val maxAnswerBytes: Int,
    private val dependencies: TrafficDependencies,
) {
    private val exchanges = HashMap<String, CallerExchange>()
    private val requestByKey = HashMap<String, String>()
    private val keyByRequest = HashMap<String, String>()
    private val calls = HashMap<AttemptId, ClientCall>()

    /** Number of requests whose caller is still waiting; read on the control thread. */
    val waitingCallers: Int get() = exchanges.size

    /** Submits a caller's request. The connection notifies the returned exchange when it is writable again. */
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
                requestByKey[call.key] = request
                keyByRequest[request] = call.key
            }
            handle(RequestEvent.Arrived(request, target, call, forwarded))
        }
        return exchange
    }

    /** Cancels [request], whose caller disconnected. */
    fun cancel(request: String) = loop.post { handle(RequestEvent.Cancelled(request)) }

    /** Cancels the request with the id or idempotency key [name]; runs on the control thread. */
    fun cancelByIdOrKey(name: String): Boolean {
        val request = requestByKey[name] ?: name
        if (request !in exchanges) return false
        handle(RequestEvent.Cancelled(request))
        return true
    }

    /** Posts [event] to the coordinator. */
    fun onEvent(event: RequestEvent) = loop.post { handle(event) }

    /** Passes [event] to the coordinator and executes the resulting effects; on the control thread. */
    fun handle(event: RequestEvent) = coordinator.handle(event, clock.nowMs()).forEach(::execute)

    /** Ends all requests with the answer that is true for them; on the control thread. */
    fun endServing() {
        handle(RequestEvent.ServingEnded)
        // The requests that are left were forwarded: the host that holds the key goes on with them.
        exchanges.keys.toList().forEach { request -> removeExchange(request)?.refuse(forwardEnded(request)) }
    }

    private fun execute(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.StartAttempt -> startAttempt(effect)

            is RequestEffect.CancelAttempt -> calls.remove(effect.attempt)?.cancel()

            is RequestEffect.Probe -> runner.load(effect.address) { report ->
                onEvent(RequestEvent.Probed(effect.target, effect.address, report))
            }

            is RequestEffect.Complete ->
                removeExchange(effect.request)?.complete(effect.answer.copy(request = effect.request))

            is RequestEffect.Refuse -> removeExchange(effect.request)?.refuse(effect.refusal)

            is RequestEffect.Forward -> forward(effect)

            is RequestEffect.AppendClaim -> dependencies.appendClaim(effect.claim)

            is RequestEffect.BroadcastDeath -> dependencies.broadcastDeath(effect.notice)
        }
    }

    private fun removeExchange(request: String): CallerExchange? {
        keyByRequest.remove(request)?.let { key -> requestByKey.remove(key, request) }
        return exchanges.remove(request)
    }

    private fun startAttempt(effect: RequestEffect.StartAttempt) {
        val exchange = exchanges[effect.attempt.request]
            ?: CallerExchange(effect.attempt.request, DiscardingSink, stream = false, maxAnswerBytes)
        val listener = StageAttemptListener(effect, exchange)
        calls[effect.attempt] = runner.start(effect.address, effect.run, effect.nonIdempotent, listener)
    }

    private fun finishAttempt(event: RequestEvent, attempt: AttemptId) = loop.post {
        calls.remove(attempt)
        handle(event)
    }

    private fun forward(effect: RequestEffect.Forward) {
        val service = effect.target as? CallTarget.ServiceCall ?: return
        val body = WireJson.encodeToString(RunCall.serializer(), effect.call)
        val request = PeerRequest.Forward(effect.request, service.pool, service.operation, body)
        val timeoutMs = maxOf(effect.call.deadlineMs, FORWARD_MARGIN_MS) + FORWARD_MARGIN_MS
        dependencies.requestHolder(effect, request, timeoutMs) { outcome ->
            loop.post { completeForwarded(effect.request, outcome) }
        }
    }

    private fun completeForwarded(request: String, outcome: PeerOutcome) {
        val exchange = removeExchange(request) ?: return
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
                    "the host that holds this key did not respond; query the key's outcome after retry_after_ms",
                    NO_REPLY_RETRY_MS,
                    request,
                ),
            )
        }
    }

    private fun forwardEnded(request: String): Refusal {
        val remedy = "this host is stopping; query the outcome of the key at another host"
        val kind = RefusalKind.OUTCOME_UNKNOWN
        return Refusal(kind, RefusalReason.HOST_STOPPING, remedy, NO_REPLY_RETRY_MS, request)
    }

    private inner class StageAttemptListener(
        private val effect: RequestEffect.StartAttempt,
        private val exchange: CallerExchange,
    ) : AttemptListener {
        private val attempt = effect.attempt

        override fun onToken(call: ClientCall, position: Int, token: String): Boolean {
            val result = exchange.onToken(attempt, effect.stage, effect.isLast, position, token)
            when (result) {
                TokenResult.FIRST -> onEvent(RequestEvent.FirstToken(attempt))
                TokenResult.TAKEN -> Unit
                TokenResult.LOST_RACE -> fail(AttemptFailure.LOST_RACE)
                TokenResult.GAP -> fail(AttemptFailure.ERROR)
                TokenResult.TOO_LARGE -> fail(AttemptFailure.TOO_LARGE)
            }
            val isAccepted = result == TokenResult.FIRST || result == TokenResult.TAKEN
            if (isAccepted) exchange.throttle(call)
            return isAccepted
        }

        override fun onAnswer(line: TargetLine) {
            if (!exchange.isComplete(attempt, effect.stage, line.count)) {
                val lostRace = !exchange.canOwn(attempt, effect.stage)
                fail(if (lostRace) AttemptFailure.LOST_RACE else AttemptFailure.ERROR)
                return
            }
            val text = exchange.progress().text
            finishAttempt(RequestEvent.Succeeded(attempt, line.output, text, line.count, line.load), attempt)
        }

        override fun onRefused(leaving: Boolean) =
            fail(if (leaving) AttemptFailure.REFUSED_LEAVING else AttemptFailure.REFUSED)

        override fun onError() = fail(AttemptFailure.ERROR)

        override fun onConnectionFailed(sent: Boolean) =
            fail(if (sent) AttemptFailure.CUT else AttemptFailure.NEVER_SENT)

        private fun fail(failure: AttemptFailure) {
            val progress = exchange.release(attempt, effect.stage)
            finishAttempt(RequestEvent.Failed(attempt, failure, progress.position, progress.text), attempt)
        }
    }
}

/** Discards the answer of a request whose caller has disconnected; the ledger retains the outcome. */
private object DiscardingSink : AnswerSink {
    override val isWritable = true

    override fun token(position: Int, token: String) = Unit

    override fun complete(answer: RunAnswer) = Unit

    override fun refuse(refusal: Refusal) = Unit
}
