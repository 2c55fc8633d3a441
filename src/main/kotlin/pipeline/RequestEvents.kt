/*
 * What happens to requests and what is to be done about it: the messages between the request coordinator, which
 * decides, and its adapters, which carry bytes.
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

/** Names one attempt of a request; numbers are unique within the request over all of its stages. */
data class AttemptId(val request: String, val number: Int)

/** What was called. */
sealed interface CallTarget {
    /** The pipeline [name]. */
    data class PipelineCall(val name: String) : CallTarget

    /** The [operation] of the plain service [pool]. */
    data class ServiceCall(val pool: String, val operation: String) : CallTarget
}

/** How an attempt ended without its answer. */
enum class AttemptFailure {
    /** The target could not be reached: nothing was sent. */
    NEVER_SENT,

    /** The target said that it did not run the request. */
    REFUSED,

    /** The target refused since it is leaving. */
    REFUSED_LEAVING,

    /** The connection ended before the answer did. */
    CUT,

    /** The target answered with an error or with a reply that belongs elsewhere. */
    ERROR,

    /** The answer is larger than this host keeps. */
    TOO_LARGE,

    /** Another attempt of the same stage was first. */
    LOST_RACE,
}

/** Something that happened to a request. */
sealed interface RequestEvent {
    /** A caller's request came in under the name [request]; [forwarded] when another host sent it here. */
    data class Arrived(
        val request: String,
        val target: CallTarget,
        val call: RunCall,
        val forwarded: Boolean = false,
    ) : RequestEvent

    /** The first token of an attempt came. */
    data class FirstToken(val attempt: AttemptId) : RequestEvent

    /** An attempt ended with its whole answer; [text] is kept for stages before the last. */
    data class Succeeded(
        val attempt: AttemptId,
        val output: JsonElement?,
        val text: String,
        val tokens: Int,
        val load: LoadReport?,
    ) : RequestEvent

    /** An attempt ended without its answer; [position] and [text] are what the exchange has of the stage so far. */
    data class Failed(
        val attempt: AttemptId,
        val failure: AttemptFailure,
        val position: Int = 0,
        val text: String = "",
    ) : RequestEvent

    /** A probe after a cut ended; [report] is null when the target did not answer. */
    data class Probed(val target: TargetKey, val address: String, val report: LoadReport?) : RequestEvent

    /** A claim of this host was folded: the key belongs to [holder]. */
    data class ClaimFolded(val claimId: String, val holder: Holder) : RequestEvent

    /** A claim could not be appended or was not read back in time. */
    data class ClaimFailed(val claimId: String) : RequestEvent

    /** The caller cancelled or went away. */
    data class Cancelled(val request: String) : RequestEvent

    /** Time went on. */
    data object Tick : RequestEvent
}

/** Something that an adapter has to do. */
sealed interface RequestEffect {
    /**
     * Send [run] to the target at [address].
     *
     * @property isLast whether the stage's tokens go to the caller.
     * @property once whether the bytes may leave at most once, so that no used connection is taken.
     */
    data class StartAttempt(
        val attempt: AttemptId,
        val address: String,
        val run: TargetRun,
        val stage: Int,
        val isLast: Boolean,
        val once: Boolean,
    ) : RequestEffect

    /** End an attempt whose answer is not wanted any more. */
    data class CancelAttempt(val attempt: AttemptId) : RequestEffect

    /** Ask a target for its load, to learn whether it died. */
    data class Probe(val target: TargetKey, val address: String) : RequestEffect

    /** Give the caller its whole answer; the exchange holds the text. */
    data class Complete(val request: String, val answer: RunAnswer) : RequestEffect

    /** Give the caller its final refusal. */
    data class Refuse(val request: String, val refusal: Refusal) : RequestEffect

    /** Send the request to the host that holds its key. */
    data class Forward(val request: String, val holder: Holder, val target: CallTarget, val call: RunCall) :
        RequestEffect

    /** Append a claim to the log. */
    data class AppendClaim(val claim: ClaimRecord) : RequestEffect

    /** Tell the other hosts of a death. */
    data class ShareDeath(val notice: DeathNotice) : RequestEffect
}
