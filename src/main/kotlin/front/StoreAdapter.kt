/*
 * Reads from the platform's store: the configuration by long polling, the targets by short reads that are distributed
 * over the hosts, and the list of this system's hosts. Replies arrive on the event loop and are passed to the control
 * thread.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.EntryChange
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.TargetDirectory
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.platform.CONFIGURATION_KEY
import org.sesamerouter.platform.KeyedRecord
import org.sesamerouter.platform.KeyedRecords
import org.sesamerouter.platform.KeyedTopic
import org.sesamerouter.platform.StoreClient
import org.sesamerouter.platform.StoreOutcome
import org.sesamerouter.platform.decodeTargetEntry

private const val CONFIG_WAIT_MS = 4_000L
private const val RETRY_MS = 300L
private const val READ_INTERVAL_MS = 400L // age of the newest known read at which the first host in order reads again
private const val READ_STAGGER_MS = 150L // additional age for each further host in order
private const val MAX_READ_ORDER = 6
private const val HOSTS_RETRY_MS = 1_000L

/** Callbacks of [StoreAdapter]; all are called on the control thread. */
internal interface StoreListener {
    /** Called with a configuration that was read. */
    fun onConfig(text: String)

    /** Called with the target changes of a read. */
    fun onTargets(read: EntryRead)

    /** Called with the link addresses of the other hosts. */
    fun onHosts(addresses: List<String>)

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
    private var configOffset = -1L
    private var isReadingTargets = false
    private var startedMs = clock.nowMs()
    private var nextReadMs = 0L
    private var isStoreLost = false

    /** Starts the reads. */
    fun start(hostKey: String, linkAddress: String) {
        controlLoop.post { readConfig() }
        controlLoop.post { registerHost(hostKey, linkAddress) }
    }

    /** Reads the targets when the newest read is too old for this host's position in the read order. */
    fun onTick(now: Long) {
        if (isReadingTargets || now < nextReadMs) return
        val order = minOf(listener.readOrder(), MAX_READ_ORDER)
        val isFirst = directory.position < 0
        if (!isFirst && now - directory.lastContiguousReadMs < READ_INTERVAL_MS + order * READ_STAGGER_MS) return
        isReadingTargets = true
        startedMs = now
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
                listener.onTargets(toEntryRead(outcome.value, from, full))
            }

            StoreOutcome.HistoryTruncated -> directory.resetPosition()

            is StoreOutcome.Refused -> onReadFailed("targets", "status ${outcome.status}")

            is StoreOutcome.Unreachable -> onReadFailed("targets", outcome.cause)
        }
    }

    private fun onReadFailed(what: String, cause: String) {
        nextReadMs = clock.nowMs() + RETRY_MS
        updateStoreState(isReachable = false, "$what: $cause")
    }

    private fun toEntryRead(records: KeyedRecords, from: Long, full: Boolean): EntryRead {
        val newest = records.records.associateBy { it.key }.values
        val changes = newest.map { EntryChange(it.key, it.offset, it.text?.let { t -> decodeTargetEntry(it.key, t) }) }
        return EntryRead(from, records.end, full, changes)
    }

    private fun readConfig() {
        val position = configOffset
        eventLoop.execute {
            if (position < 0) {
                store.newest(KeyedTopic.CONFIGURATION) { controlLoop.post { onConfig(it) } }
            } else {
                store.read(KeyedTopic.CONFIGURATION, position, CONFIG_WAIT_MS) { controlLoop.post { onConfig(it) } }
            }
        }
    }

    private fun onConfig(outcome: StoreOutcome<KeyedRecords>) {
        when (outcome) {
            is StoreOutcome.Done -> {
                updateStoreState(isReachable = true, "configuration")
                configOffset = outcome.value.end
                val newest: KeyedRecord? = outcome.value.records.lastOrNull { it.key == CONFIGURATION_KEY }
                newest?.text?.let(listener::onConfig)
                readConfig()
            }

            StoreOutcome.HistoryTruncated -> {
                configOffset = -1
                readConfig()
            }

            is StoreOutcome.Refused -> onConfigReadFailed("status ${outcome.status}")

            is StoreOutcome.Unreachable -> onConfigReadFailed(outcome.cause)
        }
    }

    private fun onConfigReadFailed(cause: String) {
        updateStoreState(isReachable = false, "configuration: $cause")
        controlLoop.after(RETRY_MS) { readConfig() }
    }

    private fun updateStoreState(isReachable: Boolean, what: String) {
        if (isStoreLost == !isReachable) return
        isStoreLost = !isReachable
        log.write(if (isReachable) "store-back" else "store-lost", "what" to what)
    }

    /** Registers this host in the store, then reads the addresses of the other hosts. */
    private fun registerHost(key: String, address: String) {
        eventLoop.execute {
            store.append(KeyedTopic.HOSTS, key, address.toByteArray()) { appended ->
                if (appended is StoreOutcome.Done) {
                    store.newest(KeyedTopic.HOSTS) { controlLoop.post { onHosts(it, key, address) } }
                } else {
                    controlLoop.after(HOSTS_RETRY_MS) { registerHost(key, address) }
                }
            }
        }
    }

    private fun onHosts(outcome: StoreOutcome<KeyedRecords>, key: String, address: String) {
        if (outcome is StoreOutcome.Done) {
            listener.onHosts(outcome.value.records.mapNotNull { it.text }.filter { it != address })
        } else {
            controlLoop.after(HOSTS_RETRY_MS) { registerHost(key, address) }
        }
    }
}
