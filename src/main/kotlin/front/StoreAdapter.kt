/*
 * Keeps this host's knowledge of the platform's store: the declarations by a read that waits for news, the targets by
 * short reads that the hosts take turns at, and the list of this system's hosts. Replies come on the event loop and are
 * handed to the control thread.
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
private const val READ_AFTER_MS = 400L // age of the newest known read at which the first host in turn reads again
private const val TURN_MS = 150L // the next host in turn steps in after this much more
private const val MAX_TURN = 6
private const val HOSTS_RETRY_MS = 1_000L

/** What the adapter tells the host; all on the control thread. */
internal interface StoreListener {
    /** Declarations were read. */
    fun onConfig(text: String)

    /** Targets were read; [read] holds what changed. */
    fun onTargets(read: EntryRead)

    /** The link addresses of other hosts were read. */
    fun onHosts(addresses: List<String>)

    /** This host's place in the order in which hosts step in to read the targets; 0 reads first. */
    fun readTurn(): Int
}

internal class StoreAdapter(
    private val store: StoreClient,
    private val traffic: EventLoop,
    private val control: ControlLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    private val directory: TargetDirectory,
    private val listener: StoreListener,
) {
    private var configPosition = -1L
    private var isReadingTargets = false
    private var startedMs = clock.nowMs()
    private var nextTryMs = 0L
    private var isLost = false

    /** Starts the reads. */
    fun start(hostKey: String, linkAddress: String) {
        control.post { readConfig() }
        control.post { announce(hostKey, linkAddress) }
    }

    /** Reads the targets when it is this host's turn. */
    fun onTick(now: Long) {
        if (isReadingTargets || now < nextTryMs) return
        val turn = minOf(listener.readTurn(), MAX_TURN)
        val isFirst = directory.position < 0
        if (!isFirst && now - directory.freshMs < READ_AFTER_MS + turn * TURN_MS) return
        isReadingTargets = true
        startedMs = now
        val position = directory.position
        traffic.execute {
            if (isFirst) {
                store.newest(KeyedTopic.TARGETS) { control.post { onTargets(it, -1, full = true) } }
            } else {
                store.read(KeyedTopic.TARGETS, position, 0) { control.post { onTargets(it, position, full = false) } }
            }
        }
    }

    private fun onTargets(outcome: StoreOutcome<KeyedRecords>, from: Long, full: Boolean) {
        isReadingTargets = false
        when (outcome) {
            is StoreOutcome.Done -> {
                noteStore(reached = true, "targets")
                listener.onTargets(readOf(outcome.value, from, full))
            }

            StoreOutcome.HistoryGone -> directory.onHistoryLost()

            is StoreOutcome.Refused -> failed("targets", "status ${outcome.status}")

            is StoreOutcome.Unreachable -> failed("targets", outcome.cause)
        }
    }

    private fun failed(what: String, cause: String) {
        nextTryMs = clock.nowMs() + RETRY_MS
        noteStore(reached = false, "$what: $cause")
    }

    private fun readOf(records: KeyedRecords, from: Long, full: Boolean): EntryRead {
        val newest = records.records.associateBy { it.key }.values
        val changes = newest.map { EntryChange(it.key, it.offset, it.text?.let { t -> decodeTargetEntry(it.key, t) }) }
        return EntryRead(from, records.end, full, changes)
    }

    private fun readConfig() {
        val position = configPosition
        traffic.execute {
            if (position < 0) {
                store.newest(KeyedTopic.CONFIGURATION) { control.post { onConfig(it) } }
            } else {
                store.read(KeyedTopic.CONFIGURATION, position, CONFIG_WAIT_MS) { control.post { onConfig(it) } }
            }
        }
    }

    private fun onConfig(outcome: StoreOutcome<KeyedRecords>) {
        when (outcome) {
            is StoreOutcome.Done -> {
                noteStore(reached = true, "configuration")
                configPosition = outcome.value.end
                val newest: KeyedRecord? = outcome.value.records.lastOrNull { it.key == CONFIGURATION_KEY }
                newest?.text?.let(listener::onConfig)
                readConfig()
            }

            StoreOutcome.HistoryGone -> {
                configPosition = -1
                readConfig()
            }

            is StoreOutcome.Refused -> configFailed("status ${outcome.status}")

            is StoreOutcome.Unreachable -> configFailed(outcome.cause)
        }
    }

    private fun configFailed(cause: String) {
        noteStore(reached = false, "configuration: $cause")
        control.after(RETRY_MS) { readConfig() }
    }

    private fun noteStore(reached: Boolean, what: String) {
        if (isLost == !reached) return
        isLost = !reached
        log.write(if (reached) "store-back" else "store-lost", "what" to what)
    }

    /** Tells the other hosts of this one, then reads who they are. */
    private fun announce(key: String, address: String) {
        traffic.execute {
            store.append(KeyedTopic.HOSTS, key, address.toByteArray()) { appended ->
                if (appended is StoreOutcome.Done) {
                    store.newest(KeyedTopic.HOSTS) { control.post { onHosts(it, key, address) } }
                } else {
                    control.after(HOSTS_RETRY_MS) { announce(key, address) }
                }
            }
        }
    }

    private fun onHosts(outcome: StoreOutcome<KeyedRecords>, key: String, address: String) {
        if (outcome is StoreOutcome.Done) {
            listener.onHosts(outcome.value.records.mapNotNull { it.text }.filter { it != address })
        } else {
            control.after(HOSTS_RETRY_MS) { announce(key, address) }
        }
    }
}
