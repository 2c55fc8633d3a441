/*
 * Carries the bytes of forwarded requests: takes them from callers, sends them to the targets that the control thread
 * chose, and passes answers on as they come. Runs on the event loop; decisions come from the control thread.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import net.openhft.hashing.LongHashFunction
import org.sesamerouter.clock.Clock
import org.sesamerouter.platform.CallerHeaders
import org.sesamerouter.platform.decodeCallerHeaders
import org.sesamerouter.platform.encodeOwnAnswer
import org.sesamerouter.serving.CallerOrganisation
import org.sesamerouter.serving.FlowEffect
import org.sesamerouter.serving.FlowEvent
import org.sesamerouter.serving.ForwardRequest
import org.sesamerouter.serving.Route
import org.sesamerouter.serving.ServingConfig
import org.sesamerouter.web.ForwardClient
import org.sesamerouter.web.IncomingRequest
import java.util.concurrent.TimeUnit

private const val UNAUTHORIZED = 401
private const val NOT_FOUND = 404
private const val BAD_REQUEST = 400
private const val UNAVAILABLE = 503
private const val STARTING_RETRY_MS = 300L // a host has its first configuration within this
private const val SWEEP_MS = 200L

/** What the exchanges need of the rest of this host. */
internal interface ExchangeContext {
    /** The configuration in force, readable from any thread. */
    val config: ServingConfig?

    /** Gives [event] to the control thread. */
    fun post(event: FlowEvent)
}

/** The requests whose callers wait on this host. */
internal class CallerExchanges(
    private val context: ExchangeContext,
    private val client: ForwardClient,
    private val loop: EventLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    private val metrics: FrontMetrics,
) {
    private val exchanges = HashMap<Long, CallerExchange>()
    private var sequence = 0L

    init {
        loop.scheduleAtFixedRate(::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS)
    }

    /** Takes in a request of a caller. */
    fun onRequest(incoming: IncomingRequest) {
        val now = clock.nowMs()
        val headers = decodeCallerHeaders(incoming.headers)
        val config = context.config
        metrics.arrived.increment()
        if (config == null) {
            refuse(incoming, headers, UNAVAILABLE, "no configuration yet", STARTING_RETRY_MS)
            return
        }
        val route = config.route(headers.authority, incoming.uri.substringBefore('?'))
        val organisation = headers.key?.let(config::organisationOf)
        when {
            route == null -> refuse(incoming, headers, NOT_FOUND, "no route in version ${config.version}")

            config.hasOrganisations && !route.isPublic && organisation == null ->
                refuse(incoming, headers, UNAUTHORIZED, "unknown key in version ${config.version}")

            headers.id == null -> refuse(incoming, headers, BAD_REQUEST, "no request id")

            route.shares.isEmpty() ->
                refuse(incoming, headers, UNAVAILABLE, "route ${route.name} has no service", STARTING_RETRY_MS)

            else -> {
                val request = requestOf(incoming, headers, route, organisation, config, now)
                val exchange = CallerExchange(
                    request,
                    incoming,
                    organisation?.name,
                    ExchangeLinks(client, context, clock, metrics) { exchanges.remove(request.flow) },
                )
                exchanges[request.flow] = exchange
                incoming.onClosed = {
                    exchange.onCallerLeft()
                    context.post(FlowEvent.CallerDisconnected(request.flow))
                }
                log.write(
                    "request", "request" to request.id, "flow" to request.flow, "route" to route.name,
                    "version" to config.version, "service" to request.service, "organisation" to organisation?.name,
                    "rank" to request.rank, "pieces" to request.pieces.joinToString(","),
                    "left-ms" to request.deadlineMs - now,
                )
                context.post(FlowEvent.Arrived(request))
            }
        }
    }

    /** Does what the control thread decided; on the event loop. */
    fun apply(effect: FlowEffect) {
        when (effect) {
            is FlowEffect.Send -> exchanges[effect.send.flow]?.send(effect)
            is FlowEffect.CancelSend -> exchanges[effect.send.flow]?.cancelSend(effect.send)
            is FlowEffect.Reject -> exchanges[effect.flow]?.reject(effect)
            is FlowEffect.DeliverFailure -> exchanges[effect.flow]?.deliverHeld()
            is FlowEffect.AbortResponse -> exchanges[effect.flow]?.cut()
            else -> Unit
        }
    }

    private fun refuse(
        incoming: IncomingRequest,
        headers: CallerHeaders,
        status: Int,
        reason: String,
        retryAfterMs: Long? = null,
    ) {
        metrics.refused.increment()
        log.write("refused", "request" to headers.id, "status" to status, "reason" to reason)
        incoming.reply(status, headers = encodeOwnAnswer(headers.id, retryAfterMs))
    }

    private fun requestOf(
        incoming: IncomingRequest,
        headers: CallerHeaders,
        route: Route,
        organisation: CallerOrganisation?,
        config: ServingConfig,
        now: Long,
    ): ForwardRequest {
        val left = minOf(headers.deadlineMs ?: Long.MAX_VALUE, route.timeoutMs)
        val id = checkNotNull(headers.id)
        val content = LongHashFunction.xx3().hashBytes(incoming.body)
        return ForwardRequest(
            flow = ++sequence,
            id = id,
            route = route,
            service = serviceOf(route, id),
            rank = config.rankOf(organisation, route),
            arrivedMs = now,
            deadlineMs = now + left,
            callerTimeoutMs = headers.deadlineMs,
            pieces = if (route.stages.isEmpty()) emptyList() else headers.pieces,
            pieceKey = headers.pieceKey,
            promptParts = headers.parts,
            fingerprint = "${incoming.method} ${incoming.uri} ${organisation?.name} ${content.toULong()}",
            lastEventId = headers.lastEventId,
        )
    }

    private fun serviceOf(route: Route, id: String): String {
        val total = route.shares.sumOf { it.weight }
        if (route.shares.size == 1 || total <= 0) return route.shares.first().service
        var left = (LongHashFunction.xx3().hashChars(id).toULong() % total.toULong()).toInt()
        return route.shares.first { share ->
            left -= share.weight
            left < 0
        }.service
    }

    private fun sweep() {
        val now = clock.nowMs()
        exchanges.values.toList().forEach { it.checkSilence(now) }
    }
}
