/*
 * Reads from the platform's store: the targets by short reads that are distributed over the hosts, and the list of this
 * system's hosts. Replies arrive on the event loop and are passed to the control thread. When the store was restored
 * from a copy, everything is read again and this host registers again.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.EntryChange
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.MissingTargets
import org.sesamerouter.discovery.TargetDirectory
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.platform.KeyedRecord
import org.sesamerouter.platform.KeyedRecords
import org.sesamerouter.platform.KeyedTopic
import org.sesamerouter.platform.StoreClient
import org.sesamerouter.platform.StoreOutcome
import org.sesamerouter.platform.decodeTargetEntry
import org.sesamerouter.platform.isAddress
import org.sesamerouter.platform.isReadableEntry
import org.sesamerouter.propagation.storeRetryMs
import java.util.concurrent.ThreadLocalRandom

private const val RETRY_MS = 300L
private const val READ_INTERVAL_MS = 400L // age of the newest known read at which the first host in order reads again
private const val READ_STAGGER_MS = 150L // additional age for each further host in order
private const val MAX_READ_ORDER = 6
private const val RECENT_READ_MS = 2_000L
private const val HOSTS_RETRY_MS = 1_000L
private const val MAX_REGISTRATION_HOSTS = 9 // no other host registers this one, so the spread has a bound

/**
 * Returns the time until the next try of a host to register, in a fleet of [hosts]. It has a bound, since a host that
 * is not registered may be unknown to the others. [random] is between 0 and 1.
 */
internal fun registrationRetryMs(hosts: Int, random: Double): Long =
    storeRetryMs(HOSTS_RETRY_MS, minOf(hosts, MAX_REGISTRATION_HOSTS), random)

/** Callbacks of [StoreAdapter]; all are called on the control thread. */
internal interface StoreListener {
    /** Called with the target changes of a read. */
    fun onTargets(read: EntryRead)

    /** Called when the store was restored from a copy. */
    fun onNewEra(era: Long)

    /** Called with the link addresses of the other hosts. */
    fun onHosts(addresses: List<String>)

