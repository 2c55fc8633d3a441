/*
 * The lines of the decision log for the queues of pools and their calls.
 */
package org.sesamerouter.front

import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.PieceOutcome
import org.sesamerouter.batching.PieceQueue
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.batching.QueueStop

/** Writes that [queue] has started no call for a while though pieces wait, and why. */
internal fun DecisionLog.writeStop(queue: PieceQueue, stop: QueueStop) = write(
    "pool-stopped",
    "service" to queue.service,
    "waiting" to queue.waiting,
    "no-call-ms" to stop.sinceCallMs,
    "targets" to stop.targets,
    "busy" to stop.busy,
    "backing-off" to stop.backingOff,
    "slow" to stop.slow,
    "full" to stop.full,
    "suspended" to queue.isSuspended,
)

/** Writes a call of the pool [service], in whose queue [waiting] pieces are left and whose owner has [term]. */
internal fun DecisionLog.writeStageCall(service: String, call: PoolEffect.Call, waiting: Int?, term: Long?) = write(
    "stage-call",
    "service" to service,
    "call" to call.call,
    "target" to call.target.id,
    "pieces" to call.items.size,
    "waiting" to waiting,
    "oldest-ms" to call.oldestMs,
    "used-bytes" to call.usedBytes,
    "term" to term,
    "requests" to call.items.map { it.request }.distinct().joinToString(","),
)

/** Writes why pieces of a call were not made, if any were not. */
internal fun DecisionLog.writeNotMade(service: String, call: PoolEffect.Call, outcome: CallOutcome) {
    val items = (outcome as? CallOutcome.Answered)?.items.orEmpty().filter { it !is PieceOutcome.Made }
    if (items.isEmpty()) return
    write(
        "pieces-not-made",
        "service" to service,
        "call" to call.call,
        "target" to call.target.id,
        "why" to items.groupingBy { it::class.simpleName }.eachCount(),
    )
}
