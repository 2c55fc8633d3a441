/*
 * Keeps requests that crash targets from reaching more of them: attributes the deaths of targets to the responses that
 * were lost there, and decides whether a request may be sent for the first time or again. A state machine without I/O.
 */
package org.sesamerouter.serving

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.quarantine.CrashAttribution
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.quarantine.PartState
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.quarantine.QuarantineState

/** A target crashes within this time after it has begun a response that crashes it. */
internal const val BEGINNING_MS = 2_000L

private const val VERDICT_MS = 400L // a target that runs answers a check within a few ms, a crashed one refuses it
private const val CLEARING_MS = 300L // by then other hosts have cleared the parts that sound requests share
private const val CRASHES_OF_SUSPECT = 2 // one may be a coincidence

/** Whether a request may be sent. */
internal sealed interface SendPermit {
    data object Granted : SendPermit

    /** Other hosts may still clear a part; the request waits for a moment. */
    data object Deferred : SendPermit

    /** The request itself crashed targets; it is rejected until it is forgotten. */
    data class Quarantined(val leftMs: Long) : SendPermit

    /** A [part] of the prompt crashed targets; it is rejected until the part was tried again. */
    data class HeldBack(val part: String, val crashes: List<String>, val leftMs: Long) : SendPermit
}

/** How far a response had come when it was lost. */
internal enum class LossPoint {
    /** It had begun, and no event of it had come: a prompt crashes a target when that begins to answer it. */
    BEFORE_FIRST_EVENT,

    /** It had just begun, or the start of it may have been lost. */
    BEGINNING,

    /** It had not begun, or was past its beginning. */
    OTHER,
}

/** A repeat of a request, lost at [point], that waits until it is known whether its target crashed. */
internal class WaitingRepeat(val target: TargetEntry, val sinceMs: Long, val point: LossPoint) {
    var verdict: TargetVerdict? = null
}

/** What to do with a repeat that waits. */
internal enum class RepeatDecision { WAIT, REPEAT, GIVE_UP }

internal class CrashGuard(private val quarantine: Quarantine, private val context: FlowContext) {
    private val attribution = CrashAttribution()

    /** Deaths and changes that the other hosts and the log have not been told of, in order. */
    private val effects = ArrayList<FlowEffect>()

    /** Returns the effects since the last call. */
    fun takeEffects(now: Long): List<FlowEffect> {
        quarantine.parts.takeChanges().forEach { change ->
            effects += FlowEffect.QuarantineChanged(change, quarantine.parts.heldPart(change.part, now))
        }
        return effects.toList().also { effects.clear() }
    }

    /** Decides whether a request of [flow] may be sent now. */
    fun permit(flow: Flow, now: Long): SendPermit {
        val request = flow.request
        if (quarantine.stateOf(request.fingerprint, now) == QuarantineState.QUARANTINED) {
            return SendPermit.Quarantined(quarantine.remainingMs(request.fingerprint, now))
        }
        val parts = quarantine.parts
        val (part, state) = parts.strictest(request.sharedParts, now) ?: return SendPermit.Granted
        return when {
            state == PartState.PENDING -> SendPermit.Deferred
            flow.triedPart == part -> SendPermit.Granted
            mayTry(flow, part, now) -> SendPermit.Granted.also { startTrial(flow, part, now) }
            else -> SendPermit.HeldBack(part, parts.crashes(part), parts.remainingMs(part, now))
        }
    }

    /** Only a request that no target has seen tries a part again, on the one host of the fleet whose turn it is. */
    private fun mayTry(flow: Flow, part: String, now: Long): Boolean {
        val overdueMs = quarantine.parts.trialOverdueMs(part, now)
        return overdueMs >= 0 && !flow.mayHaveRun && context.mayTryPart(part, overdueMs)
    }

    private fun startTrial(flow: Flow, part: String, now: Long) {
        flow.triedPart = part
        quarantine.parts.onTrial(part, now)
    }

    /**
     * Records that the response to the send [attempt] of [flow] was lost at [point]; that tells whether its prompt may
     * be what crashed the target.
     */
    fun onLost(flow: Flow, attempt: SendAttempt, point: LossPoint, now: Long) {
        attribution.onRequestLost(noticeOf(flow, attempt, point), now)?.let { record(it, now) }
        effects += FlowEffect.ResponseLost(
            attempt.id,
            attempt.target,
            flow.request.sharedParts,
            now - attempt.sentMs,
            attempt.firstEventMs?.let { now - it },
        )
    }

    private fun noticeOf(flow: Flow, attempt: SendAttempt, point: LossPoint): DeathNotice {
        val parts = if (point == LossPoint.OTHER) emptyList() else flow.request.sharedParts
        val startTime = attempt.target.startTimeMs.toString()
        val isFresh = point == LossPoint.BEFORE_FIRST_EVENT
        return DeathNotice(flow.request.fingerprint, attempt.target.id, startTime, parts, isFresh)
    }

    /** Handles that [target], started at [startTimeMs], is down without having announced it. */
    fun onTargetDown(target: String, startTimeMs: Long, now: Long) =
        attribution.onTargetDown(target, startTimeMs.toString(), now).forEach { record(it, now) }

    /**
     * Attributes the death of [target], started at [startTimeMs], to those of [flows] whose responses it had just begun
     * and has not ended: a machine that lost power closes no connections.
     */
    fun onTargetSilent(flows: Collection<Flow>, target: String, startTimeMs: Long, now: Long) {
        for (flow in flows) {
            val attempt = flow.currentSend ?: continue
            val isThere = attempt.target.id == target && attempt.target.startTimeMs == startTimeMs
            if (!isThere || attempt.firstEventMs == null || attempt.isPastBeginning) continue
            record(noticeOf(flow, attempt, LossPoint.BEGINNING), now)
        }
    }

    private fun record(notice: DeathNotice, now: Long) {
        if (quarantine.onDeath(notice, now, isOwn = true)) effects += FlowEffect.BroadcastDeath(notice)
    }

    /** Records a complete response; its end clears no part if a crash looks the same ([isEndCertain] is false). */
    fun onCompleted(flow: Flow, isEndCertain: Boolean, now: Long) {
        quarantine.onSuccess(flow.request.fingerprint, now)
        if (isEndCertain) quarantine.parts.onSound(flow.request.sharedParts, isOwn = true)
    }

    /** Clears the parts of responses that are past their beginning. */
    fun onTick(flows: Collection<Flow>) {
        if (quarantine.parts.size == 0) return
        flows.filter { it.currentSend?.isPastBeginning == true }
            .forEach { quarantine.parts.onSound(it.request.sharedParts, isOwn = true) }
    }

    /** Decides whether [flow], whose last response was lost, may be sent again. */
    fun decideRepeat(flow: Flow, repeat: WaitingRepeat, now: Long): RepeatDecision {
        val waitedMs = now - repeat.sinceMs
        if (repeat.verdict == null && waitedMs < VERDICT_MS) return RepeatDecision.WAIT
        val crashes = quarantine.parts.suspicion(flow.request.sharedParts, now)
        val isSuspect = crashes >= CRASHES_OF_SUSPECT || (crashes > 0 && repeat.point == LossPoint.BEFORE_FIRST_EVENT)
        return when {
            crashes == 0 -> RepeatDecision.REPEAT
            waitedMs < CLEARING_MS -> RepeatDecision.WAIT
            isSuspect -> RepeatDecision.GIVE_UP
            else -> RepeatDecision.REPEAT
        }
    }
}
