/*
 * The refusals that the request coordinator gives, each with its remedy.
 */
package org.sesamerouter.pipeline

import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RefusalReason

internal const val NO_TARGET_RETRY_MS = 1_000L
internal const val LOG_RETRY_MS = 2_000L

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
    "the request still runs; ask for the outcome of its key",
    retryAfterMs,
    request,
)
