/*
 * The refusals returned by the request coordinator, each with a remedy for the caller.
 */
package org.sesamerouter.pipeline

import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RefusalReason
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.quarantine.DEATHS_TO_QUARANTINE

internal const val NO_TARGET_RETRY_MS = 1_000L
private const val LOG_RETRY_MS = 2_000L
private const val STARTING_RETRY_MS = 500L
private const val SHORT_RETRY_MS = 100L

/** Other hosts learn within this time that the host is no longer to be named in address answers. */
private const val STOPPING_RETRY_MS = 200L

internal fun notRun(request: String, reason: RefusalReason, remedy: String, retryAfterMs: Long = 0) =
    Refusal(RefusalKind.NOT_RUN, reason, remedy, retryAfterMs, request)

internal fun failed(request: String, reason: RefusalReason, remedy: String, retryAfterMs: Long = 0) =
    Refusal(RefusalKind.FAILED, reason, remedy, retryAfterMs, request)

internal fun outcomeUnknown(request: String, reason: RefusalReason) = Refusal(
    RefusalKind.OUTCOME_UNKNOWN,
    reason,
    "the request may have taken effect and is not run again; check with the service, then use a new key",
    request = request,
)

internal fun stillRunning(request: String, retryAfterMs: Long) = Refusal(
    RefusalKind.IN_PROGRESS,
    RefusalReason.DEADLINE_PASSED,
    "the request is still running; query the outcome of its key",
    retryAfterMs,
    request,
)

/** Returns this refusal with "not run" replaced by "outcome unknown". */
internal fun Refusal.withUnknownOutcome(): Refusal {
    if (kind != RefusalKind.NOT_RUN) return this
    val caveat = "an earlier request with this key may have run; an idempotent request can be retried"
    return copy(kind = RefusalKind.OUTCOME_UNKNOWN, remedy = "$remedy; $caveat")
}

internal fun logUnavailable(request: String): Refusal {
    val remedy = "the platform's log does not respond; use a key that starts with a ticket, or retry later"
    return notRun(request, RefusalReason.LOG_UNAVAILABLE, remedy, LOG_RETRY_MS)
}

internal fun quarantined(request: String, retryAfterMs: Long): Refusal {
    val remedy = "this request crashed $DEATHS_TO_QUARANTINE targets; change its content before sending it again"
    return notRun(request, RefusalReason.QUARANTINED, remedy, retryAfterMs)
}

internal fun quarantinedWhileRunning(request: String): Refusal {
    val remedy = "every target that ran this request crashed; change its content before sending it again"
    return failed(request, RefusalReason.QUARANTINED, remedy)
}

internal fun organisationLimit(request: String, limit: Int): Refusal {
    val remedy = "the organisation has $limit requests in progress on this host; retry later or raise the limit"
    return notRun(request, RefusalReason.ORGANISATION_LIMIT, remedy, SHORT_RETRY_MS)
}

internal fun deadlineUnreachable(request: String, retryAfterMs: Long): Refusal {
    val remedy = "the deadline cannot be met; retry after retry_after_ms or with a longer deadline"
    return notRun(request, RefusalReason.DEADLINE_UNREACHABLE, remedy, retryAfterMs)
}

internal fun deadlineMissed(request: String, dispatched: Boolean): Refusal {
    val remedy = "the request could not be completed within its deadline; retry after retry_after_ms"
    if (dispatched) return failed(request, RefusalReason.DEADLINE_PASSED, remedy, SHORT_RETRY_MS)
    return notRun(request, RefusalReason.DEADLINE_UNREACHABLE, remedy, SHORT_RETRY_MS)
}

internal fun deadlinePassed(request: String): Refusal {
    val remedy = "the deadline passed while the request was running; retry with a longer deadline"
    return failed(request, RefusalReason.DEADLINE_PASSED, remedy, SHORT_RETRY_MS)
}

internal fun hostStopping(request: String): Refusal {
    val remedy = "this host is stopping; ask for an address and send the request to another host"
    return notRun(request, RefusalReason.HOST_STOPPING, remedy, STOPPING_RETRY_MS)
}

/** Returns the refusal of [request], which was in progress when a planned stop left it no time to end. */
internal fun endedByStop(request: RequestState): Refusal {
    val refusal = hostStopping(request.id)
    return when {
        request.phase == Phase.CLAIMING -> refusal.withUnknownOutcome()
        !request.dispatched -> refusal
        request.ledgerKey == null -> refusal.copy(kind = RefusalKind.FAILED)
        else -> outcomeUnknown(request.id, RefusalReason.HOST_STOPPING).copy(retryAfterMs = STOPPING_RETRY_MS)
    }
}

internal fun answerTooLarge(request: String): Refusal {
    val remedy = "the answer exceeds the size limit of this host; request it as a stream"
    return failed(request, RefusalReason.ANSWER_TOO_LARGE, remedy)
}

internal fun cancelled(request: String, dispatched: Boolean): Refusal = if (dispatched) {
    failed(request, RefusalReason.CANCELLED, "the request was cancelled while it was running")
} else {
    notRun(request, RefusalReason.CANCELLED, "the request was cancelled before it ran")
}

internal fun cancelledButRunning(request: String): Refusal {
    val remedy = "the request was cancelled and runs to its end; query the outcome of its key"
    return Refusal(RefusalKind.IN_PROGRESS, RefusalReason.CANCELLED, remedy, NO_TARGET_RETRY_MS, request)
}

/** Validates the request of [event] before admission; returns the refusal of an invalid request, or null. */
internal fun arrivalRefusal(event: RequestEvent.Arrived, catalogue: Catalogue?, plan: RequestPlan?): Refusal? {
    val request = event.request
    val organisation = event.call.organisation
    return when {
        catalogue == null ->
            notRun(
                request,
                RefusalReason.NOT_READY,
                "this host is starting; request an address again",
                STARTING_RETRY_MS,
            )

        plan == null ->
            notRun(request, RefusalReason.UNKNOWN_RESOURCE, "declare the resource, or correct the name in the path")

        organisation !in catalogue.organisations ->
            notRun(request, RefusalReason.UNKNOWN_RESOURCE, "declare the organisation $organisation")

        !plan.idempotent && event.call.key.isEmpty() ->
            notRun(request, RefusalReason.BAD_REQUEST, "set key: this operation runs at most once per key")

        else -> null
    }
}
