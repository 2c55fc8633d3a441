/*
 * Decides when a host reads the configuration from the store and when it fetches it from another host. A few hosts wait
 * for a new configuration at the store. The others learn from them that there is one, and then read it; if that fails,
 * they fetch it from a host that has it. A state machine without I/O.
 */
package org.sesamerouter.propagation

import org.sesamerouter.discovery.StreamPosition
import java.util.random.RandomGenerator

private const val RETRY_MS = 300L
private const val DUTY_RETRY_MS = 200L // of a host that the others depend on
private const val MAX_DUTY_RETRY_MS = 1_600L // while the store is away for longer
private const val MAX_DOUBLINGS = 3
private const val FETCH_DELAY_MS = 300L // by then a host that reaches the store has read the version itself
private const val CONFIG_READERS = 3 // hosts that wait for a new configuration; the first two may be cut off
private const val HOSTS_WITHOUT_DELAY = 3 // so many retry in an interval, however large the fleet

/**
 * Returns the time until the next try of a call that failed, in a fleet of [hosts]. All hosts together try about as
 * often as a small fleet, and the first of them as soon; the first one that succeeds tells the others. [random] is
 * between 0 and 1.
 */
fun storeRetryMs(baseMs: Long, hosts: Int, random: Double): Long {
    val meanMs = baseMs * maxOf(1.0, hosts.toDouble() / HOSTS_WITHOUT_DELAY)
    val minMs = 0.5 * baseMs
    return (minMs + 2 * random * (meanMs - minMs)).toLong()
}

/** Follows the configuration on one host. Not thread-safe. */
class ConfigurationSync(private val fleet: FleetView, private val random: RandomGenerator) {
    private val effects = ArrayList<SyncEffect>()
    private var position: StreamPosition? = null
    private var readNumber = 0L
    private var isReading = false
    private var nextReadMs = 0L
    private var failedReads = 0
    private var fetchAtMs: Long? = null
    private var announcer = ""
    private var era = 0L

    /** Starts to follow the configuration. */
    fun onStart(): List<SyncEffect> = effectsOf { read() }

    /** Starts what is due. */
    fun onTick(now: Long): List<SyncEffect> = effectsOf {
        if (!isReading && now >= nextReadMs && isReader(now)) read()
        if (now >= (fetchAtMs ?: Long.MAX_VALUE)) {
            fetchAtMs = null
            fetch()
        }
    }

    /** Handles that [host] has a newer version than this one. */
    fun onNewerVersion(host: String, now: Long): List<SyncEffect> = effectsOf {
        if (fetchAtMs != null) return@effectsOf
        readNow()
        announcer = host
        fetchAtMs = now + FETCH_DELAY_MS
        effects += SyncEffect.Wake(FETCH_DELAY_MS)
    }

    /**
     * Handles the [seen] era of a read of the store: a higher one than before means that the store lost its newest
     * records, so that a waiting read waits at an offset that other records may get.
     */
    fun onEra(seen: Long): List<SyncEffect> = effectsOf {
        if (seen > era) {
            era = seen
            readNow()
        }
    }

    /** Handles the outcome of the read with [number]. */
    fun onStoreRead(number: Long, outcome: StoreRead, now: Long): List<SyncEffect> = effectsOf {
        if (number != readNumber) return@effectsOf
        isReading = false
        when (outcome) {
            is StoreRead.Done -> onRead(outcome.position)

            StoreRead.Truncated -> position = null

            is StoreRead.Failed -> {
                failedReads++
                val delayMs = retryMs(now)
                nextReadMs = now + delayMs
                effects += SyncEffect.ReadFailed(outcome.cause, delayMs)
            }
        }
    }

    private fun onRead(read: StreamPosition) {
        val from = position
        failedReads = 0
        // Offsets of another era were assigned again: records before this read may have been missed.
        position = read.takeIf { from == null || from.era == read.era }
        if (read.era > era) position = null
    }

    private fun readNow() {
        if (isReading && position == null) return
        position = null
        read()
    }

    private fun read() {
        isReading = true
        effects += SyncEffect.ReadStore(++readNumber, position)
    }

    private fun isReader(now: Long): Boolean = position == null || isOnDuty(now)

    /** Whether the other hosts depend on the reads of this one. */
    private fun isOnDuty(now: Long): Boolean = fleet.reachesStore(now) || fleet.readOrder < CONFIG_READERS

    /** Only hosts without the duty to read are so many that their tries have to be spread over the fleet. */
    private fun retryMs(now: Long): Long {
        if (!isOnDuty(now)) return storeRetryMs(RETRY_MS, fleet.liveHosts, random.nextDouble())
        val baseMs = minOf(MAX_DUTY_RETRY_MS, DUTY_RETRY_MS shl minOf(failedReads - 1, MAX_DOUBLINGS))
        return storeRetryMs(baseMs, 1, random.nextDouble())
    }

    /** Fetches from a random host with the newest version, so that not all hosts ask the first one that had it. */
    private fun fetch() {
        val others = fleet.others
        val newest = others.maxOfOrNull { it.version }
        val giver = others.filter { it.version == newest }.randomOrNull() ?: HostVersion(announcer, -1)
        if (giver.version > fleet.version) effects += SyncEffect.Fetch(giver.host)
    }

    private fun <T> List<T>.randomOrNull(): T? = if (isEmpty()) null else this[random.nextInt(size)]

    private inline fun effectsOf(decide: () -> Unit): List<SyncEffect> {
        decide()
        return effects.toList().also { effects.clear() }
    }
}
