/*
 * Follows the configuration as `ConfigurationSync` decides: reads it from the store, by long polling where this host
 * waits for a new one, and fetches it from other hosts. Replies arrive on the event loop and are passed to the control
 * thread.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.StreamPosition
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.platform.CONFIGURATION_KEY
import org.sesamerouter.platform.KeyedRecord
import org.sesamerouter.platform.KeyedRecords
import org.sesamerouter.platform.KeyedTopic
import org.sesamerouter.platform.StoreCall
import org.sesamerouter.platform.StoreClient
import org.sesamerouter.platform.StoreOutcome
import org.sesamerouter.propagation.ConfigurationSync
import org.sesamerouter.propagation.FleetView
import org.sesamerouter.propagation.StoreRead
import org.sesamerouter.propagation.SyncEffect
import java.util.Random

private const val CONFIG_WAIT_MS = 4_000L

/** Callbacks of [ConfigurationAdapter]; all are called on the control thread. */
internal interface ConfigurationListener {
    /** Called with a configuration that was read from [source], the store or a host. */
    fun onConfig(text: String, source: String)

    /** Called with the era of the store after each successful read. */
    fun onStoreEra(era: Long)

    /** Fetches the configuration from [host]. */
    fun fetchConfiguration(host: String)
}

internal class ConfigurationAdapter(
    private val store: StoreClient,
    private val eventLoop: EventLoop,
    private val controlLoop: ControlLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    private val storeState: StoreState,
    fleet: FleetView,
    private val listener: ConfigurationListener,
) {
    private val sync = ConfigurationSync(fleet, Random())
    private var call: StoreCall? = null
    private var currentRead = 0L

    /** Starts to follow the configuration. */
    fun start() = controlLoop.post { apply(sync.onStart()) }

    fun onTick(now: Long): Unit = apply(sync.onTick(now))

    /** Handles that [host] has a newer version than this one. */
    fun onNewerVersion(host: String): Unit = apply(sync.onNewerVersion(host, clock.nowMs()))

    /** Handles the [era] of a read by this host or a peer. */
    fun onEra(era: Long): Unit = apply(sync.onEra(era))

    private fun apply(effects: List<SyncEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is SyncEffect.ReadStore -> read(effect.read, effect.position)

            is SyncEffect.Fetch -> listener.fetchConfiguration(effect.host)

            is SyncEffect.Wake -> controlLoop.after(effect.ms) { onTick(clock.nowMs()) }

            is SyncEffect.ReadFailed ->
                log.write("configuration-read-failed", "why" to effect.cause, "retry-ms" to effect.retryMs)
        }
    }

    /** Reads from the store in place of the read in progress. */
    private fun read(number: Long, position: StreamPosition?) {
        currentRead = number
        val previousCall = call
        call = null
        eventLoop.execute {
            previousCall?.abandon()
            val onReply = { outcome: StoreOutcome<KeyedRecords> ->
                controlLoop.post { if (number == currentRead) onReply(number, outcome) }
            }
            if (position == null) {
                store.newest(KeyedTopic.CONFIGURATION, onReply)
            } else {
                val started = store.read(KeyedTopic.CONFIGURATION, position.offset, CONFIG_WAIT_MS, onReply)
                controlLoop.post { if (number == currentRead) call = started }
            }
        }
    }

    private fun onReply(number: Long, outcome: StoreOutcome<KeyedRecords>) {
        call = null
        when (outcome) {
            is StoreOutcome.Done -> {
                val records = outcome.value
                storeState.update(isReachable = true, "configuration")
                val newest: KeyedRecord? = records.records.lastOrNull { it.key == CONFIGURATION_KEY }
                newest?.text?.let { listener.onConfig(it, "store") }
                val position = StreamPosition(records.era, records.end)
                apply(sync.onStoreRead(number, StoreRead.Done(position), clock.nowMs()))
                listener.onStoreEra(records.era)
            }

            StoreOutcome.HistoryTruncated -> apply(sync.onStoreRead(number, StoreRead.Truncated, clock.nowMs()))

            is StoreOutcome.Refused -> onReadFailed(number, "status ${outcome.status}")

            is StoreOutcome.Unreachable -> onReadFailed(number, outcome.cause)
        }
    }

    private fun onReadFailed(number: Long, cause: String) {
        storeState.update(isReachable = false, "configuration: $cause")
        apply(sync.onStoreRead(number, StoreRead.Failed(cause), clock.nowMs()))
    }
}
