/*
 * Collects the answer to one call of a test.
 */
package org.sesamerouter.web

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import java.util.concurrent.CompletableFuture

/** What a call ended with. */
internal data class Seen(val status: Int, val body: String, val failure: String?, val sent: Boolean)

internal class Collector : AnswerListener {
    val seen = CompletableFuture<Seen>()
    private var status = 0
    private val body = StringBuilder()

    override fun onHead(status: Int, headers: HttpHeaders) {
        this.status = status
    }

    override fun onBody(content: ByteBuf) {
        body.append(content.toString(Charsets.UTF_8))
    }

    override fun onEnd() {
        seen.complete(Seen(status, body.toString(), null, true))
    }

    override fun onFailed(sent: Boolean, cause: String) {
        seen.complete(Seen(status, body.toString(), cause, sent))
    }
}
