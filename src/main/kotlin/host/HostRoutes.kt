/*
 * HTTP routes of an entry host for callers, operators and monitoring.
 */
package org.sesamerouter.host

import org.sesamerouter.api.AddressAnswer
import org.sesamerouter.api.OutcomeAnswer
import org.sesamerouter.api.OutcomeState
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RefusalReason
import org.sesamerouter.api.RunCall
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.api.isTooDeep
import org.sesamerouter.ledger.Ticket
import org.sesamerouter.location.chooseHost
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest
import org.sesamerouter.pipeline.CallTarget
import org.sesamerouter.web.HttpCall
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicLong

private const val OK = 200
private const val NOT_FOUND = 404
private const val UNAVAILABLE = 503
private const val OUTCOME_TIMEOUT_MS = 2_000L
private const val NOT_READY_RETRY_MS = 100L

internal class HostRoutes(private val host: EntryHost) {
    private val requestCount = AtomicLong()
    private val operators = OperatorRoutes(host)
    private val metrics = HostMetrics(host)

    /** Dispatches [call]; runs on an event loop. */
    fun handle(call: HttpCall) {
        val path = call.segments
        when {
            !host.isStarted -> {
                val remedy = "this host is starting; request an address again"
                refuse(call, Refusal(RefusalKind.NOT_RUN, RefusalReason.NOT_READY, remedy, NOT_READY_RETRY_MS))
            }

            call.path == "/metrics" -> call.reply(OK, metrics.scrape(), "text/plain; version=0.0.4")

            call.path == "/live" -> call.reply(OK, "{}")

            call.path == "/ready" -> replyReady(call)

            call.path == "/v1/dump" -> replyDump(call)

            call.path == "/v1/address" -> replyAddress(call)

            call.path == "/v1/requests" -> handleRequests(call)

            path.size == 3 && path[1] == "pipelines" && call.method == "POST" ->
                run(call, CallTarget.PipelineCall(path[2]))

            path.size == 4 && path[1] == "services" && call.method == "POST" ->
                run(call, CallTarget.ServiceCall(path[2], path[3]))

            path.size >= 2 && path[1] in setOf("resources", "watch") -> operators.handle(call)

            else -> {
                val remedy = "no route for ${call.method} ${call.path}; see docs/API.md"
                refuse(call, Refusal(RefusalKind.NOT_RUN, RefusalReason.UNKNOWN_RESOURCE, remedy))
            }
        }
    }

    private fun replyReady(call: HttpCall) {
        val view = host.view
        val isReady = view.ready && !view.leaving && !view.isolated
        call.reply(if (isReady) OK else UNAVAILABLE, """{"ready":$isReady,"leaving":${view.leaving}}""")
    }

    private fun replyDump(call: HttpCall) = host.loop.post {
        val dump = host.dumpOnLoop()
        call.reply(OK, WireJson.encodeToString(StateDump.serializer(), dump))
    }

    private fun replyAddress(call: HttpCall) {
        val view = host.view
        val dataCentre = call.query["data_centre"] ?: view.self.dataCentre
        val chosen = chooseHost(view.members, dataCentre, ThreadLocalRandom.current())
        if (chosen == null) {
            val remedy = "no host is ready yet; retry after retry_after_ms"
            refuse(call, Refusal(RefusalKind.NOT_RUN, RefusalReason.NOT_READY, remedy, NOT_READY_RETRY_MS))
            return
        }
        val nonce = ThreadLocalRandom.current().nextLong().toULong().toString(36)
        val ticket = Ticket(chosen.host, chosen.incarnation, chosen.epoch, nonce)
        val lifetime = host.settings.timing.addressLifetimeMs
        val answer = AddressAnswer(chosen.http, chosen.dataCentre, lifetime, ticket.toString())
        call.reply(OK, WireJson.encodeToString(AddressAnswer.serializer(), answer))
    }

    private fun run(call: HttpCall, target: CallTarget) {
        val request = "${host.settings.host.id}-${host.view.self.incarnation.toString(
            36,
        )}-${requestCount.incrementAndGet()}"
        val parsed = parseRunCall(call)
        if (parsed == null) {
            val remedy = "send a JSON object with organisation and input, nested at most 64 deep; see docs/API.md"
            refuse(call, Refusal(RefusalKind.NOT_RUN, RefusalReason.BAD_REQUEST, remedy, request = request))
            return
        }
        if (host.view.isolated) {
            val remedy = "this host is isolated from the cluster; request an address from another host"
            refuse(call, Refusal(RefusalKind.NOT_RUN, RefusalReason.NOT_READY, remedy, NOT_READY_RETRY_MS, request))
            return
        }
        val exchange = host.traffic.submit(
            request,
            target,
            parsed,
            HttpAnswerSink(call, parsed.stream),
            forwarded = false,
        )
        call.onWritable = exchange::onWritable
        call.onClosed = {
            exchange.onWritable()
            host.traffic.cancel(request)
        }
    }

    private fun parseRunCall(call: HttpCall): RunCall? =
        if (isTooDeep(call.body)) null else WireJson.decodeOrNull(RunCall.serializer(), call.body)

    private fun handleRequests(call: HttpCall) {
        val name = call.query["key"] ?: call.query["request"].orEmpty()
        host.loop.post {
            when (call.method) {
                "DELETE" -> {
                    val found = host.traffic.cancelByIdOrKey(name)
                    call.reply(if (found) OK else NOT_FOUND, """{"cancelled":$found}""")
                }

                else -> lookUpOutcome(call, name)
            }
        }
    }

    private fun lookUpOutcome(call: HttpCall, key: String) {
        val localOutcome = host.ledger.outcome(key)
        val holder = host.ledger.holderOf(key)
        when {
            localOutcome != null -> replyOutcome(call, localOutcome)

            holder != null && host.membership.isLive(holder) && holder != host.membership.self.holder -> {
                val peer = checkNotNull(host.membership.member(holder.host)).peer
                host.link.request(peer, PeerRequest.Outcome(key), OUTCOME_TIMEOUT_MS) { peerOutcome ->
                    val reply = (peerOutcome as? PeerOutcome.Replied)?.reply as? PeerReply.Outcome
                    val known = reply?.outcome?.let { WireJson.decodeFromString(OutcomeAnswer.serializer(), it) }
                    replyOutcome(call, known ?: OutcomeAnswer(key, OutcomeState.UNKNOWN))
                }
            }

            else -> replyOutcome(call, OutcomeAnswer(key, OutcomeState.UNKNOWN))
        }
    }

    private fun replyOutcome(call: HttpCall, outcome: OutcomeAnswer) =
        call.reply(OK, WireJson.encodeToString(OutcomeAnswer.serializer(), outcome))

    private fun refuse(call: HttpCall, refusal: Refusal) =
        call.reply(refusal.reason.status, WireJson.encodeToString(Refusal.serializer(), refusal))
}
