/*
 * Counts the repeats that reach the targets of each service, over sliding windows, as the users' rule does: arrivals
 * beyond the first of each request, whatever the answer, against the requests that callers sent on a route to the
 * service.
 */
package org.sesamerouter.soak

/**
 * The window with the most repeats of [service] beside what is allowed there.
 *
 * @property reasons number of the repeats by how the arrival before them ended.
 */
internal data class RetryWindow(
    val service: String,
    val fromMs: Long,
    val repeats: Int,
    val allowed: Double,
    val reasons: Map<RunEnding, Int>,
) {
    val share: Double get() = repeats / allowed
}

/** Returns the worst window of each service with repeats. */
internal fun worstWindows(history: SoakHistory): List<RetryWindow> {
    val repeats = history.runs.groupBy { it.service to it.requestId }.values
        .flatMap { arrivals -> arrivals.zipWithNext { before, next -> Repeat(next, before.ending) } }
    return repeats.groupBy { it.arrival.service }.map { (service, of) ->
        val requests = history.requests.filter { it.request.kind.service == service }.map { it.startedMs }.sorted()
        worstWindow(service, of.sortedBy { it.arrival.startedMs }, requests, history.allowance)
    }
}

private class Repeat(val arrival: TargetRun, val reason: RunEnding)

/** The worst window begins or ends with a repeat. */
private fun worstWindow(
    service: String,
    repeats: List<Repeat>,
    requests: List<Long>,
    allowance: RetryAllowance,
): RetryWindow {
    val times = repeats.map { it.arrival.startedMs }
    return times.flatMap { listOf(it, it - allowance.windowMs + 1) }.map { fromMs ->
        val first = times.firstFrom(fromMs)
        val end = times.firstFrom(fromMs + allowance.windowMs)
        val asked = listOf(0L, allowance.windowMs / 2, allowance.windowMs).maxOf { before ->
            val startMs = fromMs - before
            requests.firstFrom(startMs + allowance.windowMs) - requests.firstFrom(startMs)
        }
        val reasons = repeats.subList(first, end).groupingBy { it.reason }.eachCount()
        RetryWindow(service, fromMs, end - first, allowance.ratio * asked + allowance.slack, reasons)
    }.maxBy { it.share }
}

/** The index of the first of the sorted times that is not before [ms]. */
private fun List<Long>.firstFrom(ms: Long): Int = binarySearch { if (it < ms) -1 else 1 }.let { -it - 1 }
