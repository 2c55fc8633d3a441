/*
 * A listener that collects the response to one call.
 */
package org.sesamerouter.web

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import java.util.concurrent.CompletableFuture

/** The outcome of a call. */
internal data class CollectedResponse(val status: Int, val body: String, val failure: String?, val sent: Boolean)

internal class ResponseCollector : ResponseListener {
    val response = CompletableFuture<CollectedResponse>()
    private var status = 0
    private val body = StringBuilder()

    override fun onHead(status: Int, headers: HttpHeaders, framing: BodyFraming) {
        this.status = status
    }

    override fun onBody(content: ByteBuf) {
        body.append(content.toString(Charsets.UTF_8))
    }

    override fun onEnd() {
        response.complete(CollectedResponse(status, body.toString(), null, true))
    }

    override fun onFailed(failure: CallFailure) {
        val sent = failure.progress == CallProgress.SENT
        response.complete(CollectedResponse(status, body.toString(), failure.cause, sent))
    }
}
