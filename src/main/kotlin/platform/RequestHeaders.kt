/*
 * Encodes and decodes the headers of callers' requests and targets' responses. All header names of the platform are
 * defined in this file.
 */
package org.sesamerouter.platform

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.engine.PromptPart
import org.sesamerouter.routing.ReportedLoad
import org.sesamerouter.routing.TargetNotice
import org.sesamerouter.web.OutgoingRequest
import org.sesamerouter.web.ResponseId
import kotlin.math.ceil

internal const val REQUEST_ID = "Request-Id"
internal const val DEADLINE = "Deadline-Ms"
private const val LAST_EVENT_ID = "Last-Event-Id"
private const val ORGANISATION = "Tenant"
private const val EXPECTED_TARGET = "Expect-Instance"
private const val ANSWERING_TARGET = "Instance-Id"
private const val SERVER_LOAD = "Server-Load"
private const val NOT_RUN = "Not-Run"
private const val RETRY_AFTER = "Retry-After"
internal const val PROMPT_PARTS = "Prefix-Hash"
private const val TOKEN_COUNTS = "Token-Counts" // of the prompt and, at most, of the answer
internal const val PIECES = "Pieces"
internal const val PIECE_KEY = "Piece-Key"
private const val INPUTS = "Inputs"
private const val PRIORITY = "Request-Priority"
internal const val SERVER_STAMP = "Server-Stamp"
private const val SERVER_LEAVING = "Server-Leaving"
private const val COLD_LEFT = "Cold-Ms"
private const val STORE_ERA = "Store-Era"
private const val KEY_SCHEME = "Bearer "
private const val MS_PER_S = 1_000.0
private const val MAX_WAIT_MS = 24 * 60 * 60 * 1_000L // longer than any caller waits; sums of times do not overflow
private const val MAX_SEARCHED_NAMES = 8 // of a Connection header; each search passes over a part of the head
private const val MAX_PARTS = 64 // the quarantine looks at the first 16
private const val MAX_PART_TOKENS = 10_000_000 // the sum of all parts is still an Int
private const val MAX_PART_ID_LENGTH = 128 // ids are hashes
private const val LOWEST_RANK = 9
private const val LOAD_FIGURES = 3 // of a load report without the time of work
private const val MISDIRECTED_STATUS = 421
private const val UNAVAILABLE_STATUS = 503

/** Headers that this system sets or that control a target's memory. They are removed from callers' requests. */
private val RESERVED_HEADERS = listOf(
    ORGANISATION, EXPECTED_TARGET, INPUTS, PRIORITY, "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch",
    "Expect-Version", HttpHeaderNames.AUTHORIZATION.toString(), DEADLINE, LAST_EVENT_ID,
)

/** Headers that apply to a single connection and are not forwarded. */
private val HOP_BY_HOP_HEADERS = listOf(
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade",
    "Expect", "Proxy-Authenticate", "Proxy-Authorization",
)

/**
 * The decoded headers of a caller's request.
 *
 * @property deadlineMs how long the caller waits; null if not specified.
 * @property pieces the number of pieces of each stage; null if they cannot be read.
 * @property maxOutputTokens how many tokens the answer has at most; null if not specified.
 */
data class CallerHeaders(
    val id: String?,
    val authority: String,
    val key: String?,
    val deadlineMs: Long?,
    val lastEventId: String?,
    val pieces: List<Int>?,
    val pieceKey: String?,
    val parts: List<PromptPart>,
    val maxOutputTokens: Int?,
)

/** Decodes the headers of a caller's request. */
fun decodeCallerHeaders(headers: HttpHeaders): CallerHeaders = CallerHeaders(
    id = headers.get(REQUEST_ID),
    authority = headers.get(HttpHeaderNames.HOST).orEmpty().substringBefore(':'),
    key = headers.get(HttpHeaderNames.AUTHORIZATION)?.takeIf { it.startsWith(KEY_SCHEME, ignoreCase = true) }
        ?.substring(KEY_SCHEME.length)?.trim(),
    deadlineMs = headers.get(DEADLINE)?.trim()?.toLongOrNull()?.coerceIn(0, MAX_WAIT_MS),
    lastEventId = headers.get(LAST_EVENT_ID),
    pieces = decodePieces(headers.get(PIECES)),
    pieceKey = headers.get(PIECE_KEY),
    parts = headers.get(PROMPT_PARTS)?.split(',')?.mapNotNull(::decodePart).orEmpty().let(::mergeLastParts),
    maxOutputTokens = headers.get(TOKEN_COUNTS)?.substringAfter(',', "")?.trim()?.toIntOrNull()?.takeIf { it >= 0 },
)

