/*
 * Which hosts may send requests to a cold target, and how often. All hosts together have to stay within a bound without
 * talking to each other, so a few of them, by rendezvous hashing over all hosts that were ever known, have a fixed
 * share each. A host that is dead or cut off keeps its share: whether it is cannot be known. A state machine without
 * I/O.
 */
package org.sesamerouter.warmup

import org.sesamerouter.routing.rendezvous
import org.sesamerouter.serving.ColdStart
import kotlin.math.ceil

private const val MS_PER_S = 1_000.0
private const val START_HOLD_MS = 1_000L // what the process before this one sent counts for one second
private const val NEW_HOST_HOLD_MS = 1_000L // hosts that start together meet within a few probes of 400 ms
private const val UNKNOWN_FLEET_HOLD_MS = 10_000L // by then a host that misses the registered ones has met the others
private const val MIN_INTERVAL_MS = 550.0 // two requests a second by one host, also if the first one is 100 ms late
private const val HOST_REQUESTS_PER_S = 3.0 // of one host in any second if delays differ by more than that
private const val VIEW_MARGIN = 1.5 // more hosts than planned may count themselves in if they know only a part
private const val MAX_HOSTS_PER_RATE = 0.4 // with the shortest interval, these send no more than the rate

/**
 * The bound on the requests to a cold target in any second, by all hosts: [over] times its rate and [slack] more.
 */
data class ColdBound(val over: Double, val slack: Double)

/** The shares of the host at [self], whose process started at [startedMs]. Not thread-safe. */
class PermitShares(private val self: String, private val startedMs: Long, private val bound: () -> ColdBound) {
    private val hosts = hashSetOf(self)
    private val isHolderOf = HashMap<String, Boolean>()
    private var lastNewHostMs = startedMs
    private var isFleetKnown = false

    /** Number of hosts that this host was ever told of, itself included. */
    val knownHosts: Int get() = hosts.size

    /** Handles that there are hosts at [addresses]; [areAll] if the store lists no others. */
    fun onHosts(addresses: Collection<String>, areAll: Boolean, now: Long) {
        if (areAll) isFleetKnown = true
        if (!hosts.addAll(addresses)) return
        lastNewHostMs = now
        isHolderOf.clear()
    }

    /** Time from which this host may use its shares, as far as is known now. */
    fun usableFromMs(): Long = maxOf(
        startedMs + START_HOLD_MS,
        if (lastNewHostMs > startedMs) lastNewHostMs + NEW_HOST_HOLD_MS else startedMs,
        if (isFleetKnown) startedMs else startedMs + UNKNOWN_FLEET_HOLD_MS,
    )

    /** Time before which a process that just started sends nothing to a cold target. */
    val startHoldEndMs: Long get() = startedMs + START_HOLD_MS

    /** Whether this host is one of those that may send requests to [target] while it is cold. */
    fun isHolder(target: String, cold: ColdStart): Boolean {
        val holders = holders(cold)
        if (hosts.size <= holders) return true
        return isHolderOf.getOrPut("$target $holders") {
            val own = rendezvous(target, self)
            hosts.count { it != self && rendezvous(target, it) < own } < holders
        }
    }

    /** Shortest time between two requests of this host to one cold target. */
    fun intervalMs(cold: ColdStart): Long {
        val holders = holders(cold)
        // A small fleet leaves a share for a host that this one does not know yet.
        val sharers = minOf(holders, hosts.size + 1)
        val shareMs = MS_PER_S * sharers / cold.requestsPerS
        return ceil(if (sharers < holders) shareMs else maxOf(MIN_INTERVAL_MS, shareMs)).toLong()
    }

    /** Shortest time between two stage calls of the owner of a queue: two hosts may believe to own it. */
    fun ownerIntervalMs(cold: ColdStart): Long = ceil(2 * MS_PER_S / cold.requestsPerS).toLong()

    private fun holders(cold: ColdStart): Int {
        val limit = bound().let { cold.requestsPerS * it.over + it.slack }
        val safe = limit / (HOST_REQUESTS_PER_S * VIEW_MARGIN)
        return minOf(safe, cold.requestsPerS * MAX_HOSTS_PER_RATE).toInt().coerceAtLeast(1)
    }
}
