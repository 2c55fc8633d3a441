/*
 * Checks the history of every request by comparing the result its caller received with the runs that the targets
 * recorded. Every input carries a unique member, so that runs are matched by content and not by identifiers that the
 * system under test assigns.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.standin.RunRecord
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Input member that identifies the request. */
const val UID_MEMBER = "uid"

/** Result of a request as its caller saw it. */
enum class CallResult {
    /** Complete and correct answer within the deadline. */
    ATTAINED,

    /** Complete and correct answer after the deadline. */
    LATE,

    /** Refused as not run. */
    NOT_RUN,

    /** Refused as failed: the request ran at least in part. */
    FAILED,

    /** Refused as still in progress or with an unknown outcome. */
    UNKNOWN,

    /** An answer that does not match the request, such as the answer to another request. */
    CROSSED,

    /** Truncated, but delivered as a complete answer. */
    CUT,

    /** No answer before the caller gave up. */
    LOST,
}

/** One request and its result, as its caller saw them. */
data class CallRecord(
    val id: String,
    val uid: String,
    val entry: MixEntry,
    val organisation: String,
    val poison: Boolean,
    val ending: CallResult,
    val reason: String,
    val latencyMs: Double,
    val firstTokenMs: Double,
    val startNanos: Long = 0,
    val request: String = "",
)

/**
 * Number of violations of each guarantee.
 *
 * @property lost requests without an answer.
 * @property doubled requests that may run at most once but ran more often.
 * @property crossed answers that do not match their request.
 * @property cut truncated answers that were delivered as complete.
 * @property untrueNotRun requests that were refused as not run although they ran.
 */
@Serializable
data class Violations(
    val lost: Int = 0,
    val doubled: Int = 0,
    val crossed: Int = 0,
    val cut: Int = 0,
    val untrueNotRun: Int = 0,
) {
    val total: Int get() = lost + doubled + crossed + cut + untrueNotRun

    /** Returns the violations as one line of text. */
    fun summary(): String = "lost $lost, doubled $doubled, crossed $crossed, cut $cut, untrue not run $untrueNotRun"
}

/** Collects runs and calls and finds violations of the guarantees. Thread-safe. */
class HistoryChecker {
    private val runsByUid = ConcurrentHashMap<String, AtomicInteger>()
    private val runsByRequest = ConcurrentHashMap<String, AtomicInteger>()
    private val calls = ConcurrentHashMap<String, CallRecord>()

    /** Records a run on a target. */
    fun onRun(run: RunRecord) {
        runsByRequest.computeIfAbsent(run.request) { AtomicInteger() }.incrementAndGet()
        val uid = uidOf(run.input) ?: return
        runsByUid.computeIfAbsent(uid) { AtomicInteger() }.incrementAndGet()
    }

    /** Records a finished call. */
    fun onCall(call: CallRecord) {
        calls[call.id] = call
    }

    fun calls(): List<CallRecord> = calls.values.toList()

    /** Returns the violations in the history recorded so far. */
    fun violations(): Violations {
        val all = calls.values
        return Violations(
            lost = all.count { it.ending == CallResult.LOST },
            doubled = all.count { it.entry.once && runCountOf(it) > 1 },
            crossed = all.count { it.ending == CallResult.CROSSED },
            cut = all.count { it.ending == CallResult.CUT },
            untrueNotRun = all.count(::isFalseNotRun),
        )
    }

    /** Returns the calls that violate a guarantee, for diagnosis. */
    fun violatingCalls(): List<CallRecord> = calls.values.filter { call ->
        call.ending in setOf(CallResult.LOST, CallResult.CROSSED, CallResult.CUT) || isFalseNotRun(call) ||
            (call.entry.once && runCountOf(call) > 1)
    }

    private fun isFalseNotRun(call: CallRecord) = call.ending == CallResult.NOT_RUN && runCountOf(call) > 0

    /**
     * Returns the number of runs of [call]. A poison request is sent again with the same content under a new key, so
     * its runs are counted by request and not by content.
     */
    private fun runCountOf(call: CallRecord): Int =
        (if (call.poison) runsByRequest[call.request] else runsByUid[call.uid])?.get() ?: 0
}

/** Returns the value of [UID_MEMBER] in [input], or null if it has none. */
fun uidOf(input: JsonElement): String? = ((input as? JsonObject)?.get(UID_MEMBER) as? JsonPrimitive)?.content