private fun decodePieces(text: String?): List<Int>? {
    if (text.isNullOrBlank()) return emptyList()
    return text.split(',').map { part -> part.trim().toIntOrNull()?.takeIf { it >= 0 } ?: return null }
}

private fun decodePart(text: String): PromptPart? {
    val tokens = text.substringAfter(':', "").trim().toIntOrNull()?.takeIf { it in 0..MAX_PART_TOKENS } ?: return null
    return PromptPart(text.substringBefore(':').trim().take(MAX_PART_ID_LENGTH), tokens)
}

/** Bounds what a prompt adds to the state of engines and to messages: the last of very many parts become one. */
private fun mergeLastParts(parts: List<PromptPart>): List<PromptPart> {
    if (parts.size <= MAX_PARTS) return parts
    val tokens = parts.drop(MAX_PARTS - 1).sumOf { it.tokens.toLong() }
    return parts.take(MAX_PARTS - 1) + PromptPart(parts.last().id, minOf(tokens, MAX_PART_TOKENS.toLong()).toInt())
}

/**
 * The values of the headers that this system sets on a request to a target.
 *
 * @property deadlineLeftMs time left until the caller's deadline.
 */
data class SendHeaders(
    val targetId: String,
    val organisation: String?,
    val deadlineLeftMs: Long,
    val inputs: List<String>,
    val lastEventId: String?,
    val rank: Int?,
)

/** Encodes the headers for a target: the caller's headers without hop-by-hop and reserved ones, and those of [send]. */
fun encodeSendHeaders(caller: HttpHeaders, send: SendHeaders): HttpHeaders {
    val headers = endToEndHeaders(caller)
    RESERVED_HEADERS.forEach(headers::remove)
    headers.set(EXPECTED_TARGET, send.targetId)
    headers.set(DEADLINE, send.deadlineLeftMs.toString())
    send.organisation?.let { headers.set(ORGANISATION, it) }
    send.lastEventId?.let { headers.set(LAST_EVENT_ID, it) }
    send.rank?.let { headers.set(PRIORITY, it.coerceIn(0, LOWEST_RANK).toString()) }
    if (send.inputs.isNotEmpty()) headers.set(INPUTS, send.inputs.joinToString(","))
    return headers
}

/** Encodes the headers of a call to a target that is not on behalf of a single caller's request. */
fun encodeTargetCall(targetAddress: String, targetId: String): HttpHeaders = DefaultHttpHeaders()
    .set(HttpHeaderNames.HOST, targetAddress)
    .set(EXPECTED_TARGET, targetId)
    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")

/** Encodes the request for the health of [target] at [path]; another incarnation there rejects it. */
fun encodeTargetCheck(target: TargetEntry, path: String) =
    OutgoingRequest("GET", path, encodeTargetCall(target.address, target.id), ByteArray(0))

/** Whether a response with [status] and [headers] to a check comes from this target, whether or not it is healthy. */
fun TargetEntry.answersAs(status: Int, headers: HttpHeaders): Boolean =
    status != MISDIRECTED_STATUS && (headers.get(ANSWERING_TARGET) ?: id) == id

/** Returns how to recognise the response to the request [id]. */
fun responseIdOf(id: String?): ResponseId? = id?.let { ResponseId(REQUEST_ID, it) }

/**
 * The decoded head of a target's response.
 *
 * @property isNotRun whether the target reports that it did not run the request.
 * @property hasProof whether the response has the target's stamp; without it, the response is not from a service.
 * @property notice what the target announces about itself; null if nothing.
 * @property invalidLoad a load report that cannot be decoded; null if there is none or it is valid.
 */
data class ResponseHead(
    val isNotRun: Boolean,
    val load: ReportedLoad?,
    val hasProof: Boolean,
    val notice: TargetNotice? = null,
    val invalidLoad: String? = null,
)

