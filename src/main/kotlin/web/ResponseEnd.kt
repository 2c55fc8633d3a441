/*
 * How a response tells where its body ends, and why one ended before that.
 */
package org.sesamerouter.web

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil

private val STATUSES_WITHOUT_BODY = setOf(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED)

/** How the end of a body is marked. */
enum class BodyFraming {
    /** The length is known; also if there is no body. */
    LENGTH,

    /** By a last chunk. */
    CHUNKS,

    /** By the end of the connection alone, which a crash of the sender brings about as well. */
    CONNECTION_END,
}

/** Why a response is not complete. */
enum class BreakReason {
    /** The target closed the connection. */
    CLOSED,

    /** Nothing listens at the target's address. */
    REFUSED,

    /** The connection was reset, or the request could not be written. */
    RESET,

    /** The target sent something other than a response, or a response that cannot be passed on. */
    INVALID,

    /** The end of the body was reached, but inside an event of the stream. */
    INSIDE_EVENT,

    /** The target sent nothing for too long. */
    SILENT,

    /** This process closed the connection or did not open it. */
    LOCAL,
}

/** Returns how [response] to a request with [method] marks the end of its body. */
internal fun framingOf(response: HttpResponse, method: HttpMethod): BodyFraming = when {
    method == HttpMethod.HEAD || response.status() in STATUSES_WITHOUT_BODY -> BodyFraming.LENGTH
    HttpUtil.isTransferEncodingChunked(response) -> BodyFraming.CHUNKS
    HttpUtil.isContentLengthSet(response) -> BodyFraming.LENGTH
    else -> BodyFraming.CONNECTION_END
}
