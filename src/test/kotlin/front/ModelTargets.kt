/*
 * A virtual clock with its events, and stage targets as they behave physically: one call at a time, a short queue, and
 * results that take up space until they are freed.
 */
package org.sesamerouter.front

import org.sesamerouter.batching.CallItem
import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.PieceOutcome
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.clock.manualClock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec
import java.util.PriorityQueue

private const val MAX_QUEUED_CALLS = 2
private const val RESULT_LIFE_MS = 20_000L
private const val CHEAP_RESULT_BYTES = 8_000L
private const val CHEAP_PIECE_SHARE = 0.3 // pieces with small results take less time than the pool's figure

/** Events in the order of their times; those of the same time run in the order in which they were added. */
internal class VirtualTime {
    private class Event(val atMs: Long, val number: Long, val run: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.number }))
    private var added = 0L
    val clock = manualClock(1_000_000)
    private val startMs = clock.nowMs()

    /** Time since the start. */
    val now: Long get() = clock.nowMs() - startMs

    fun after(delayMs: Long, run: () -> Unit) {
        events += Event(now + delayMs, added++, run)
    }

    /** Runs all events up to [untilMs]. */
    fun run(untilMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs <= untilMs) {
            val event = events.poll()
            clock.advance(event.atMs - now)
            event.run()
        }
        clock.advance(untilMs - now)
    }
}

/** The stage targets of all pools. */
internal class ModelTargets(private val time: VirtualTime) {
    private class WaitingCall(val items: List<CallItem>, val bytes: Map<Int, Long>, val done: (CallOutcome) -> Unit)

    private inner class Target(val entry: TargetEntry, val spec: BatchSpec) {
        val results = HashMap<String, Long>()
        val calls = ArrayDeque<WaitingCall>()
        var isWorking = false
        var slowness = 1.0
    }

    private val targets = LinkedHashMap<String, Target>()
    private var made = 0L

    /** Pieces that failed since an input was gone, and pieces for which there was no space. */
    var gone = 0
        private set
    var noRoom = 0
        private set

    fun add(entry: TargetEntry, spec: BatchSpec) {
        targets[entry.address] = Target(entry, spec)
    }

    fun of(service: String): List<TargetEntry> = targets.values.map { it.entry }.filter { it.service == service }

    fun at(address: String): TargetEntry? = targets[address]?.entry

    /** Number of targets of [service] that neither work nor have a call. */
    fun idle(service: String): Int =
        targets.values.count { it.entry.service == service && !it.isWorking && it.calls.isEmpty() }

    fun freeBytes(address: String): Long =
        targets.getValue(address).let { it.spec.resultSpaceBytes - it.results.values.sum() }

    fun slowDown(service: String, slowness: Double) =
        targets.values.filter { it.entry.service == service }.forEach { it.slowness = slowness }

    /** Runs [call], whose results have the sizes [bytes] by stage; [done] is called when it has ended. */
    fun run(call: PoolEffect.Call, bytes: Map<Int, Long>, done: (CallOutcome) -> Unit) {
        val target = targets.getValue(call.target.address)
        if (target.isWorking && target.calls.size >= MAX_QUEUED_CALLS) {
            done(CallOutcome.Refused)
            return
        }
        target.calls += WaitingCall(call.items, bytes, done)
        if (!target.isWorking) startNext(target)
    }

    fun free(address: String, handles: List<String>) {
        targets[address]?.results?.keys?.removeAll(handles.toSet())
    }

    private fun startNext(target: Target) {
        val call = target.calls.removeFirstOrNull() ?: return
        target.isWorking = true
        val outcomes = call.items.map { outcomeOf(target, it, call.bytes.getValue(it.stage)) }
        val madeItems = call.items.filterIndexed { i, _ -> outcomes[i] is PieceOutcome.Made }
        val piecesMs = madeItems.sumOf {
            target.spec.pieceMs * if (call.bytes.getValue(it.stage) <= CHEAP_RESULT_BYTES) CHEAP_PIECE_SHARE else 1.0
        }
        time.after(((target.spec.callMs + piecesMs) * target.slowness).toLong()) {
            target.isWorking = false
            call.done(CallOutcome.Answered(outcomes))
            startNext(target)
        }
    }

    private fun outcomeOf(target: Target, item: CallItem, bytes: Long): PieceOutcome {
        val hasInputs = item.piece.inputs.all { it in targets.getValue(it.substringBefore('/')).results }
        if (!hasInputs) {
            gone++
            return PieceOutcome.InputGone
        }
        if (target.results.values.sum() + bytes > target.spec.resultSpaceBytes) {
            noRoom++
            return PieceOutcome.NoRoom
        }
        val handle = "${target.entry.address}/${made++}"
        target.results[handle] = bytes
        time.after(RESULT_LIFE_MS) { target.results.remove(handle) }
        return PieceOutcome.Made(handle)
    }
}