/** Decodes the head of a target's response. */
fun decodeResponseHead(status: Int, headers: HttpHeaders): ResponseHead {
    val loadText = headers.get(SERVER_LOAD)
    val load = loadText?.let(::decodeLoad)
    return ResponseHead(
        isNotRun = headers.contains(NOT_RUN),
        load = load,
        hasProof = headers.contains(SERVER_STAMP),
        notice = decodeNotice(status, headers),
        invalidLoad = loadText.takeIf { load == null },
    )
}

/** Decodes what a target says of itself. An answer of 421 comes from another target at the same address. */
private fun decodeNotice(status: Int, headers: HttpHeaders): TargetNotice? {
    if (status == MISDIRECTED_STATUS) return null
    val isLeaving = headers.get(SERVER_LEAVING)?.trim() == "1"
    val pauseMs = if (status == UNAVAILABLE_STATUS) headers.get(RETRY_AFTER)?.let(::decodeSeconds) else null
    val coldMs = decodeColdMs(headers)
    val isNotice = isLeaving || pauseMs != null || coldMs > 0
    return if (isNotice) TargetNotice(isLeaving, pauseMs ?: 0, coldMs) else null
}

/** Decodes the notice that a target is cold from its answer to a check; null if it is not. */
fun decodeColdNotice(headers: HttpHeaders): TargetNotice? =
    decodeColdMs(headers).takeIf { it > 0 }?.let { TargetNotice(isLeaving = false, pauseMs = 0, coldMs = it) }

private fun decodeColdMs(headers: HttpHeaders): Long =
    headers.get(COLD_LEFT)?.trim()?.toDoubleOrNull()?.takeIf { it > 0 }?.coerceAtMost(MAX_COLD_MS)?.toLong() ?: 0

private fun decodeSeconds(text: String): Long? =
    text.trim().toDoubleOrNull()?.takeIf { it > 0 && it.isFinite() }?.let { ceil(it * MS_PER_S).toLong() }

/** Decodes the era from the headers of a reply of the store; a store without eras was never restored. */
fun decodeStoreEra(headers: HttpHeaders): Long = headers.get(STORE_ERA)?.trim()?.toLongOrNull() ?: 0

/** Decodes `running,waiting,slots`, optionally followed by the time of work in percent of the normal time. */
private fun decodeLoad(text: String): ReportedLoad? {
    val numbers = text.split(',').map { part -> part.trim().toIntOrNull()?.takeIf { it >= 0 } ?: return null }
    if (numbers.size !in LOAD_FIGURES..LOAD_FIGURES + 1) return null
    val timePercent = numbers.getOrNull(LOAD_FIGURES)
    return if (timePercent == 0) null else ReportedLoad(numbers[0], numbers[1], numbers[2], timePercent)
}

/** Encodes the headers of a target's response for the caller; keeps the length, since the body is not changed. */
fun encodeResponseHeaders(target: HttpHeaders): HttpHeaders {
    val headers = endToEndHeaders(target)
    target.get(HttpHeaderNames.CONTENT_LENGTH)?.let { headers.set(HttpHeaderNames.CONTENT_LENGTH, it) }
    headers.remove(SERVER_LOAD)
    headers.remove(COLD_LEFT)
    headers.remove(NOT_RUN)
    return headers
}

/** Encodes the headers of a response that this host itself gives to the request [id]. */
fun encodeOwnResponseHeaders(id: String?, retryAfterMs: Long?): HttpHeaders {
    val headers = DefaultHttpHeaders()
    id?.let { headers.set(REQUEST_ID, it) }
    retryAfterMs?.let { headers.set(RETRY_AFTER, (it / MS_PER_S).toString()) }
    return headers
}

private fun endToEndHeaders(headers: HttpHeaders): HttpHeaders {
    val copy = DefaultHttpHeaders().add(headers)
    // A name that is listed several times is searched for once, and names that the head does not have are not.
    val listed = headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }
    if (listed.size <= MAX_SEARCHED_NAMES) {
        listed.filter { it.isNotEmpty() }.forEach(copy::remove)
    } else {
        val names = listed.toHashSet()
        headers.names().filter { it.lowercase() in names }.forEach(copy::remove)
    }
    HOP_BY_HOP_HEADERS.forEach(copy::remove)
    return copy
}
