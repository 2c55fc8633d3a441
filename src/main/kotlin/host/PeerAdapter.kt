/*
 * Connects the peer link to the control state: membership probes, configuration catch-up, forwarded calls, notices of
 * target deaths and the transfer of key outcomes.
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

private const val BROADCAST_TIMEOUT_MS = 1_000L
private const val BROADCAST_FANOUT = 32
private const val OUTCOMES_PER_FRAME = 1_000
private val OUTCOME_LIST = ListSerializer(OutcomeAnswer.serializer())

internal class PeerAdapter(private val host: EntryHost, private val clock: Clock) :
    PeerHandler,
    TrafficDependencies {
    /** Messages that arrive before the host has started are dropped: probes are repeated and requests time out. */
    override fun onProbe(message: ProbeMessage, from: String) = postIfStarted {
        host.membership.onMessage(message, from, clock.nowMs()).forEach(host.link::sendProbe)
    }

    override fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit) = postIfStarted {
        when (request) {
            is PeerRequest.CatchUp -> reply(catchUp(request.revision))

            is PeerRequest.Forward -> runForwarded(request, reply)

            is PeerRequest.Outcome -> reply(PeerReply.Outcome(host.ledger.outcome(request.key)?.let(::encodeOutcome)))

            is PeerRequest.Deaths -> {
                request.notices.forEach { host.serving.quarantine.onDeath(it, clock.nowMs()) }
                reply(PeerReply.Acknowledged)
            }

            // Only front hosts handle these requests. No reply is sent, so the sender's request times out.
            is ServingRequest -> Unit

            is PeerRequest.TransferOutcomes -> {
                WireJson.decodeOrNull(OUTCOME_LIST, request.outcomes)?.let(host.ledger::importOutcomes)
                reply(PeerReply.Acknowledged)
            }
        }
    }

    /** Transfers [outcomes] to the other hosts, which answer queries for them once this host has stopped. */
    fun transferOutcomes(outcomes: List<OutcomeAnswer>) {
        for (chunk in outcomes.chunked(OUTCOMES_PER_FRAME)) {
            val request = PeerRequest.TransferOutcomes(WireJson.encodeToString(OUTCOME_LIST, chunk))
            otherHosts().forEach { host.link.request(it.peer, request, BROADCAST_TIMEOUT_MS) {} }
        }
    }

    private fun otherHosts() = host.membership.live().filter {
        it.host != host.membership.self.host
    }.take(BROADCAST_FANOUT)

    private fun postIfStarted(task: () -> Unit) {
        if (host.isStarted) host.loop.post(task)
    }

    override fun appendClaim(claim: ClaimRecord) = host.claims.append(claim)

    /** Notifies hosts directly, because the caller may retry the request at any of them within milliseconds. */
    override fun broadcastDeath(notice: DeathNotice) {
        otherHosts().forEach { host.link.request(it.peer, PeerRequest.Deaths(listOf(notice)), BROADCAST_TIMEOUT_MS) {} }
    }

    override fun requestHolder(
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
        val known = host.configurationReplica.catchUp(revision)
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

/** Sends the answer of a forwarded call back to the host that forwarded it. */
private class PeerSink(private val reply: (PeerReply) -> Unit) : AnswerSink {
    override val isWritable = true

    override fun token(position: Int, token: String) = Unit

    override fun complete(answer: RunAnswer) =
        reply(PeerReply.Answer(WireJson.encodeToString(RunAnswer.serializer(), answer)))

    override fun refuse(refusal: Refusal) =
        reply(PeerReply.Refused(WireJson.encodeToString(Refusal.serializer(), refusal)))
}
