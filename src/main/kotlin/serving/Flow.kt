/*
 * State of one forwarded request in progress.
 */
package org.sesamerouter.serving

import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.engine.EngineForecast
import org.sesamerouter.retry.RepeatReason
import org.sesamerouter.retry.SendPass

private const val PERCENT = 100
private const val PROTECTED_PERCENT = 25 // keeps every kind of request from being served far less often than the others

/** The state of one request, whose caller first attempted it [sinceFirstAttemptMs] before it arrived here. */
internal class Flow(val request: ForwardRequest, sinceFirstAttemptMs: Long = 0) {
    /** Estimated time of the caller's first attempt, from which the latency objective counts. */
    val firstAttemptMs = request.arrivedMs - sinceFirstAttemptMs

    /** Whether the caller probably retries a request that was refused. */
    val isCallerRetry = sinceFirstAttemptMs > 0

    /** Rank in the pools. A share of the requests of each kind gets the most urgent rank, to prevent starvation. */
    val rank = if (Math.floorMod(request.id.hashCode(), PERCENT) < PROTECTED_PERCENT) 0 else request.rank

    val handles = arrayOfNulls<List<String>>(request.route.stages.size)
    val jobs = HashMap<String, Int>()
    val startedStages = HashSet<Int>()

    /** The job that announced a later stage to the owner of its queue; it counts until that job has ended. */
    val announcingJobs = HashMap<Int, String>()

    /** When each started stage was expected to end, by the queues at its start. */
    val expectedStageEndMs = HashMap<Int, Long>()
    val triedTargets = HashSet<String>()
    var stageReruns = 0
    var sends = 0
    var runs = 0
    var currentSend: SendAttempt? = null
    var mayHaveRun = false
    var hasBufferedFailure = false

    /**
     * Leave for the next send; null after a send that a target may have received, and while one is in progress that is
     * not given up.
     */
    var pass: SendPass? = null

    /** Whether a target of the service may have received the request. */
    var mayHaveArrived = false

    /** Why the request is repeated after the last response that was lost. */
    var lossReason = RepeatReason.LOST

    /** Whether a part of the response was passed on to the caller. */
    var isResponding = false
    var lastEventId = request.lastEventId

    /** Set while a repeat waits until it is known whether the last target crashed. */
    var waitingRepeat: WaitingRepeat? = null

    /** The part that is held back and that this request tries again. */
    var triedPart: String? = null

    /** Whether the request is ready to be sent but has to wait whether a part of its prompt is held back. */
    var isSendDeferred = false

    /** Whether the request is at no target and no part of a response was passed on. */
    val isUnsent: Boolean get() = currentSend == null && !isResponding

    /** Returns the number of pieces of [stage]; 0 when the request skips it. */
    fun pieceCount(stage: Int): Int = request.pieces.getOrElse(stage) { 0 }

    /** Number of pieces of all stages. */
    val totalPieces: Long get() = request.route.stages.indices.sumOf { pieceCount(it).toLong() }

    /** Whether the pieces are counted in the [PieceMemory] of this host. */
    var holdsPieces = false

    /** Returns the stages that read results of [stage]. */
    fun dependentStages(stage: Int): List<Int> {
        val stages = request.route.stages
        return stages.indices.filter { stage in stages[it].dependencies && pieceCount(it) > 0 }
    }

    /** Returns the stages that need the results of [stage], directly or through other stages. */
    fun stagesAfter(stage: Int): Set<Int> = dependentStages(stage).flatMapTo(HashSet()) { stagesAfter(it) + it }

    /** Returns the number of stages on the longest path after [stage]. */
    fun longestChainAfter(stage: Int): Int = dependentStages(stage).maxOfOrNull { 1 + longestChainAfter(it) } ?: 0

    /** Handles of the results that are still held; before a send, the inputs of the target. */
    fun heldHandles(): List<String> = handles.filterNotNull().flatten()

    /** Releases the results whose dependent stages have all ended. */
    fun releaseConsumed(): List<FlowEffect> = release { number ->
        val consumers = dependentStages(number)
        consumers.isNotEmpty() && consumers.all { handles[it] != null }
    }

    /** Releases all results. */
    fun releaseAll(): List<FlowEffect> = release { true }

    private fun release(isReleasable: (Int) -> Boolean): List<FlowEffect> = handles.indices.mapNotNull { number ->
        val held = handles[number].orEmpty()
        if (held.isEmpty() || !isReleasable(number)) return@mapNotNull null
        handles[number] = emptyList()
        FlowEffect.FreeResults(request.route.stages[number].service, held)
    }
}

/** One send of a request to a target. */
internal class SendAttempt(
    val id: SendId,
    val target: TargetEntry,
    val prefillTokens: Long,
    val sentMs: Long,
    val pass: SendPass,
    val forecast: EngineForecast?,
) {
    var isPrefilled = false
    var firstEventMs: Long? = null
    var areInputsReported = false

    /** Whether the target was given up for its silence. */
    var isGivenUp = false

    /** Whether the target went on with the response after the time within which a prompt may crash it. */
    var isPastBeginning = false
}
