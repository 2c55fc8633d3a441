/*
 * Checks the history of every request: what its caller was told against what the targets saw. Every input carries a
 * unique member, so that runs are known by content and not by any name that the system gives.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.standin.RunRecord
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Member of an input that names the request it belongs to. */
const val UID_MEMBER = "uid"

/** How a request ended for its caller. */
enum class Ending {
    /** Whole and right, within the deadline. */
    ATTAINED,

    /** Whole and right, but late. */
    LATE,

    /** Refused, truly not run. */
    NOT_RUN,

    /** Refused after it ran, at least in part. */
    FAILED,

    /** In progress or outcome unknown. */
    UNKNOWN,

    /** Whole, but another request's answer. */
    CROSSED,

    /** Shown as whole, but not whole. */
    CUT,

    /** No answer at all. */
    LOST,
}

/** One request as its caller saw it. */
data class CallRecord(
    val id: String,
    val uid: String,
    val entry: MixEntry,
    val organisation: String,
    val poison: Boolean,
    val ending: Ending,
    val reason: String,
    val latencyMs: Double,
    val firstTokenMs: Double,
    val startNanos: Long = 0,
    val request: String = "",
)

/** Breaches of what must always hold. */
@Serializable
data class Breaches(
    val lost: Int = 0,
    val doubled: Int = 0,
    val crossed: Int = 0,
    val cut: Int = 0,
    val untrueNotRun: Int = 0,
) {
    val total: Int get() = lost + doubled + crossed + cut + untrueNotRun

    /** Returns the breaches on one line for people. */
    fun summary(): String = "lost $lost, doubled $doubled, crossed $crossed, cut $cut, untrue not run $untrueNotRun"
}

/** Collects runs and calls and finds breaches. Thread-safe. */
class HistoryChecker {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val runsByRequest = ConcurrentHashMap<String, AtomicInteger>()
    private val calls = ConcurrentHashMap<String, CallRecord>()

    /** Takes in a run on a target. */
    fun onRun(run: RunRecord) {
        runsByRequest.computeIfAbsent(run.request) { AtomicInteger() }.incrementAndGet()
        val uid = uidOf(run.input) ?: return
        runs.computeIfAbsent(uid) { AtomicInteger() }.incrementAndGet()
    }

    /** Takes in the end of a call. */
    fun onCall(call: CallRecord) {
        calls[call.id] = call
    }

    /** Returns all calls. */
    fun calls(): List<CallRecord> = calls.values.toList()

    /** Returns the breaches of the history so far. */
    fun breaches(): Breaches {
        val all = calls.values
        return Breaches(
            lost = all.count { it.ending == Ending.LOST },
            doubled = all.count { it.entry.once && runsOf(it) > 1 },
            crossed = all.count { it.ending == Ending.CROSSED },
            cut = all.count { it.ending == Ending.CUT },
            untrueNotRun = all.count(::isUntrueNotRun),
        )
    }

    /** Returns the calls that breach a promise, for looking into them. */
    fun breaching(): List<CallRecord> = calls.values.filter { call ->
        call.ending in setOf(Ending.LOST, Ending.CROSSED, Ending.CUT) || isUntrueNotRun(call) ||
            (call.entry.once && runsOf(call) > 1)
    }

    private fun isUntrueNotRun(call: CallRecord) = call.ending == Ending.NOT_RUN && runsOf(call) > 0

    /** A poisoned request is sent again with the same content under a new key: there runs count by request. */
    private fun runsOf(call: CallRecord): Int =
        (if (call.poison) runsByRequest[call.request] else runs[call.uid])?.get() ?: 0
}

/** Returns the unique member of [input]. */
fun uidOf(input: JsonElement): String? = ((input as? JsonObject)?.get(UID_MEMBER) as? JsonPrimitive)?.content
