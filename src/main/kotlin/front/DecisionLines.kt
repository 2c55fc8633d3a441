/*
 * The lines of the decision log for decisions about requests and for changes of targets.
 */
package org.sesamerouter.front

import org.sesamerouter.discovery.EntryChange
import org.sesamerouter.retry.AllowanceChange
import org.sesamerouter.serving.FlowEffect
import org.sesamerouter.web.UnusedAnswer

private const val MAX_LOGGED_IDS = 6
private const val MAX_LOGGED_ID_LENGTH = 32

/** Writes a send or a rejection that was decided at [now] with targets read [targetsAgeMs] ago. */
internal fun DecisionLog.writeDecision(effect: FlowEffect, now: Long, targetsAgeMs: Long) {
    when (effect) {
        is FlowEffect.Send -> write(
            "send",
            "flow" to effect.send.flow,
            "send" to effect.send.number,
            "target" to effect.target.id,
            "inputs" to effect.inputs.size,
            "left-ms" to effect.expiresAtMs - now,
            "targets-age-ms" to targetsAgeMs,
            "expected-ms" to effect.forecast?.expectedMs?.toLong(),
            "load-age-ms" to effect.forecast?.ageMs?.toLong(),
            "repeat" to effect.pass.reason,
            "repeats-left" to effect.pass.left,
        )

        is FlowEffect.Reject -> write(
            "reject",
            "flow" to effect.flow,
            "status" to effect.status,
            "reason" to effect.reason,
            "retry-after-ms" to effect.retryAfterMs,
            "stages-ms" to effect.stageMs.joinToString(","),
            "part" to effect.heldPart?.take(MAX_LOGGED_ID_LENGTH),
            "crashes" to effect.crashes.forLog(),
            "short-of" to effect.shortage?.figure,
            "pool" to effect.shortage?.service,
            "needs" to effect.shortage?.needed,
            "has" to effect.shortage?.available,
            "targets-age-ms" to targetsAgeMs,
        )

        is FlowEffect.ResponseLost -> write(
            "response-lost",
            "flow" to effect.send.flow,
            "send" to effect.send.number,
            "target" to effect.target.id,
            "start-ms" to effect.target.startTimeMs,
            "parts" to effect.parts.forLog(),
            "sent-for-ms" to effect.sentForMs,
            "begun-for-ms" to effect.begunForMs,
        )

        else -> Unit
    }
}

/** Writes that repeats at a service are used up or back, with the number of [hosts] that share the slack. */
internal fun DecisionLog.writeAllowance(change: AllowanceChange, hosts: Int) = write(
    "repeat-allowance",
    "service" to change.service,
    "used-up" to change.isUsedUp,
    "left" to change.use?.left,
    "repeats" to change.use?.repeats,
    "requests" to change.use?.requests,
    "not-sent" to change.refused,
    "hosts" to hosts,
)

/** Writes an answer that ended no call, and the id of the request that waits on its connection. */
internal fun DecisionLog.writeUnusedAnswer(answer: UnusedAnswer) = write(
    "answer-unused",
    "kind" to answer.kind,
    "address" to answer.address,
    "id" to answer.id,
    "waiting" to answer.waitingId,
    "status" to answer.status,
    "bytes" to answer.bytes,
    "cause" to answer.cause,
)

/** Writes that a request goes out again, what is left of the allowance, and whether on a connection used before. */
internal fun DecisionLog.writeResend(request: String, effect: FlowEffect.Send, isOnKeptConnection: Boolean) = write(
    "resend",
    "request" to request.take(MAX_LOGGED_ID_LENGTH),
    "flow" to effect.send.flow,
    "send" to effect.send.number,
    "repeat" to effect.pass.reason,
    "repeats-left" to effect.pass.left,
    "connection" to if (isOnKeptConnection) "kept" else "new",
)

/** Writes what this host believes about a part of prompts from now on, and the crashes that count against it. */
internal fun DecisionLog.writePartChange(effect: FlowEffect.QuarantineChanged) = write(
    "part",
    "part" to effect.change.part.take(MAX_LOGGED_ID_LENGTH),
    "change" to effect.change.kind,
    "crashes" to effect.change.crashes.forLog(),
    "count" to effect.change.crashes.size,
    "own" to effect.change.isOwn,
    "trials" to effect.held?.trials,
    "next-trial-ms" to effect.held?.nextTrialInMs,
)

/** Joins ids for a log line of bounded length. */
internal fun List<String>.forLog(): String = take(MAX_LOGGED_IDS).joinToString(",") { it.take(MAX_LOGGED_ID_LENGTH) } +
    if (size > MAX_LOGGED_IDS) ",..." else ""

/** Writes the [changes] of targets that were read in [era] of the store, by this host if [isLocalRead]. */
internal fun DecisionLog.writeTargets(changes: List<EntryChange>, era: Long, isLocalRead: Boolean) = changes.forEach {
    write(
        "target",
        "target" to it.id,
        "service" to it.entry?.service,
        "draining" to it.entry?.isDraining,
        "gone" to (it.entry == null),
        "offset" to it.offset,
        "era" to era,
        "own" to isLocalRead,
    )
}
