/*
 * The events that adapters send to the request coordinator, and the effects that it returns for them to carry out.
 */
package org.sesamerouter.pipeline

import kotlinx.serialization.json.JsonElement
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.api.RunCall
import org.sesamerouter.ledger.ClaimRecord
import org.sesamerouter.ledger.Holder
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.routing.TargetKey
import org.sesamerouter.target.LoadReport
import org.sesamerouter.target.TargetRun

/** Identifies one attempt of a request; [number] is unique within the request across all of its stages. */
data class AttemptId(val request: String, val number: Int)

/** The resource that a caller addressed. */
sealed interface CallTarget {
    /** The pipeline [name]. */
    data class PipelineCall(val name: String) : CallTarget

    /** The [operation] of the plain service [pool]. */
    data class ServiceCall(val pool: String, val operation: String) : CallTarget
}

/** The reason why an attempt ended without an answer. */
enum class AttemptFailure {
    /** The target could not be reached, and nothing was sent. */
    NEVER_SENT,

    /** The target reported that it did not run the request. */
    REFUSED,

    /** The target refused the request because it is shutting down. */
    REFUSED_LEAVING,

    /** The connection ended before the answer was complete. */
    CUT,

    /** The target returned an error or a reply to a different request. */
    ERROR,

    /** The answer exceeds the size that this host buffers. */
    TOO_LARGE,

    /** Another attempt of the same stage answered first. */
    LOST_RACE,
}

/** An input of the request coordinator. */
sealed interface RequestEvent {
    /** A request arrived and was given the id [request]; [forwarded] when another host sent it. */
    data class Arrived(
        val request: String,
        val target: CallTarget,
        val call: RunCall,
        val forwarded: Boolean = false,
    ) : RequestEvent

    /** The first token of an attempt arrived. */
    data class FirstToken(val attempt: AttemptId) : RequestEvent

    /** An attempt ended with a complete answer; the next stage gets [output], or [text] when there is none. */
    data class Succeeded(
        val attempt: AttemptId,
        val output: JsonElement?,
        val text: String,
        val tokens: Int,
        val report: LoadReport?,
    ) : RequestEvent

    /**
     * An attempt ended without an answer.
     *
     * @property position position of the first token that has not been received.
     * @property text text of the stage up to that position.
     */
    data class Failed(
        val attempt: AttemptId,
        val failure: AttemptFailure,
        val position: Int = 0,
        val text: String = "",
    ) : RequestEvent

    /** A probe of a target whose connection was cut ended; [report] is null when the target did not answer. */
    data class Probed(val target: TargetKey, val address: String, val report: LoadReport?) : RequestEvent

    /** A claim of this host was read back from the log; the key belongs to [holder]. */
    data class ClaimApplied(val claimId: String, val holder: Holder) : RequestEvent

    /** A claim could not be appended or was not read back in time. */
    data class ClaimFailed(val claimId: String) : RequestEvent

    /** The caller cancelled the request or disconnected. */
    data class Cancelled(val request: String) : RequestEvent

    /** A planned stop was requested: this host serves until [endMs] at the latest. */
    data class Stopping(val endMs: Long) : RequestEvent

    /** Serving ends now; all requests that have not ended are ended, and every later one is refused. */
    data object ServingEnded : RequestEvent

    /** Periodic timer event. */
    data object Tick : RequestEvent
}

/** An action for an adapter to carry out. */
sealed interface RequestEffect {
    /**
     * Send [run] to the target at [address].
     *
     * @property isLast whether this is the last stage, whose tokens are sent to the caller.
     * @property nonIdempotent whether the request must be sent at most once and therefore not on a reused connection.
     */
    data class StartAttempt(
        val attempt: AttemptId,
        val address: String,
        val run: TargetRun,
        val stage: Int,
        val isLast: Boolean,
        val nonIdempotent: Boolean,
    ) : RequestEffect

    /** Cancel an attempt whose answer is no longer needed. */
    data class CancelAttempt(val attempt: AttemptId) : RequestEffect

    /** Request a load report from a target to find out whether it died. */
    data class Probe(val target: TargetKey, val address: String) : RequestEffect

    /** Send the complete answer to the caller; the exchange holds the text. */
    data class Complete(val request: String, val answer: RunAnswer) : RequestEffect

    /** Send the final refusal to the caller. */
    data class Refuse(val request: String, val refusal: Refusal) : RequestEffect

    /** Forward the request to the host that holds its key. */
    data class Forward(val request: String, val holder: Holder, val target: CallTarget, val call: RunCall) :
        RequestEffect

    /** Append a claim to the log. */
    data class AppendClaim(val claim: ClaimRecord) : RequestEffect

    /** Report a target's death to the other hosts. */
    data class BroadcastDeath(val notice: DeathNotice) : RequestEffect
}
