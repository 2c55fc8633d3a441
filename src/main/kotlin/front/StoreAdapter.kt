/*
 * Reads from the platform's store: the configuration by long polling of a few hosts, the targets by short reads that
 * are distributed over the hosts, and the list of this system's hosts. The other hosts learn from these that there is a
 * new configuration, and then read it. Replies arrive on the event loop and are passed to the control
 * thread. When the store was restored from a copy, everything is read again and this host registers again.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.EntryChange
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.StreamPosition
import org.sesamerouter.discovery.TargetDirectory
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.platform.CONFIGURATION_KEY
import org.sesamerouter.platform.KeyedRecord
import org.sesamerouter.platform.KeyedRecords
import org.sesamerouter.platform.KeyedTopic
import org.sesamerouter.platform.StoreCall
import org.sesamerouter.platform.StoreClient
import org.sesamerouter.platform.StoreOutcome
import org.sesamerouter.platform.decodeTargetEntry
import java.util.concurrent.ThreadLocalRandom

private const val CONFIG_WAIT_MS = 4_000L
private const val RETRY_MS = 300L
private const val READ_INTERVAL_MS = 400L // age of the newest known read at which the first host in order reads again
private const val READ_STAGGER_MS = 150L // additional age for each further host in order
private const val MAX_READ_ORDER = 6
private const val CONFIG_READERS = 3 // hosts that wait for a new configuration; the first two may be cut off
private const val RECENT_READ_MS = 2_000L
private const val HOSTS_RETRY_MS = 1_000L
private const val HOSTS_WITHOUT_DELAY = 3 // so many retry in an interval, however large the fleet

/**
 * Returns the time until the next try of a call that failed, in a fleet of [hosts]. All hosts together try about as
 * often as a small fleet; the first one that succeeds tells the others. [random] is between 0 and 1.
 */
internal fun storeRetryMs(baseMs: Long, hosts: Int, random: Double): Long {
    val meanMs = baseMs * maxOf(1.0, hosts.toDouble() / HOSTS_WITHOUT_DELAY)
    return (meanMs * (0.5 + random)).toLong()
}

/** Callbacks of [StoreAdapter]; all are called on the control thread. */
internal interface StoreListener {
    /** Called with a configuration that was read from [source], the store or a host. */
    fun onConfig(text: String, source: String)

    /** Called with the target changes of a read. */
    fun onTargets(read: EntryRead)

    /** Called with the link addresses of the other hosts. */
    fun onHosts(addresses: List<String>)

    /** Returns the number of live hosts, including this one. */
    fun liveHosts(): Int

    /** Returns this host's position in the order in which hosts read the targets; 0 reads first. */
    fun readOrder(): Int
}