    /** Returns the services that have to have targets. */
    fun neededServices(): Set<String>

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
    private val storeState: StoreState,
    private val directory: TargetDirectory,
    private val listener: StoreListener,
) {
    private var hostKey = ""
    private var linkAddress = ""
    private var registration = 0L
    private var isReadingTargets = false
    private var nextReadMs = 0L
    private var lastOwnReadMs = 0L
    private var lastSuccessMs = Long.MIN_VALUE / 2

    /** Whether the store had changes behind the end of the last read, as after a list of several pages. */
    private var hasMore = false

    private val missing = MissingTargets()
    private var era = 0L
    private var unreadableEntries = 0L

    /** Era of the store that holds the registration of this host; null before it is registered. */
    private var registeredEra: Long? = null

    /** Starts the reads. */
    fun start(hostKey: String, linkAddress: String) {
        this.hostKey = hostKey
        this.linkAddress = linkAddress
        controlLoop.post { registerHost() }
    }

    /**
     * Handles the [seen] era of a read by this host or a peer. A higher one than before means that the store lost its
     * newest records, and the entry of this host may be gone.
     */
    fun onEra(seen: Long) {
        if (seen <= era) return
        log.write("store-restored", "era" to seen, "before" to era)
        era = seen
        listener.onNewEra(seen)
        if (registeredEra != null) registerHost()
    }

    /** Starts the reads that are due. */
    fun onTick(now: Long) {
        listMissing(now)
        if (!isReadingTargets && now >= nextReadMs && isTargetReadDue(now)) readTargets(now)
    }

    /** Lists the targets again if a service has none though some host reads the store. */
    private fun listMissing(now: Long) {
        val isFollowing = directory.position >= 0 && now - directory.lastContiguousReadMs < RECENT_READ_MS
        if (!isFollowing || !missing.isListDue(listener.neededServices(), directory.targets.values, now)) return
        log.write(
            "targets-missing",
            "services" to missing.services.toList().forLog(),
            "known" to directory.targets.size,
        )
        directory.resetPosition()
    }

    /** Whether a read of the targets by this host has succeeded recently. */
    fun reachesStore(now: Long): Boolean = now - lastSuccessMs < RECENT_READ_MS

    /** Whether the newest read of the targets is too old for this host's position in the read order. */
    private fun isTargetReadDue(now: Long): Boolean {
        if (directory.position < 0 || hasMore) return true
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
                store.newest(KeyedTopic.TARGETS, ::isTarget) {
                    controlLoop.post { onTargets(it, -1, full = true) }
                }
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
                storeState.update(isReachable = true, "targets")
                lastSuccessMs = clock.nowMs()
                onEra(outcome.value.era)
                hasMore = outcome.value.available > outcome.value.end
                if (full) logList(outcome.value)
                listener.onTargets(toEntryRead(outcome.value, from, full))
            }

            StoreOutcome.HistoryTruncated -> directory.resetPosition()

            is StoreOutcome.Refused -> onReadFailed("targets", "status ${outcome.status}")

            is StoreOutcome.Unreachable -> onReadFailed("targets", outcome.cause)
        }
    }

    private fun logList(list: KeyedRecords) = log.write(
        "targets-listed",
        "records" to list.records.size,
        "unused" to list.records.count { it.value?.isEmpty() ?: false },
        "known-to" to list.end,
        "store-end" to list.available,
        "era" to list.era,
    )

    private fun onReadFailed(what: String, cause: String) {
        nextReadMs = clock.nowMs() + retryMs(RETRY_MS)
        storeState.update(isReachable = false, "$what: $cause")
    }

    private fun toEntryRead(records: KeyedRecords, from: Long, full: Boolean): EntryRead {
        val newest = LinkedHashMap<String, EntryChange>()
        val unreadable = HashSet<String>()
        for (record in records.records) {
            val entry = record.text?.ifEmpty { null }?.let { toTarget(record.key, it) }
            val isForeign = record.value != null && entry == null
            if (isForeign) {
                unreadable += record.key
            } else {
                newest[record.key] =
                    EntryChange(record.key, record.offset, entry)
            }
        }
        val latest = if (full) records.available else records.end
        return EntryRead(from, records.end, full, newest.values.toList(), records.era, latest, unreadable)
    }

    private fun isTarget(record: KeyedRecord) = record.text?.let { decodeTargetEntry(record.key, it) } != null

    /** An entry that cannot be read, for example one of another writer, does not keep the others from being read. */
    private fun toTarget(key: String, text: String): TargetEntry? {
        val target = decodeTargetEntry(key, text)
        if (target == null && !isReadableEntry(text)) {
            unreadableEntries++
            log.write("entry-unreadable", "key" to key, "characters" to text.length, "count" to unreadableEntries)
        }
        return target
    }

    private fun retryMs(baseMs: Long) =
        storeRetryMs(baseMs, listener.liveHosts(), ThreadLocalRandom.current().nextDouble())

    /** Registers this host in the store, then reads the addresses of the other hosts. */
    private fun registerHost() = registerHost(++registration)

    private fun registerHost(number: Long) {
        if (number != registration) return
        eventLoop.execute {
            store.append(KeyedTopic.HOSTS, hostKey, linkAddress.toByteArray()) { appended ->
                if (appended is StoreOutcome.Done) {
                    controlLoop.post { onRegistered(appended.value) }
                    store.newest(KeyedTopic.HOSTS, { it.text?.let(::isAddress) ?: false }) {
                        controlLoop.post { onHosts(it, number) }
                    }
                } else {
                    controlLoop.post {
                        controlLoop.after(
                            registrationRetryMs(listener.liveHosts(), ThreadLocalRandom.current().nextDouble()),
                        ) {
                            registerHost(number)
                        }
                    }
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
            listener.onHosts(outcome.value.records.mapNotNull { it.text }.filter { it != linkAddress && isAddress(it) })
        } else {
            controlLoop.after(registrationRetryMs(listener.liveHosts(), ThreadLocalRandom.current().nextDouble())) {
                registerHost(number)
            }
        }
    }
}
