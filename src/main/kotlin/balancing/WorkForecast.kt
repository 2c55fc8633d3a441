/*
 * The work that other hosts will have sent since their last reports. Reports are up to some tenths of a second old, and
 * all hosts that choose the target with the least reported work choose the same one. Other hosts are assumed to fill
 * the targets with the least work up to one level.
 */
package org.sesamerouter.balancing

/**
 * What is known of the work at a target, in ms of its time.
 *
 * @property knownMs work that is known to wait there now, of this host and others as reported.
 * @property capacity how much work in ms of normal time the target does in a ms.
 */
data class KnownWork(val knownMs: Double, val capacity: Double)

/**
 * Returns the expected wait in ms at each of [targets], when [inflowMs] of work in ms of normal time was sent to them
 * all together beyond what is known.
 */
fun forecastWork(targets: List<KnownWork>, inflowMs: Double): List<Double> {
    val level = fillLevel(targets, inflowMs)
    return targets.map { maxOf(it.knownMs, level) }
}

/** Returns the level up to which [inflowMs] fills the targets with the least work. */
private fun fillLevel(targets: List<KnownWork>, inflowMs: Double): Double {
    if (inflowMs <= 0) return 0.0
    val order = targets.sortedBy { it.knownMs }
    var capacity = 0.0
    var workMs = inflowMs
    var level = 0.0
    for ((i, target) in order.withIndex()) {
        capacity += target.capacity
        workMs += target.knownMs * target.capacity
        level = workMs / capacity
        val next = order.getOrNull(i + 1) ?: break
        if (level <= next.knownMs) break
    }
    return level
}

/**
 * The rate of sends of a host, which tells with the number of requests that others have in progress how many they send:
 * requests in progress are the rate of sends times the time that a request takes.
 */
class SendRate {
    private var sends = 0.0
    private var units = 0.0
    private var busyMs = 0.0
    private var sampledAtMs: Long? = null

    /** Records a send of [units] of work. */
    fun onSend(units: Double) {
        sends++
        this.units += units
    }

    /** Records that [inProgress] requests of this host are in progress at [now]; called some times a second. */
    fun sample(inProgress: Int, now: Long) {
        val elapsedMs = sampledAtMs?.let { (now - it).coerceIn(0, MAX_SAMPLE_MS) } ?: 0
        sampledAtMs = now
        val kept = weight(elapsedMs, RATE_TTL_MS)
        sends *= kept
        units *= kept
        busyMs = busyMs * kept + inProgress * elapsedMs.toDouble()
    }

    /** Returns the sends per ms of hosts that have [inProgress] requests in progress together. */
    fun sendsPerMs(inProgress: Int): Double =
        inProgress * (sends + PRIOR_SENDS) / (busyMs + PRIOR_SENDS * PRIOR_REQUEST_MS)

    /** Returns the mean units of work of a send. */
    fun unitsPerSend(priorUnits: Double): Double = (units + PRIOR_SENDS * priorUnits) / (sends + PRIOR_SENDS)

    private companion object {
        const val MAX_SAMPLE_MS = 1_000L
        const val RATE_TTL_MS = 10_000.0 // a host of a large fleet sends about two prompts a second
        const val PRIOR_SENDS = 2.0
        const val PRIOR_REQUEST_MS = 600.0 // of the default times to the first event and from there to the end
    }
}
