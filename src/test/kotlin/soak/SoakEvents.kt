/*
 * The schedule of what happens to the hosts of a soak: a function of its seed.
 */
package org.sesamerouter.soak

import java.util.Random

private const val QUIET_START_MS = 3_000L
private const val SERIES_SHARE = 0.35 // of the events that follow the one before almost at once
private const val SERIES_GAP_MS = 150
private const val KILLS_WITHIN_MS = 10_000L
private const val MIN_BETWEEN_KILLS_MS = 2_000L // enough to start again
private const val BETWEEN_KILLS_SPREAD_MS = (KILLS_WITHIN_MS - MIN_BETWEEN_KILLS_MS).toInt()
private const val KILLS_SALT = 104_729L
private const val MIN_GAP_MS = 300
private const val GAP_SPREAD_MS = 2_200
private const val MIN_FREEZE_MS = 200L
private const val FREEZE_SPREAD_MS = 1_300
private const val MIN_STORE_DOWN_MS = 500L
private const val STORE_DOWN_SPREAD_MS = 3_000

/** Something that happens to the hosts or to the store. */
internal sealed interface SoakEvent {
    /** SIGTERM to [hosts] at once. */
    data class Stop(val hosts: List<Int>) : SoakEvent

    /** SIGHUP with changed settings. */
    data class Reload(val host: Int) : SoakEvent

    /** SIGKILL to [hosts] at once. */
    data class Kill(val hosts: List<Int>) : SoakEvent

    /** SIGSTOP, and SIGCONT after [ms]. */
    data class Freeze(val host: Int, val ms: Long) : SoakEvent

    /** A new version of the declarations with another key. */
    data object Declare : SoakEvent

    /** The store answers 503 for [ms]. */
    data class StoreDown(val ms: Long) : SoakEvent
}

/** An event and its time from the start of the load. */
internal data class PlannedEvent(val atMs: Long, val event: SoakEvent)

/** Plans the events of [durationMs] for [hosts] hosts from [seed]. */
internal fun planEvents(seed: Long, hosts: Int, durationMs: Long): List<PlannedEvent> {
    val random = Random(seed)
    val planned = ArrayList<PlannedEvent>()
    var atMs = QUIET_START_MS
    while (atMs < durationMs) {
        planned += PlannedEvent(atMs, randomEvent(random, hosts))
        val isSeries = random.nextDouble() < SERIES_SHARE
        atMs += if (isSeries) random.nextInt(SERIES_GAP_MS) else MIN_GAP_MS + random.nextInt(GAP_SPREAD_MS)
    }
    return (planned + planKillsOfAll(seed, hosts, durationMs)).sortedBy { it.atMs }
}

private fun planKillsOfAll(seed: Long, hosts: Int, durationMs: Long): List<PlannedEvent> =
    killsOfAllMs(seed, durationMs).map { PlannedEvent(it, SoakEvent.Kill((0 until hosts).toList())) }

/** When all hosts are killed together, twice within ten seconds; drawn apart from the other events of a seed. */
internal fun killsOfAllMs(seed: Long, durationMs: Long): List<Long> {
    val random = Random(seed * KILLS_SALT)
    val firstMs = QUIET_START_MS + random.nextInt(maxOf(1, (durationMs - 2 * KILLS_WITHIN_MS).toInt()))
    return listOf(firstMs, firstMs + MIN_BETWEEN_KILLS_MS + random.nextInt(BETWEEN_KILLS_SPREAD_MS))
}

private fun randomEvent(random: Random, hosts: Int): SoakEvent {
    val host = random.nextInt(hosts)
    return when (random.nextInt(100)) {
        in 0 until 30 -> SoakEvent.Stop(listOf(host))
        in 30 until 42 -> SoakEvent.Stop((0 until hosts).filter { it == host || random.nextBoolean() })
        in 42 until 60 -> SoakEvent.Reload(host)
        in 60 until 68 -> SoakEvent.Kill(listOf(host))
        in 68 until 78 -> SoakEvent.Freeze(host, MIN_FREEZE_MS + random.nextInt(FREEZE_SPREAD_MS))
        in 78 until 92 -> SoakEvent.Declare
        else -> SoakEvent.StoreDown(MIN_STORE_DOWN_MS + random.nextInt(STORE_DOWN_SPREAD_MS))
    }
}
