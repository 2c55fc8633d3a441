/*
 * Joins the link between hosts with the control state: membership datagrams, catch-up, forwarded calls, deaths.
 */
package org.sesamerouter.host

import kotlinx.serialization.builtins.ListSerializer
import org.sesamerouter.api.OutcomeAnswer
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.api.RunCall
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.clock.Clock
import org.sesamerouter.configuration.SnapshotState
import org.sesamerouter.ledger.ClaimRecord
import org.sesamerouter.membership.PeerHandler
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PeerRecord
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest
import org.sesamerouter.membership.ProbeMessage
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.pipeline.CallTarget
import org.sesamerouter.pipeline.RequestEffect
import org.sesamerouter.quarantine.DeathNotice

private const val SHARE_TIMEOUT_MS = 1_000L
private const val SHARE_FANOUT = 32
private const val OUTCOMES_PER_FRAME = 1_000
private val OUTCOMES = ListSerializer(OutcomeAnswer.serializer())

internal class PeerAdapter(private val host: EntryHost, private val clock: Clock) :
    PeerHandler,
    TrafficPeers {
    /** What comes before the host is put together is dropped: probes are sent again, and askers have timeouts. */
    override fun onProbe(message: ProbeMessage, from: String) = whenStarted {
        host.membership.onMessage(message, from, clock.nowMs()).forEach(host.link::sendProbe)
    }

    override fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit) = whenStarted {
        when (request) {
            is PeerRequest.CatchUp -> reply(catchUp(request.revision))

            is PeerRequest.Forward -> runForwarded(request, reply)

            is PeerRequest.Outcome -> reply(PeerReply.Outcome(host.ledger.outcome(request.key)?.let(::encodeOutcome)))

            is PeerRequest.Deaths -> {
                request.notices.forEach { host.serving.quarantine.onDeath(it, clock.nowMs()) }
                reply(PeerReply.Taken)
            }

            // Hosts that forward requests have their own handler; this one has no answer and the asker a timeout.
            is ServingRequest -> Unit

            is PeerRequest.Inherit -> {
                WireJson.decodeOrNull(OUTCOMES, request.outcomes)?.let(host.ledger::inherit)
                reply(PeerReply.Taken)
            }
        }
    }

    /** Hands [outcomes] to the other hosts, which answer for them once this host is gone. */
    fun handOver(outcomes: List<OutcomeAnswer>) {
        for (part in outcomes.chunked(OUTCOMES_PER_FRAME)) {
            val request = PeerRequest.Inherit(WireJson.encodeToString(OUTCOMES, part))
            others().forEach { host.link.request(it.peer, request, SHARE_TIMEOUT_MS) {} }
        }
    }

    private fun others() = host.membership.live().filter { it.host != host.membership.self.host }.take(SHARE_FANOUT)

    private fun whenStarted(task: () -> Unit) {
        if (host.isStarted) host.loop.post(task)
    }

    override fun appendClaim(claim: ClaimRecord) = host.claims.append(claim)

    /** Tells the other hosts directly: the caller may send the request to any of them within milliseconds. */
    override fun shareDeath(notice: DeathNotice) {
        others().forEach { host.link.request(it.peer, PeerRequest.Deaths(listOf(notice)), SHARE_TIMEOUT_MS) {} }
    }

    override fun ask(
        effect: RequestEffect.Forward,
        request: PeerRequest,
        timeoutMs: Long,
        done: (PeerOutcome) -> Unit,
    ) {
        val member = host.membership.member(effect.holder.host)
        if (member == null || member.holder != effect.holder) {
            done(PeerOutcome.Failed(sent = false))
        } else {
            host.link.request(member.peer, request, timeoutMs, done)
        }
    }

    private fun catchUp(revision: Long): PeerReply {
        val known = host.keeper.catchUp(revision)
        val snapshot = known.snapshot?.let { WireJson.encodeToString(SnapshotState.serializer(), it) }
        return PeerReply.Configuration(snapshot, known.records.map { PeerRecord(it.offset, it.payload) })
    }

    private fun runForwarded(request: PeerRequest.Forward, reply: (PeerReply) -> Unit) {
        val call = WireJson.decodeOrNull(RunCall.serializer(), request.call) ?: return
        val target = CallTarget.ServiceCall(request.pool, request.operation)
        host.traffic.submit("f-${request.request}", target, call, PeerSink(reply), forwarded = true)
    }
}

private fun encodeOutcome(outcome: OutcomeAnswer) = WireJson.encodeToString(OutcomeAnswer.serializer(), outcome)

/** Answers a forwarded call to the host that sent it. */
private class PeerSink(private val reply: (PeerReply) -> Unit) : AnswerSink {
    override val isWritable = true

    override fun token(position: Int, token: String) = Unit

    override fun complete(answer: RunAnswer) =
        reply(PeerReply.Answer(WireJson.encodeToString(RunAnswer.serializer(), answer)))

    override fun refuse(refusal: Refusal) =
        reply(PeerReply.Refused(WireJson.encodeToString(Refusal.serializer(), refusal)))
}
