/*
 * What happens to a forwarded request, and what is to be done about it.
 */
package org.sesamerouter.serving

import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.batching.StageJob
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.engine.PromptPart
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.routing.ToldLoad

/**
 * A request of a caller, as far as decisions need it.
 *
 * @property flow number that this host gave it.
 * @property id the caller's id of it.
 * @property deadlineMs when the caller or its route gives up.
 * @property waitMs how long the caller waits, whatever its route allows; null when it does not say.
 * @property pieces number of pieces of each stage; 0 leaves the stage out.
 * @property fingerprint the same for each send of the same content.
 * @property lastEventId where a resumed stream goes on.
 */
data class ForwardRequest(
    val flow: Long,
    val id: String,
    val route: Route,
    val service: String,
    val rank: Int,
    val arrivedMs: Long,
    val deadlineMs: Long,
    val waitMs: Long? = null,
    val pieces: List<Int> = emptyList(),
    val pieceKey: String? = null,
    val parts: List<PromptPart> = emptyList(),
    val fingerprint: String = "",
    val lastEventId: String? = null,
)

/** Names one send of a request. */
data class SendId(val flow: Long, val number: Int)

/** How a send ended without a whole answer for the caller. */
sealed interface SendFailure {
    /** Nothing left this host. */
    data class NotSent(val cause: String) : SendFailure

    /** The target says that it did not run the request. */
    data class NotRun(val status: Int) : SendFailure

    /** A failed answer came whole and may be delivered. */
    data class FailedAnswer(val status: Int) : SendFailure

    /** The request may have run and no answer came. */
    data class Lost(val cause: String) : SendFailure

    /**
     * An answer broke off.
     *
     * @property isAtEvent whether only whole events of a stream were passed on, so that it can go on elsewhere.
     * @property lastEventId the last event of this send; null when none was passed on.
     */
    data class Broken(val isAtEvent: Boolean, val lastEventId: String?, val cause: String) : SendFailure
}

/** What happens. */
sealed interface FlowEvent {
    data class Arrived(val request: ForwardRequest) : FlowEvent

    data class StageEnded(val job: String, val outcome: JobOutcome) : FlowEvent

    /** The answer's head was passed on. */
    data class AnswerBegan(val send: SendId, val load: ToldLoad?) : FlowEvent

    /** The answer was passed on whole. */
    data class AnswerEnded(val send: SendId, val status: Int) : FlowEvent

    data class SendFailed(val send: SendId, val failure: SendFailure, val load: ToldLoad? = null) : FlowEvent

    data class CallerLeft(val flow: Long) : FlowEvent

    /** An incarnation of a target ended without having drained. */
    data class TargetDied(val target: String, val bornMs: Long) : FlowEvent

    data object Tick : FlowEvent
}

/** Why a request was not served. */
enum class RejectReason {
    NO_TARGET,
    DEADLINE,
    STAGE_FAILED,
    TARGETS_REFUSED,
    QUARANTINED,
    OUTCOME_UNKNOWN,
    OVERLOAD,
    STOPPING,
}

/** What is to be done. */
sealed interface FlowEffect {
    data class RunStage(val job: StageJob) : FlowEffect

    data class CancelStage(val service: String, val job: String) : FlowEffect

    data class FreeResults(val service: String, val handles: List<String>) : FlowEffect

    /** Tells that [handles] were probably fetched by the target. */
    data class ResultsRead(val handles: List<String>) : FlowEffect

    /** Sends the request to [target]; [inputs] are the results that it needs. */
    data class Send(
        val send: SendId,
        val target: TargetEntry,
        val maxConnections: Int,
        val inputs: List<String>,
        val deadlineLeftMs: Long,
        val lastEventId: String?,
        val rank: Int,
    ) : FlowEffect

    data class CancelSend(val send: SendId) : FlowEffect

    /**
     * Ends the request with an answer of this host.
     *
     * @property retryAfterMs goes with a promise that it did not run.
     * @property stageMs time that each stage would have taken, as it was believed then.
     */
    data class Reject(
        val flow: Long,
        val status: Int,
        val retryAfterMs: Long?,
        val reason: RejectReason,
        val stageMs: List<Long> = emptyList(),
    ) : FlowEffect

    /** Ends the request with the failed answer of a target that was kept back. */
    data class DeliverFailure(val flow: Long) : FlowEffect

    /** Ends an answer that was begun and cannot be completed. */
    data class Cut(val flow: Long) : FlowEffect

    /** A target died of, or beside, a request; the other hosts have to know. */
    data class ShareDeath(val notice: DeathNotice) : FlowEffect

    /** The request is over and forgotten. */
    data class Ended(val flow: Long, val outcome: String, val sends: Int) : FlowEffect
}
