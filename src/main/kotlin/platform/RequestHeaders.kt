/*
 * Translates the headers of callers' requests and of targets' answers. Every header name of the platform stands here.
 */
package org.sesamerouter.platform

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.engine.PromptPart
import org.sesamerouter.routing.ToldLoad
import org.sesamerouter.web.AnswerId

private const val REQUEST_ID = "Request-Id"
private const val DEADLINE = "Deadline-Ms"
private const val LAST_EVENT_ID = "Last-Event-Id"
private const val ORGANISATION = "Tenant"
private const val EXPECTED_TARGET = "Expect-Instance"
private const val LOAD = "Server-Load"
private const val NOT_RUN = "Not-Run"
private const val RETRY_AFTER = "Retry-After"
private const val PARTS = "Prefix-Hash"
private const val PIECES = "Pieces"
private const val PIECE_KEY = "Piece-Key"
private const val INPUTS = "Inputs"
private const val RANK = "Request-Priority"
private const val PROOF = "Server-Stamp"
private const val KEY_SCHEME = "Bearer "
private const val MS_PER_S = 1_000.0
private const val LOWEST_RANK = 9

/** Headers that this system sets, or that steer a target's memory: a caller's own are dropped. */
private val SET_BY_SYSTEM = listOf(
    ORGANISATION, EXPECTED_TARGET, INPUTS, RANK, "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch",
    "Expect-Version", HttpHeaderNames.AUTHORIZATION.toString(), DEADLINE, LAST_EVENT_ID,
)

/** Headers that concern one connection only. */
private val PER_CONNECTION = listOf(
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade",
    "Expect", "Proxy-Authenticate", "Proxy-Authorization",
)

/**
 * What a caller's headers say.
 *
 * @property deadlineMs how long the caller waits; null when it does not say.
 * @property pieces number of pieces of each stage.
 */
data class CallerHeaders(
    val id: String?,
    val authority: String,
    val key: String?,
    val deadlineMs: Long?,
    val lastEventId: String?,
    val pieces: List<Int>,
    val pieceKey: String?,
    val parts: List<PromptPart>,
)

/** Decodes the headers of a caller's request. */
fun decodeCallerHeaders(headers: HttpHeaders): CallerHeaders = CallerHeaders(
    id = headers.get(REQUEST_ID),
    authority = headers.get(HttpHeaderNames.HOST).orEmpty().substringBefore(':'),
    key = headers.get(HttpHeaderNames.AUTHORIZATION)?.takeIf { it.startsWith(KEY_SCHEME, ignoreCase = true) }
        ?.substring(KEY_SCHEME.length)?.trim(),
    deadlineMs = headers.get(DEADLINE)?.trim()?.toLongOrNull(),
    lastEventId = headers.get(LAST_EVENT_ID),
    pieces = headers.get(PIECES)?.split(',')?.map { it.trim().toIntOrNull() ?: 0 }.orEmpty(),
    pieceKey = headers.get(PIECE_KEY),
    parts = headers.get(PARTS)?.split(',')?.mapNotNull(::decodePart).orEmpty(),
)

private fun decodePart(text: String): PromptPart? {
    val tokens = text.substringAfter(':', "").trim().toIntOrNull() ?: return null
    return PromptPart(text.substringBefore(':').trim(), tokens)
}

/**
 * Headers of the request to a target.
 *
 * @property deadlineLeftMs what is left of the caller's time.
 */
data class SendHeaders(
    val targetId: String,
    val organisation: String?,
    val deadlineLeftMs: Long,
    val inputs: List<String>,
    val lastEventId: String?,
    val rank: Int?,
)

/** Returns the headers for a target: the caller's own but those of its connection and those that the system sets. */
fun encodeSendHeaders(caller: HttpHeaders, send: SendHeaders): HttpHeaders {
    val headers = endToEnd(caller)
    SET_BY_SYSTEM.forEach(headers::remove)
    headers.set(EXPECTED_TARGET, send.targetId)
    headers.set(DEADLINE, send.deadlineLeftMs.toString())
    send.organisation?.let { headers.set(ORGANISATION, it) }
    send.lastEventId?.let { headers.set(LAST_EVENT_ID, it) }
    send.rank?.let { headers.set(RANK, it.coerceIn(0, LOWEST_RANK).toString()) }
    if (send.inputs.isNotEmpty()) headers.set(INPUTS, send.inputs.joinToString(","))
    return headers
}

/** Returns the headers of a call that belongs to no caller's request. */
fun encodeTargetCall(targetAddress: String, targetId: String): HttpHeaders = DefaultHttpHeaders()
    .set(HttpHeaderNames.HOST, targetAddress)
    .set(EXPECTED_TARGET, targetId)
    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")

/** How the answer to the request [id] is recognised. */
fun answerIdOf(id: String?): AnswerId? = id?.let { AnswerId(REQUEST_ID, it) }

/**
 * What the head of a target's answer says.
 *
 * @property isNotRun whether the target says that it did not run the request.
 * @property isProved whether the answer bears the target's proof, without which it is no answer of a service.
 */
data class AnswerHead(val isNotRun: Boolean, val load: ToldLoad?, val isProved: Boolean)

/** Decodes the head of an answer. */
fun decodeAnswerHead(headers: HttpHeaders) = AnswerHead(
    isNotRun = headers.contains(NOT_RUN),
    load = headers.get(LOAD)?.let(::decodeLoad),
    isProved = headers.contains(PROOF),
)

private fun decodeLoad(text: String): ToldLoad? {
    val numbers = text.split(',').map { it.trim().toIntOrNull() ?: return null }
    return if (numbers.size == 3) ToldLoad(numbers[0], numbers[1], numbers[2]) else null
}

/** Returns the headers of a target's answer as the caller gets them; the length stays, since the body does. */
fun encodeAnswerHeaders(target: HttpHeaders): HttpHeaders {
    val headers = endToEnd(target)
    target.get(HttpHeaderNames.CONTENT_LENGTH)?.let { headers.set(HttpHeaderNames.CONTENT_LENGTH, it) }
    headers.remove(LOAD)
    headers.remove(NOT_RUN)
    return headers
}

/** Returns the headers of an answer of this host to the request [id]. */
fun encodeOwnAnswer(id: String?, retryAfterMs: Long?): HttpHeaders {
    val headers = DefaultHttpHeaders()
    id?.let { headers.set(REQUEST_ID, it) }
    retryAfterMs?.let { headers.set(RETRY_AFTER, (it / MS_PER_S).toString()) }
    return headers
}

private fun endToEnd(headers: HttpHeaders): HttpHeaders {
    val copy = DefaultHttpHeaders().add(headers)
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim() }
        .filter { it.isNotEmpty() }.forEach(copy::remove)
    PER_CONNECTION.forEach(copy::remove)
    return copy
}
