/*
 * What a soak saw: the requests of its callers, what reached the targets, and the lives of the host processes. All
 * times are in milliseconds of one clock.
 */
package org.sesamerouter.soak

/**
 * The kinds of requests, with their routes.
 *
 * @property isRepeatable whether a request may run more than once.
 * @property isStream whether the answer is a stream of events.
 * @property service the service of its route.
 */
internal enum class RequestKind(
    val pathPrefix: String,
    val isRepeatable: Boolean,
    val isStream: Boolean,
    val timeoutMs: Long,
    val service: String,
) {
    PIPELINE("/plan/", isRepeatable = true, isStream = true, timeoutMs = 9_000, service = "model"),
    CHAT("/chat/", isRepeatable = false, isStream = true, timeoutMs = 9_000, service = "model"),
    BOOK("/book/", isRepeatable = false, isStream = false, timeoutMs = 8_000, service = "desk"),
    LOOK("/look/", isRepeatable = true, isStream = false, timeoutMs = 8_000, service = "desk"),
}

/**
 * A request of a caller. Its target works in [steps] steps of [stepMs] each; each step of a stream yields an event.
 *
 * @property pieces the number of pieces of the stage that the request needs.
 * @property hasCrashingPart whether engines crash when they begin to answer it.
 */
internal data class SoakRequest(
    val id: String,
    val kind: RequestKind,
    val deadlineMs: Long,
    val steps: Int,
    val stepMs: Long,
    val pieces: Int,
    val hasCrashingPart: Boolean = false,
) {
    val body: String get() = "$steps,$stepMs"

    /** The body of a whole answer. */
    val expectedAnswer: String
        get() = if (kind.isStream) eventsUpTo(steps) else "answer to $id: $body"

    /** The first [count] events of the stream. */
    fun eventsUpTo(count: Int): String = (1..count).joinToString("") { eventText(id, it) }

    /** How long the request may take before a host ends it. */
    val patienceMs: Long get() = minOf(deadlineMs, kind.timeoutMs)
}

/** The text of event [number] of the stream of request [id]. */
internal fun eventText(id: String, number: Int) = "id: $number\ndata: $id $number\n\n"

/** The proof that the answer to request [id] is from its run [run], which numbers those of all targets. */
internal fun stampOf(id: String, run: Int) = "stamp of $id run $run"

/** How a request ended for its caller. */
internal enum class Ending {
    /** A whole answer, of any status. */
    ANSWERED,

    /** The host read the request and closed the connection without a whole answer. */
    CUT,

    /** The connection was closed before the host read the request. */
    UNREAD,

    /** The caller left at its deadline. */
    LEFT,
}

/**
 * A request as its caller saw it.
 *
 * @property life the life of the host that the connection led to.
 * @property sentMs when its last byte was sent.
 */
internal data class CallerRecord(
    val request: SoakRequest,
    val host: Int,
    val life: Int,
    val startedMs: Long,
    val sentMs: Long,
    val endedMs: Long,
    val ending: Ending,
    val status: Int = 0,
    val stamp: String? = null,
    val body: String = "",
) {
    val isServed: Boolean get() = ending == Ending.ANSWERED && status in 200..299
}

/** How a request ended at a target. */
internal enum class RunEnding {
    RUNNING,
    FINISHED,

    /** The target answered that it did not run it. */
    REJECTED,

    /** The target answered with an error. */
    FAILED,

    /** The caller or a host closed the connection. */
    DROPPED,

    /** The target broke its response off. */
    BROKEN_OFF,

    /** The target broke its response off since the request crashed it. */
    CRASHED,
}

/**
 * A request as a target saw it.
 *
 * @property inputs the handles of the results that it was sent with.
 * @property hasCrashingPart whether the target crashes when it begins to answer it.
 * @property stamp the proof that its answer bears, unless the target rejected it.
 * @property status the status that the target gave; null if it gave none.
 */
internal data class TargetRun(
    val requestId: String,
    val startedMs: Long,
    val endedMs: Long?,
    val ending: RunEnding,
    val inputs: List<String>,
    val hasCrashingPart: Boolean = false,
    val service: String,
    val stamp: String,
    val status: Int? = null,
) {
    val isRejected: Boolean get() = ending == RunEnding.REJECTED
}

/** The result of piece [handle] of a stage of request [requestId], made from [inputs]. */
internal data class StageResult(val handle: String, val requestId: String, val stage: Int, val inputs: List<String>)

/** In any window of [windowMs], [ratio] repeats are allowed for each request, and [slack] besides. */
internal data class RetryAllowance(val ratio: Double, val slack: Double, val windowMs: Long)

/** A span of time. */
internal data class Span(val fromMs: Long, val toMs: Long) {
    fun overlaps(other: Span): Boolean = fromMs <= other.toMs && other.fromMs <= toMs
}

/**
 * One process of a host, from start to end.
 *
 * @property readyMs when it was first seen ready; null if never.
 * @property stopMs the moments before and after SIGTERM was sent; null if it was not.
 * @property stopSeenMs when it was first seen not ready after that; null if it was not.
 * @property killedMs when SIGKILL was sent while the grace had not passed; null if it was not.
 * @property isOverdue whether it was killed since it had not ended by the end of its grace.
 * @property frozen the spans for which it was frozen.
 * @property isLast whether the host had to be ready in this life, before the final stop.
 */
internal data class HostLife(
    val host: Int,
    val number: Int,
    val startedMs: Long,
    val readyMs: Long? = null,
    val stopMs: Span? = null,
    val stopSeenMs: Long? = null,
    val killedMs: Long? = null,
    val endedMs: Long? = null,
    val exitStatus: Int? = null,
    val isOverdue: Boolean = false,
    val frozen: List<Span> = emptyList(),
    val isLast: Boolean = false,
)

/** All that one soak saw, with [runs] in the order of their arrival. */
internal data class SoakHistory(
    val graceMs: Long,
    val lives: List<HostLife>,
    val requests: List<CallerRecord>,
    val runs: List<TargetRun>,
    val stageResults: List<StageResult>,
    val allowance: RetryAllowance,
) {
    private val stops = lives.mapNotNull { life -> life.stopMs?.let { (life.host to life.number) to it } }.toMap()

    /** The number of processes that ended by themselves, yet later than their grace. */
    val lateEnds: Int
        get() = lives.count { life ->
            val stop = life.stopMs
            !life.isOverdue && stop != null && (life.endedMs ?: 0) > stop.toMs + graceMs
        }

    /** The number of requests that were sent to a host after its SIGTERM. */
    val sentAfterStop: Int get() = requests.count { record ->
        stopOf(record)?.let { it.toMs < record.startedMs } == true
    }

    /** The number of requests that were in progress at the SIGTERM of their host. */
    val inProgressAtStop: Int
        get() = requests.count { record ->
            stopOf(record)?.let { record.sentMs < it.fromMs && it.fromMs < record.endedMs } == true
        }

    /** The number of engines that crashed. */
    val crashes: Int get() = runs.count { it.ending == RunEnding.CRASHED }

    private fun stopOf(record: CallerRecord) = stops[record.host to record.life]
}

/** A broken promise: the name of the [check], the request or host, and what was seen. */
internal data class Finding(val check: String, val subject: String, val seen: String)
