/*
 * Events and effects of forwarded requests.
 */
package org.sesamerouter.serving

import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.batching.StageJob
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.engine.EngineForecast
import org.sesamerouter.engine.PromptPart
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.quarantine.HeldPart
import org.sesamerouter.quarantine.PartChange
import org.sesamerouter.retry.SendPass
import org.sesamerouter.routing.ReportedLoad

/**
 * The part of a caller's request that decisions depend on.
 *
 * @property flow number that this host assigned to the request.
 * @property id request id sent by the caller.
 * @property deadlineMs when the caller's or the route's timeout expires, whichever comes first.
 * @property callerTimeoutMs timeout sent by the caller, regardless of the route's; null when the caller sent none.
 * @property pieces number of pieces of each stage; a stage with 0 is skipped.
 * @property fingerprint equal for all requests with the same content.
 * @property lastEventId id of the last event received, after which a resumed stream continues.
 * @property organisation the organisation of the caller; empty if there is none.
 * @property maxOutputTokens how many tokens the response has at most; null if the caller did not say.
 * @property allowedRegions regions whose targets may get the request; null if all may.
 */
data class ForwardRequest(
    val flow: Long,
    val id: String,
    val route: Route,
    val service: String,
    val rank: Int,
    val arrivedMs: Long,
    val deadlineMs: Long,
    val callerTimeoutMs: Long? = null,
    val pieces: List<Int> = emptyList(),
    val pieceKey: String? = null,
    val promptParts: List<PromptPart> = emptyList(),
    val fingerprint: String = "",
    val lastEventId: String? = null,
    val maxOutputTokens: Int? = null,
    val organisation: String = "",
    val allowedRegions: Set<String>? = null,
) {
    /** Ids of the parts of the prompt that other requests may hold as well: all but the last one. */
    val sharedParts: List<String> get() = promptParts.dropLast(1).map { it.id }
}

/** Identifies one send of a request. */
data class SendId(val flow: Long, val number: Int)

/** Why a send ended without a complete successful response. */
sealed interface SendFailure {
    /** Whether the target may have received the request. */
    val mayHaveArrived: Boolean get() = true

    /** The target could not be reached; no byte of the request left this host. [isRefused] if nothing listens there. */
    data class NotSent(val cause: String, val isRefused: Boolean = true) : SendFailure {
        override val mayHaveArrived get() = false
    }

    /** This host did not try to reach the target. */
    data class NotAttempted(val cause: String) : SendFailure {
        override val mayHaveArrived get() = false
    }

    /** The target states that it did not run the request. */
    data class NotRun(val status: Int) : SendFailure

    /** A complete error response was received and may be delivered. */
    data class FailedAnswer(val status: Int) : SendFailure

    /**
     * No response was received, and the request may have run.
     *
     * @property mayBeCrash whether the target ended the connection, as it does when it crashes.
     * @property mayHaveBegun whether the start of a response may have been lost with the connection.
     */
    data class Lost(val cause: String, val mayBeCrash: Boolean = false, val mayHaveBegun: Boolean = false) :
        SendFailure

    /**
     * The response was interrupted.
     *
     * @property isAtEvent whether only complete events were passed on, the last one with an id, so that another target
     *   can resume the stream.
     * @property lastEventId id of the last event passed on from this send; null when there was none.
     * @property mayBeCrash whether the target ended the connection, as it does when it crashes.
     * @property activeForMs time from the start of the response to the last of it that was passed on.
     * @property hasEvents whether any of the body was passed on.
     */
    data class Broken(
        val isAtEvent: Boolean,
        val lastEventId: String?,
        val cause: String,
        val mayBeCrash: Boolean = false,
        val activeForMs: Long = 0,
        val hasEvents: Boolean = true,
    ) : SendFailure
}

/** Input of [RequestFlows]. */
sealed interface FlowEvent {
    data class Arrived(val request: ForwardRequest) : FlowEvent

    data class StageEnded(val job: String, val outcome: JobOutcome) : FlowEvent

    /** The head of the response was passed on. */
    data class ResponseStarted(val send: SendId, val load: ReportedLoad?) : FlowEvent

    /** The target goes on with the response after the time within which a prompt may crash it. */
    data class ResponsePastBeginning(val send: SendId) : FlowEvent

    /**
     * The complete response was passed on; [end] tells for the log how its end was marked.
     *
     * @property isEndCertain false if a crash of the target between two events looks the same.
     */
    data class ResponseCompleted(
        val send: SendId,
        val status: Int,
        val end: String = "",
        val isEndCertain: Boolean = true,
    ) : FlowEvent

    data class SendFailed(val send: SendId, val failure: SendFailure, val load: ReportedLoad? = null) : FlowEvent

    /** The target of [send] has sent nothing for longer than a sound one does. */
    data class SendSilent(val send: SendId) : FlowEvent

