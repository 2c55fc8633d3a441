/*
 * Transfers forwarded requests: receives them from callers, sends them to the targets that the control thread chose,
 * and passes responses on as they arrive. Runs on the event loop; all decisions are made on the control thread.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import net.openhft.hashing.LongHashFunction
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.platform.CallerHeaders
import org.sesamerouter.platform.decodeCallerHeaders
import org.sesamerouter.platform.encodeOwnResponseHeaders
import org.sesamerouter.routing.TargetNotice
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
private const val STARTUP_RETRY_AFTER_MS = 300L // a starting host has its first configuration within this time
private const val CHECK_INTERVAL_MS = 200L

/** Host state and functions that the exchanges use. */
internal interface ExchangeContext {
    /** The current configuration; may be read from any thread. */
    val config: ServingConfig?

    /** Passes [event] to the control thread. */
    fun post(event: FlowEvent)

    /** Passes what [target] announced in a response to the control thread. */
    fun onNotice(target: TargetEntry, notice: TargetNotice)

    /** Passes a load report of [target] that cannot be decoded to the control thread. */
    fun onInvalidLoad(target: TargetEntry, text: String)
}

/** The open requests of the callers connected to this host. */
internal class CallerExchanges(
    private val context: ExchangeContext,
    private val client: ForwardClient,
    private val eventLoop: EventLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    private val metrics: FrontMetrics,
) {
    private val exchanges = HashMap<Long, CallerExchange>()
    private var sequence = 0L

    init {
        eventLoop.scheduleAtFixedRate(::checkInactivity, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    /** Handles a new request of a caller. */
    fun onRequest(incoming: IncomingRequest) {
        val now = clock.nowMs()
        val headers = decodeCallerHeaders(incoming.headers)
        val config = context.config
        metrics.arrived.increment()
        if (config == null) {
            refuse(incoming, headers, UNAVAILABLE, "no configuration yet", STARTUP_RETRY_AFTER_MS)
            return
        }
        val route = config.route(headers.authority, incoming.uri.substringBefore('?'))
        val organisation = headers.key?.let(config::organisationOf)
        when {
            route == null -> refuse(incoming, headers, NOT_FOUND, "no route in version ${config.version}")

            config.hasOrganisations && !route.isPublic && organisation == null ->
                refuse(incoming, headers, UNAUTHORIZED, "unknown key in version ${config.version}")

            headers.id == null -> refuse(incoming, headers, BAD_REQUEST, "no request id")

            !hasValidPieces(headers, route) ->
                refuse(incoming, headers, BAD_REQUEST, "Pieces is not up to ${route.stages.size} numbers from 0 on")

            route.shares.isEmpty() ->
                refuse(incoming, headers, UNAVAILABLE, "route ${route.name} has no service", STARTUP_RETRY_AFTER_MS)

            else -> {
                val request = toForwardRequest(incoming, headers, route, organisation, config, now)
                val exchange = CallerExchange(
                    request,
                    incoming,
                    organisation?.name,
                    ExchangeDependencies(client, context, clock, metrics, log) { exchanges.remove(request.flow) },
                )
                exchanges[request.flow] = exchange
                incoming.onClosed = {
                    exchange.onCallerDisconnected()
                    context.post(FlowEvent.CallerDisconnected(request.flow))
                }
                log.write(
                    "request", "request" to request.id, "flow" to request.flow, "route" to route.name,
                    "version" to config.version, "service" to request.service, "organisation" to organisation?.name,
                    "rank" to request.rank, "pieces" to request.pieces.joinToString(","),
                    "parts" to request.sharedParts.forLog(), "left-ms" to request.deadlineMs - now,
                    "kept-connection" to incoming.isOnKeptConnection,
                )
                context.post(FlowEvent.Arrived(request))
            }
        }
    }

    /** Routes without stages ignore the number of pieces. */
    private fun hasValidPieces(headers: CallerHeaders, route: Route): Boolean =
        route.stages.isEmpty() || headers.pieces.let { it != null && it.size <= route.stages.size }

    /** Applies a decision of the control thread. Must be called on the event loop. */
    fun apply(effect: FlowEffect) {
        when (effect) {
            is FlowEffect.Send -> exchanges[effect.send.flow]?.send(effect)
            is FlowEffect.CancelSend -> exchanges[effect.send.flow]?.cancelSend(effect.send)
            is FlowEffect.GiveUpSend -> exchanges[effect.send.flow]?.giveUpIfSilent(effect.send)
            is FlowEffect.Reject -> exchanges[effect.flow]?.reject(effect)
            is FlowEffect.DeliverFailure -> exchanges[effect.flow]?.deliverBuffered()
            is FlowEffect.AbortResponse -> exchanges[effect.flow]?.abort()
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
        incoming.reply(status, headers = encodeOwnResponseHeaders(headers.id, retryAfterMs))
    }

    private fun toForwardRequest(
        incoming: IncomingRequest,
        headers: CallerHeaders,
        route: Route,
        organisation: CallerOrganisation?,
        config: ServingConfig,
        now: Long,
    ): ForwardRequest {
        val timeoutMs = minOf(headers.deadlineMs ?: Long.MAX_VALUE, route.timeoutMs)
        val id = checkNotNull(headers.id)
        val bodyHash = LongHashFunction.xx3().hashBytes(incoming.body)
        return ForwardRequest(
            flow = ++sequence,
            id = id,
            route = route,
            service = chooseService(route, id),
            rank = config.rankOf(organisation, route),
            allowedRegions = config.allowedRegions(organisation, route),
            arrivedMs = now,
            deadlineMs = incoming.startedMs + timeoutMs,
            callerTimeoutMs = headers.deadlineMs,
            pieces = if (route.stages.isEmpty()) emptyList() else headers.pieces.orEmpty(),
            pieceKey = headers.pieceKey,
            promptParts = headers.parts,
            fingerprint = "${incoming.method} ${incoming.uri} ${organisation?.name} ${bodyHash.toULong()}",
            lastEventId = headers.lastEventId,
            maxOutputTokens = headers.maxOutputTokens,
            organisation = organisation?.name.orEmpty(),
        )
    }

    private fun chooseService(route: Route, id: String): String {
        val totalWeight = route.shares.sumOf { it.weight.toLong() }
        if (route.shares.size == 1 || totalWeight <= 0) return route.shares.first().service
        var remaining = (LongHashFunction.xx3().hashChars(id).toULong() % totalWeight.toULong()).toLong()
        return route.shares.first { share ->
            remaining -= share.weight
            remaining < 0
        }.service
    }

    private fun checkInactivity() {
        val now = clock.nowMs()
        exchanges.values.toList().forEach { it.checkInactivity(now) }
    }
}
