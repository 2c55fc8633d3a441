/*
 * What is known of one forwarded request on its way.
 */
package org.sesamerouter.serving

import org.sesamerouter.discovery.TargetEntry

private const val PERCENT = 100
private const val PROTECTED_PERCENT = 25 // keeps each kind of request from being served far less often than the others

/** The state of one request that its caller asked for [ageMs] before it came here. */
internal class Flow(val request: ForwardRequest, ageMs: Long = 0) {
    /** When the caller probably asked for the first time; its objective counts from there. */
    val askedMs = request.arrivedMs - ageMs

    /** Whether it was refused before and came back. */
    val isReturned = ageMs > 0

    /** Rank in the pools; some of each kind count as the most urgent, so that no kind starves in an overload. */
    val rank = if (Math.floorMod(request.id.hashCode(), PERCENT) < PROTECTED_PERCENT) 0 else request.rank

    val handles = arrayOfNulls<List<String>>(request.route.stages.size)
    val jobs = HashMap<String, Int>()
    val startedStages = HashSet<Int>()
    val tried = HashSet<String>()
    var stageRuns = 0
    var sends = 0
    var runs = 0
    var send: Sent? = null
    var mayHaveRun = false
    var hasHeldAnswer = false

    /** Whether the caller has a part of the answer. */
    var isBegun = false
    var lastEventId = request.lastEventId

    /** Returns the number of pieces of [stage]; 0 when it is left out. */
    fun piecesOf(stage: Int): Int = request.pieces.getOrElse(stage) { 0 }

    /** Returns the stages that take results of [stage]. */
    fun nextStages(stage: Int): List<Int> {
        val stages = request.route.stages
        return stages.indices.filter { stage in stages[it].after && piecesOf(it) > 0 }
    }

    /** Returns how many stages follow [stage] on the longest way. */
    fun stagesAfter(stage: Int): Int = nextStages(stage).maxOfOrNull { 1 + stagesAfter(it) } ?: 0

    /** Results of the stages that no other stage follows. */
    fun finalHandles(): List<String> = handles.filterNotNull().flatten()

    /** Takes out the results whose every consumer among the stages is done. */
    fun releaseConsumed(): List<FlowEffect> = release { number ->
        val consumers = nextStages(number)
        consumers.isNotEmpty() && consumers.all { handles[it] != null }
    }

    /** Takes out all results. */
    fun releaseAll(): List<FlowEffect> = release { true }

    private fun release(isOver: (Int) -> Boolean): List<FlowEffect> = handles.indices.mapNotNull { number ->
        val held = handles[number].orEmpty()
        if (held.isEmpty() || !isOver(number)) return@mapNotNull null
        handles[number] = emptyList()
        FlowEffect.FreeResults(request.route.stages[number].service, held)
    }
}

/** One send of a request. */
internal class Sent(val id: SendId, val target: TargetEntry, val unread: Long, val sentMs: Long) {
    var isRead = false
    var areInputsTold = false
}