    data class CallerDisconnected(val flow: Long) : FlowEvent

    /** The check that [FlowEffect.CheckTarget] asked for has ended. */
    data class TargetChecked(val target: TargetEntry, val verdict: TargetVerdict) : FlowEvent

    /** A target process ended without draining first. */
    data class TargetDied(val target: String, val startTimeMs: Long) : FlowEvent

    /** This host shuts down: it ends at [earliestEndMs] if it has no requests; what is left at [endMs] is ended. */
    data class ShutdownStarted(val earliestEndMs: Long, val endMs: Long) : FlowEvent

    data object Tick : FlowEvent
}

/** What a check found out about a target that lost a response. */
enum class TargetVerdict {
    /** The incarnation answers. */
    RUNS,

    /** Nothing listens at its address, or another incarnation does, and it had not announced that it would leave. */
    CRASHED,

    /** It cannot be told: no answer in time, or the target was leaving. */
    UNKNOWN,
}

/** Why a request was rejected. */
enum class RejectReason {
    NO_TARGET,
    DEADLINE,
    STAGE_FAILED,
    TARGETS_REFUSED,
    QUARANTINED,
    OUTCOME_UNKNOWN,
    OVERLOAD,
    STOPPING,

    /** The pieces need more than the pools can do by the deadline, whatever else they have to do. */
    UNSERVABLE,
}

/** Action that [RequestFlows] requests from the adapters. */
sealed interface FlowEffect {
    data class RunStage(val job: StageJob) : FlowEffect

    data class CancelStage(val service: String, val job: String) : FlowEffect

    data class FreeResults(val service: String, val handles: List<String>) : FlowEffect

    /** Reports that the target has probably fetched [handles]. */
    data class ResultsFetched(val handles: List<String>) : FlowEffect

    /**
     * Sends the request to [target] with the handles [inputs] of the stage results, unless the deadline [expiresAtMs]
     * has passed by then or too much time since [decidedAtMs].
     *
     * @property pass leave for this arrival of the request at its service.
     * @property isRepeat whether a target of the service may have received the request before.
     * @property forecast what was expected of an engine; null for another target.
     */
    data class Send(
        val send: SendId,
        val target: TargetEntry,
        val maxConnections: Int,
        val inputs: List<String>,
        val expiresAtMs: Long,
        val decidedAtMs: Long,
        val lastEventId: String?,
        val rank: Int,
        val pass: SendPass,
        val isRepeat: Boolean,
        val forecast: EngineForecast?,
    ) : FlowEffect

    data class CancelSend(val send: SendId) : FlowEffect

    /** Ends [send] as failed if its target is still silent: another target may run the request. */
    data class GiveUpSend(val send: SendId) : FlowEffect

    /**
     * Ends the request with a response from this host.
     *
     * @property retryAfterMs time after which the caller may retry; only set when the request did not run.
     * @property stageMs expected time of each stage at the time of the decision.
     * @property heldPart the part of the prompt that is held back, if that is the reason.
     * @property crashes incarnations of targets that crashed on that part.
     * @property shortage what the pools or this host lack, if that is the reason.
     */
    data class Reject(
        val flow: Long,
        val status: Int,
        val retryAfterMs: Long?,
        val reason: RejectReason,
        val stageMs: List<Long> = emptyList(),
        val heldPart: String? = null,
        val crashes: List<String> = emptyList(),
        val shortage: Shortage? = null,
    ) : FlowEffect

    /** Ends the request with the buffered error response of a target. */
    data class DeliverFailure(val flow: Long) : FlowEffect

    /** Aborts a response that was started and cannot be completed. */
    data class AbortResponse(val flow: Long) : FlowEffect

    /** Reports to the other hosts that a target died while it ran a request, whether or not that was the cause. */
    data class BroadcastDeath(val notice: DeathNotice) : FlowEffect

    /** Finds out whether [target], which lost a response, still runs. */
    data class CheckTarget(val target: TargetEntry) : FlowEffect

    /**
     * Tells the other hosts and the log of a [change] of what this host believes about a part of prompts.
     *
     * @property held the part as the other hosts need it, if it is held back.
     */
    data class QuarantineChanged(val change: PartChange, val held: HeldPart?) : FlowEffect

    /**
     * Records that a target ended a response before its end, for the log.
     *
     * @property parts the parts of the prompt that other requests may hold as well.
     * @property begunForMs time since the response began; null if it had not.
     */
    data class ResponseLost(
        val send: SendId,
        val target: TargetEntry,
        val parts: List<String>,
        val sentForMs: Long,
        val begunForMs: Long?,
    ) : FlowEffect

    /** The request has ended and its state was removed. */
    data class Ended(val flow: Long, val outcome: String, val sends: Int) : FlowEffect
}
