/*
 * HTTP client of the platform's log. If no reply arrives, the outcome of an append is unknown, unless nothing of the
 * request was sent.
 */
package org.sesamerouter.log

import kotlinx.serialization.Serializable
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.web.ClientRequest
import org.sesamerouter.web.FetchOutcome
import org.sesamerouter.web.HttpClient

private const val APPEND_TIMEOUT_MS = 2_000L
private const val READ_TIMEOUT_MS = 2_000L
private const val OK = 200
private const val NOT_APPLIED = 503

/** Body of an append request. */
@Serializable
data class AppendBody(val payloads: List<String>)

/** Reply to an append. */
@Serializable
data class AppendReply(val firstOffset: Long)

/** A record in a reply to a read. */
@Serializable
data class RecordBody(val offset: Long, val payload: String)

/** Reply to a read. */
@Serializable
data class ReadReply(val records: List<RecordBody>, val floor: Long, val end: Long)

/** Returns a client of the log at [address]. */
fun httpPlatformLog(client: HttpClient, address: String): PlatformLog = HttpPlatformLog(client, address)

private class HttpPlatformLog(private val client: HttpClient, private val address: String) : PlatformLog {
    override fun append(stream: LogStream, payloads: List<String>, done: (AppendOutcome) -> Unit) {
        val body = WireJson.encodeToString(AppendBody.serializer(), AppendBody(payloads))
        val request = ClientRequest("POST", "/streams/${stream.path}", body)
        client.fetch(address, request, APPEND_TIMEOUT_MS) { outcome -> done(appendOutcome(outcome)) }
    }

    override fun read(stream: LogStream, offset: Long, waitMs: Long, done: (ReadOutcome) -> Unit) {
        val request = ClientRequest("GET", "/streams/${stream.path}?from=$offset&wait_ms=$waitMs")
        client.fetch(address, request, waitMs + READ_TIMEOUT_MS) { outcome -> done(readOutcome(outcome)) }
    }

    private fun appendOutcome(outcome: FetchOutcome): AppendOutcome = when (outcome) {
        is FetchOutcome.Failed ->
            if (outcome.sent) AppendOutcome.Unknown(outcome.cause) else AppendOutcome.Refused(outcome.cause)

        is FetchOutcome.Replied -> when (outcome.reply.status) {
            OK -> WireJson.decodeOrNull(AppendReply.serializer(), outcome.reply.body)?.let {
                AppendOutcome.Appended(it.firstOffset)
            }
                ?: AppendOutcome.Unknown("cannot parse the log's reply")

            NOT_APPLIED -> AppendOutcome.Refused("the log sent status $NOT_APPLIED")

            else -> AppendOutcome.Unknown("the log sent status ${outcome.reply.status}")
        }
    }

    private fun readOutcome(outcome: FetchOutcome): ReadOutcome {
        if (outcome !is FetchOutcome.Replied) return ReadOutcome.Unavailable((outcome as FetchOutcome.Failed).cause)
        if (outcome.reply.status != OK) return ReadOutcome.Unavailable("the log sent status ${outcome.reply.status}")
        val reply = WireJson.decodeOrNull(ReadReply.serializer(), outcome.reply.body)
            ?: return ReadOutcome.Unavailable("cannot parse the log's reply")
        return ReadOutcome.Records(reply.records.map { LogRecord(it.offset, it.payload) }, reply.floor, reply.end)
    }
}