internal class StoreAdapter(
    private val store: StoreClient,
    private val eventLoop: EventLoop,
    private val controlLoop: ControlLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    private val directory: TargetDirectory,
    private val listener: StoreListener,
) {
    private var hostKey = ""
    private var linkAddress = ""
    private var configPosition: StreamPosition? = null
    private var configRead = 0L
    private var isReadingConfig = false
    private var nextConfigReadMs = 0L
    private var configCall: StoreCall? = null
    private var registration = 0L
    private var isReadingTargets = false
    private var nextReadMs = 0L
    private var lastOwnReadMs = 0L
    private var isStoreLost = false

    private var era = 0L

    /** Era of the store that holds the registration of this host; null before it is registered. */
    private var registeredEra: Long? = null

    /** Starts the reads. */
    fun start(hostKey: String, linkAddress: String) {
        this.hostKey = hostKey
        this.linkAddress = linkAddress
        controlLoop.post { readConfig() }
        controlLoop.post { registerHost() }
    }

    /** Reads the configuration at once, after a peer reported a newer version. */
    fun readConfigNow() {
        if (isReadingConfig && configPosition == null) return
        configPosition = null
        readConfig()
    }

    /**
     * Handles the [seen] era of a read by this host or a peer. A higher one than before means that the store lost its
     * newest records: a waiting read of the configuration waits at an offset that other records may get, and the entry
     * of this host may be gone.
     */
    fun onEra(seen: Long) {
        if (seen <= era) return
        log.write("store-restored", "era" to seen, "before" to era)
        era = seen
        readConfigNow()
        if (registeredEra != null) registerHost()
    }

    /** Starts the reads that are due. */
    fun onTick(now: Long) {
        if (!isReadingConfig && now >= nextConfigReadMs && isConfigReader(now)) readConfig()
        if (!isReadingTargets && now >= nextReadMs && isTargetReadDue(now)) readTargets(now)
    }

    /**
     * Whether this host waits for new configurations: the first hosts in order do, and those that read the targets
     * because the first ones do not.
     */
    private fun isConfigReader(now: Long): Boolean =
        configPosition == null || now - lastOwnReadMs < RECENT_READ_MS || listener.readOrder() < CONFIG_READERS

    /** Whether the newest read of the targets is too old for this host's position in the read order. */
    private fun isTargetReadDue(now: Long): Boolean {
        if (directory.position < 0) return true
        val lastReadMs = if (directory.needsRenewals) lastOwnReadMs else directory.lastContiguousReadMs
        val ageMs = now - lastReadMs
        if (ageMs < READ_INTERVAL_MS) return false
        val order = if (directory.needsRenewals) 0 else minOf(listener.readOrder(), MAX_READ_ORDER)
        return ageMs >= READ_INTERVAL_MS + order * READ_STAGGER_MS
    }

    private fun readTargets(now: Long) {
        val isFirst = directory.position < 0
        isReadingTargets = true
        lastOwnReadMs = now
        val position = directory.position
        eventLoop.execute {
            if (isFirst) {
                store.newest(KeyedTopic.TARGETS) { controlLoop.post { onTargets(it, -1, full = true) } }
            } else {
                store.read(KeyedTopic.TARGETS, position, 0) {
                    controlLoop.post { onTargets(it, position, full = false) }
                }
            }
        }
    }

    private fun onTargets(outcome: StoreOutcome<KeyedRecords>, from: Long, full: Boolean) {
        isReadingTargets = false
        when (outcome) {
            is StoreOutcome.Done -> {
                updateStoreState(isReachable = true, "targets")
                onEra(outcome.value.era)
                listener.onTargets(toEntryRead(outcome.value, from, full))
            }

            StoreOutcome.HistoryTruncated -> directory.resetPosition()

            is StoreOutcome.Refused -> onReadFailed("targets", "status ${outcome.status}")

            is StoreOutcome.Unreachable -> onReadFailed("targets", outcome.cause)
        }
    }

    private fun onReadFailed(what: String, cause: String) {
        nextReadMs = clock.nowMs() + retryMs(RETRY_MS)
        updateStoreState(isReachable = false, "$what: $cause")
    }

    private fun toEntryRead(records: KeyedRecords, from: Long, full: Boolean): EntryRead {
        val newest = records.records.associateBy { it.key }.values
        val changes = newest.map { EntryChange(it.key, it.offset, it.text?.let { t -> decodeTargetEntry(it.key, t) }) }
        return EntryRead(from, records.end, full, changes, records.era)
    }

    /** Starts the next read of the configuration in place of the one in progress. */
    private fun readConfig() {
        val position = configPosition
        val number = ++configRead
        isReadingConfig = true
        val previousCall = configCall
        configCall = null
        eventLoop.execute {
            previousCall?.abandon()
            val onReply = { outcome: StoreOutcome<KeyedRecords> ->
                controlLoop.post { if (number == configRead) onConfig(outcome, position) }
            }
            if (position == null) {
                store.newest(KeyedTopic.CONFIGURATION, onReply)
            } else {
                val call = store.read(KeyedTopic.CONFIGURATION, position.offset, CONFIG_WAIT_MS, onReply)
                controlLoop.post { if (number == configRead) configCall = call }
            }
        }
    }

    private fun onConfig(outcome: StoreOutcome<KeyedRecords>, position: StreamPosition?) {
        configCall = null
        isReadingConfig = false
        when (outcome) {
            is StoreOutcome.Done -> {
                val records = outcome.value
                updateStoreState(isReachable = true, "configuration")
                val newest: KeyedRecord? = records.records.lastOrNull { it.key == CONFIGURATION_KEY }
                newest?.text?.let { listener.onConfig(it, "store") }
                // Offsets of another era were assigned again: records before this read may have been missed.
                val isContiguous = position == null || position.era == records.era
                configPosition = if (isContiguous) StreamPosition(records.era, records.end) else null
                if (records.era > era) configPosition = null
                onEra(records.era)
            }

            StoreOutcome.HistoryTruncated -> configPosition = null

            is StoreOutcome.Refused -> onConfigReadFailed("status ${outcome.status}")

            is StoreOutcome.Unreachable -> onConfigReadFailed(outcome.cause)
        }
    }

    private fun onConfigReadFailed(cause: String) {
        updateStoreState(isReachable = false, "configuration: $cause")
        val delayMs = retryMs(RETRY_MS)
        nextConfigReadMs = clock.nowMs() + delayMs
        log.write("configuration-read-failed", "why" to cause, "retry-ms" to delayMs, "order" to listener.readOrder())
    }

    private fun retryMs(baseMs: Long) =
        storeRetryMs(baseMs, listener.liveHosts(), ThreadLocalRandom.current().nextDouble())

    private fun updateStoreState(isReachable: Boolean, what: String) {
        if (isStoreLost == !isReachable) return
        isStoreLost = !isReachable
        log.write(if (isReachable) "store-back" else "store-lost", "what" to what)
    }

    /** Registers this host in the store, then reads the addresses of the other hosts. */
    private fun registerHost() = registerHost(++registration)

    private fun registerHost(number: Long) {
        if (number != registration) return
        eventLoop.execute {
            store.append(KeyedTopic.HOSTS, hostKey, linkAddress.toByteArray()) { appended ->
                if (appended is StoreOutcome.Done) {
                    controlLoop.post { onRegistered(appended.value) }
                    store.newest(KeyedTopic.HOSTS) { controlLoop.post { onHosts(it, number) } }
                } else {
                    controlLoop.post { controlLoop.after(retryMs(HOSTS_RETRY_MS)) { registerHost(number) } }
                }
            }
        }
    }

    private fun onRegistered(inEra: Long) {
        registeredEra = inEra
        if (inEra < era) registerHost() else onEra(inEra)
    }

    private fun onHosts(outcome: StoreOutcome<KeyedRecords>, number: Long) {
        if (outcome is StoreOutcome.Done) {
            listener.onHosts(outcome.value.records.mapNotNull { it.text }.filter { it != linkAddress })
        } else {
            controlLoop.after(retryMs(HOSTS_RETRY_MS)) { registerHost(number) }
        }
    }
}
