/*
 * Decides when a host reads the configuration from the store and when it fetches it from another host. A few hosts wait
 * for a new configuration at the store. The others get it from them, as a difference to the one in force that is sent
 * without a request or, where that is too large or was lost, in parts on request. A host that makes no progress asks
 * another one soon, whatever the size of the fleet, and goes on with the parts that it has; if that does not help, it
 * reads the store itself. A state machine without I/O.
 */
package org.sesamerouter.propagation

import org.sesamerouter.discovery.StreamPosition
import java.util.random.RandomGenerator

private const val RETRY_MS = 300L
private const val DUTY_RETRY_MS = 200L // of a host that the others depend on
private const val MAX_DUTY_RETRY_MS = 1_600L // while the store is away for longer
private const val MAX_DOUBLINGS = 3
private const val CONFIG_READERS = 3 // hosts that wait for a new configuration; the first two may be cut off
private const val HOSTS_WITHOUT_DELAY = 3 // so many retry in an interval, however large the fleet
private const val FETCH_DELAY_MS = 50L // the difference is usually on its way
private const val FETCH_SPREAD_MS = 100L // not all hosts ask at once
private const val FETCH_RETRY_MS = 100L
private const val BUSY_RETRY_MS = 40L
private const val AVOID_SILENT_MS = 1_000L
private const val TRIES_BEFORE_STORE = 4
private const val KEEP_ANNOUNCED_MS = 30_000L // longer than a host with a newer version is usually silent

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

/** A [version] that a host had in force at [atMs]. */
private class Announcement(val version: Long, val atMs: Long)

/** Follows the configuration on one host. Not thread-safe. */
class ConfigurationSync(private val fleet: FleetView, private val random: RandomGenerator) {
    private val effects = ArrayList<SyncEffect>()
    private val announced = HashMap<String, Announcement>()
    private val avoidUntilMs = HashMap<String, Long>()
    private val transfer = IncomingTransfer()

    private var position: StreamPosition? = null
    private var readNumber = 0L
    private var isReading = false
    private var nextReadMs = 0L
    private var failedReads = 0
    private var era = 0L

    private var fetchNumber = 0L
    private var fetchedFrom: String? = null
    private var nextFetchMs: Long? = null
    private var triesWithoutProgress = 0
    private var isBaseUnusable = false

    /** Newest version that a host is known to have. */
    private val wanted: Long get() = announced.values.maxOfOrNull { it.version } ?: -1

    /** Starts to follow the configuration. */
    fun onStart(): List<SyncEffect> = effectsOf { read() }

    /** Starts what is due. */
    fun onTick(now: Long): List<SyncEffect> = effectsOf {
        if (!isReading && now >= nextReadMs && isReader(now)) read()
        if (now >= (nextFetchMs ?: Long.MAX_VALUE)) fetch(now)
    }

    /** Handles that [host] has [version] in force. */
    fun onAnnounced(host: String, version: Long, now: Long): List<SyncEffect> = effectsOf {
        // Membership passes on old records of a host. One that has less than it had tells so when it is asked.
        val known = announced[host]
        if (known == null || version >= known.version) announced[host] = Announcement(version, now)
        if (version > fleet.version && fetchedFrom == null && nextFetchMs == null) {
            scheduleFetch(now, FETCH_DELAY_MS + random.nextLong(FETCH_SPREAD_MS))
        }
    }

