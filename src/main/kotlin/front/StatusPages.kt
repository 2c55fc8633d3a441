/*
 * Answers what the platform, callers and operators ask a host about itself: whether it is ready, which addresses to
 * use, and its metrics. Runs on the event loop.
 */
package org.sesamerouter.front

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.sesamerouter.platform.ADDRESSES_PATH
import org.sesamerouter.platform.READY_PATH
import org.sesamerouter.platform.encodeAddresses
import org.sesamerouter.web.IncomingRequest

private const val OK = 200
private const val NOT_FOUND = 404
private const val UNAVAILABLE = 503

/** The suppliers may be called from any thread. */
internal class StatusPages(
    private val isReady: () -> Boolean,
    private val addresses: () -> List<String>,
    private val addressTtlMs: () -> Long,
    private val metrics: FrontMetrics,
) {
    fun onReadyRequest(request: IncomingRequest) {
        val status = when {
            request.uri.substringBefore('?') != READY_PATH -> NOT_FOUND
            isReady() -> OK
            else -> UNAVAILABLE
        }
        request.reply(status)
    }

    fun onAddressRequest(request: IncomingRequest) {
        val known = addresses()
        when {
            request.uri.substringBefore('?') != ADDRESSES_PATH -> request.reply(NOT_FOUND)

            known.isEmpty() -> request.reply(UNAVAILABLE)

            else -> {
                val headers = DefaultHttpHeaders().set("Content-Type", "application/json")
                request.reply(OK, encodeAddresses(known, addressTtlMs()), headers)
            }
        }
    }

    fun onMetricsRequest(request: IncomingRequest) {
        request.reply(OK, metrics.scrape().toByteArray(), DefaultHttpHeaders().set("Content-Type", "text/plain"))
    }
}
