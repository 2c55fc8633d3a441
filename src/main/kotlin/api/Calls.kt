/*
 * Messages between callers and an entry host, encoded as JSON with snake_case names.
 */
package org.sesamerouter.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * A call of a pipeline or of an operation of a plain service.
 *
 * @property deadlineMs deadline in milliseconds from arrival; 0 selects the default of the pipeline.
 * @property priority name of a priority class; empty selects the default of the pipeline.
 * @property key idempotency key; required for non-idempotent operations. A key that starts with a ticket and a slash
 * is bound to the ticket's host; any other key is claimed in the platform log.
 * @property firstSentAtMs Unix time in milliseconds at which the caller first sent this key; 0 when unknown.
 */
@Serializable
data class RunCall(
    val organisation: String,
    val input: JsonElement,
    val deadlineMs: Long = 0,
    val priority: String = "",
    val key: String = "",
    val stream: Boolean = false,
    val maxTokens: Int = 0,
    val firstSentAtMs: Long = 0,
)

/** A complete answer: the [output] of the last stage, or the generated [text] with its number of [tokens]. */
@Serializable
data class RunAnswer(val request: String, val output: JsonElement? = null, val text: String = "", val tokens: Int = 0)

/** The host to send requests to for the next [lifetimeMs]; keys derived from [ticket] need no claim in the log. */
@Serializable
data class AddressAnswer(val address: String, val dataCentre: String, val lifetimeMs: Long, val ticket: String)

/** What a refusal implies about the execution of the request. */
@Serializable
enum class RefusalKind {
    /** No attempt under the request's key was dispatched. */
    @SerialName("not run")
    NOT_RUN,

    /** The request is running; its outcome can be queried. */
    @SerialName("in progress")
    IN_PROGRESS,

    /** The request may have run; it is not run again. */
    @SerialName("outcome unknown")
    OUTCOME_UNKNOWN,

    /** The request ran at least in part and produced no answer. */
    @SerialName("failed")
    FAILED,
}

/** Reason for a refusal, with the HTTP [status] of the response. */
@Serializable
enum class RefusalReason(val status: Int) {
    @SerialName("bad request")
    BAD_REQUEST(400),

    @SerialName("unknown resource")
    UNKNOWN_RESOURCE(404),

    @SerialName("deadline cannot be met")
    DEADLINE_UNREACHABLE(503),

    @SerialName("deadline passed")
    DEADLINE_PASSED(504),

    @SerialName("organisation limit")
    ORGANISATION_LIMIT(429),

    @SerialName("no target")
    NO_TARGET(503),

    @SerialName("quarantined")
    QUARANTINED(422),

    @SerialName("target failed")
    TARGET_FAILED(502),

    @SerialName("target refused")
    TARGET_REFUSED(503),

    @SerialName("cancelled")
    CANCELLED(499),

    @SerialName("log unavailable")
    LOG_UNAVAILABLE(503),

    @SerialName("home host gone")
    HOME_HOST_GONE(409),

    @SerialName("key expired")
    KEY_EXPIRED(409),

    @SerialName("key in use")
    KEY_IN_USE(409),

    @SerialName("key unknown")
    KEY_UNKNOWN(404),

    @SerialName("not ready")
    NOT_READY(503),

    @SerialName("answer too large")
    ANSWER_TOO_LARGE(502),

    @SerialName("ledger full")
    LEDGER_FULL(503),

    @SerialName("host stopping")
    HOST_STOPPING(503),
}

/**
 * A typed refusal.
 *
 * @property remedy what the caller should do.
 * @property retryAfterMs delay before a retry; 0 when the request should not be retried or can be retried at once.
 */
@Serializable
data class Refusal(
    val kind: RefusalKind,
    val reason: RefusalReason,
    val remedy: String,
    val retryAfterMs: Long = 0,
    val request: String = "",
)

/** Known outcome of a request that was sent under an idempotency key. */
@Serializable
data class OutcomeAnswer(
    val key: String,
    val state: OutcomeState,
    val answer: RunAnswer? = null,
    val refusal: Refusal? = null,
)

/** States of an idempotency key. */
@Serializable
enum class OutcomeState {
    @SerialName("done")
    DONE,

    @SerialName("refused")
    REFUSED,

    @SerialName("in progress")
    IN_PROGRESS,

    @SerialName("outcome unknown")
    UNKNOWN,
}

/** Names of the server-sent events of a streamed answer. */
object StreamEvents {
    const val TOKEN = "token"
    const val END = "end"
    const val REFUSED = "refused"
}

/** One token of a streamed answer; positions start at 0 and have no gaps. */
@Serializable
data class TokenEvent(val position: Int, val token: String)