    /**
     * Handles the [seen] era of a read of the store: a higher one than before means that the store lost its newest
     * records, so that a waiting read waits at an offset that other records may get.
     */
    fun onEra(seen: Long): List<SyncEffect> = effectsOf {
        if (seen > era) {
            era = seen
            readNewest()
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
                effects += SyncEffect.Wake(delayMs)
            }
        }
    }

    /** Handles the [reply] to the fetch with [number]; null if there was none in time. */
    fun onFetched(number: Long, reply: ConfigurationReply?, now: Long): List<SyncEffect> = effectsOf {
        val host = fetchedFrom?.takeIf { number == fetchNumber } ?: return@effectsOf
        fetchedFrom = null
        when (reply) {
            is ConfigurationReply.Part -> onPart(host, reply, now)

            is ConfigurationReply.Busy -> {
                avoidUntilMs[host] = now + reply.retryMs
                onNoProgress(host, "busy", BUSY_RETRY_MS, now)
            }

            is ConfigurationReply.NothingNewer -> {
                announced[host] = Announcement(reply.version, now)
                if (wanted > fleet.version) onNoProgress(host, "has ${reply.version}", BUSY_RETRY_MS, now)
            }

            null -> {
                avoidUntilMs[host] = now + AVOID_SILENT_MS
                onNoProgress(host, "no reply", FETCH_RETRY_MS, now)
            }
        }
    }

    /** Handles that a transfer could not be applied to the version in force: the whole text is fetched instead. */
    fun onUnusableTransfer(host: String, now: Long): List<SyncEffect> = effectsOf {
        isBaseUnusable = true
        onNoProgress(host, "unusable", BUSY_RETRY_MS, now)
    }

    /** Handles that another version came into force on this host. */
    fun onInForce() {
        isBaseUnusable = false
        if (transfer.base != fleet.version && transfer.base >= 0) transfer.clear()
    }

    private fun onPart(host: String, part: ConfigurationReply.Part, now: Long) {
        val isProgress = transfer.add(part)
        when {
            !isProgress -> onNoProgress(host, "part at ${part.offset} does not fit", BUSY_RETRY_MS, now)

            transfer.isWhole -> {
                triesWithoutProgress = 0
                effects += SyncEffect.FetchEnded(host, wanted, "${part.size} bytes to ${part.transfer.version}", 0)
                effects += SyncEffect.Apply(host, part.base, part.transfer.version, transfer.take())
                if (wanted > part.transfer.version) scheduleFetch(now, 0)
            }

            else -> {
                triesWithoutProgress = 0
                request(host)
            }
        }
    }

    private fun onNoProgress(host: String, outcome: String, retryMs: Long, now: Long) {
        triesWithoutProgress++
        effects += SyncEffect.FetchEnded(host, wanted, outcome, triesWithoutProgress)
        if (triesWithoutProgress >= TRIES_BEFORE_STORE && !isReading && now >= nextReadMs) readNewest()
        val longerMs = retryMs shl minOf(triesWithoutProgress / TRIES_BEFORE_STORE, MAX_DOUBLINGS)
        scheduleFetch(now, longerMs / 2 + random.nextLong(longerMs))
    }

    private fun scheduleFetch(now: Long, ms: Long) {
        nextFetchMs = now + ms
        effects += SyncEffect.Wake(ms)
    }

    private fun fetch(now: Long) {
        nextFetchMs = null
        announced.values.removeIf { now - it.atMs > KEEP_ANNOUNCED_MS }
        if (wanted <= fleet.version || fetchedFrom != null) return
        val host = chooseGiver(now)
        if (host == null) {
            onNoProgress("", "no host that answers has it", FETCH_RETRY_MS, now)
        } else {
            request(host)
        }
    }

    private fun request(host: String) {
        fetchedFrom = host
        val checksum = if (isBaseUnusable) 0 else fleet.checksum
        val request = ConfigurationRequest(fleet.version, checksum, transfer.id, transfer.received)
        effects += SyncEffect.Fetch(++fetchNumber, host, request)
    }

    /** Chooses a host that has the wanted version, or else any newer one, among those that were not busy or silent. */
    private fun chooseGiver(now: Long): String? {
        avoidUntilMs.values.removeIf { it <= now }
        val usable = fleet.others.filter { versionOf(it) > fleet.version && it.host !in avoidUntilMs }
        val best = usable.filter { versionOf(it) == wanted }.ifEmpty { usable }
        return best.filter { it.isNear }.ifEmpty { best }.randomOrNull()?.host
    }

    private fun versionOf(host: OtherHost): Long = announced[host.host]?.version ?: -1

    private fun onRead(read: StreamPosition?) {
        val from = position
        failedReads = 0
        // Offsets of another era were assigned again: records before this read may have been missed.
        position = read?.takeIf { (from == null || from.era == it.era) && it.era <= era }
    }

    private fun readNewest() {
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

    private fun <T> List<T>.randomOrNull(): T? = if (isEmpty()) null else this[random.nextInt(size)]

    private inline fun effectsOf(decide: () -> Unit): List<SyncEffect> {
        decide()
        return effects.toList().also { effects.clear() }
    }
}
