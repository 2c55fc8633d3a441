/*
 * Follows the configuration as `ConfigurationSync` decides: reads it from the store, by long polling where this host
 * waits for a new one, and fetches it from other hosts. Replies arrive on the event loop and are passed to the control
 * thread.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.StreamPosition
import org.sesamerouter.evacuation.EvacuationRead
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.membership.ConfigurationAnswer
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.platform.CONFIGURATION_KEY
import org.sesamerouter.platform.KeyedRecord
import org.sesamerouter.platform.KeyedRecords
import org.sesamerouter.platform.KeyedTopic
import org.sesamerouter.platform.StoreCall
import org.sesamerouter.platform.StoreClient
import org.sesamerouter.platform.StoreOutcome
import org.sesamerouter.platform.decodeEvacuation
import org.sesamerouter.propagation.ConfigurationDelta
import org.sesamerouter.propagation.ConfigurationGiver
import org.sesamerouter.propagation.ConfigurationReply
import org.sesamerouter.propagation.ConfigurationRequest
import org.sesamerouter.propagation.ConfigurationSync
import org.sesamerouter.propagation.FleetView
import org.sesamerouter.propagation.StoreRead
import org.sesamerouter.propagation.SyncEffect
import org.sesamerouter.propagation.applyDelta
import java.util.Random

private const val CONFIG_WAIT_MS = 2_000L // a waiting read whose answer was lost ends within the users' bound
private const val PART_TIMEOUT_MS = 500L // a part passes the slowest link in 15 ms

/** Source of configurations that were read from the store. */
internal const val STORE = "store"

/** Callbacks of [ConfigurationAdapter]; all are called on the control thread. */
internal interface ConfigurationListener {
    /** Called with a configuration that was read from [source], the store or a host. */
    fun onConfig(text: String, source: String)

    /** Called with the evacuations in a read of the store. */
    fun onEvacuations(read: EvacuationRead)

    /** Called with a key of the operator that has no meaning to this version. */
    fun onUnknownKey(key: String, offset: Long)

    /** Called with the era of the store after each successful read. */
    fun onStoreEra(era: Long)
}

internal class ConfigurationAdapter(
    private val store: StoreClient,
    private val eventLoop: EventLoop,
    private val controlLoop: ControlLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    private val storeState: StoreState,
    private val peers: PeerClient,
    private val giver: ConfigurationGiver,
    fleet: FleetView,
    private val listener: ConfigurationListener,
) {
    private val sync = ConfigurationSync(fleet, Random())
    private var call: StoreCall? = null
    private var currentRead = 0L
    private var received: ConfigurationDelta? = null

    /** Starts to follow the configuration. */
    fun start() = controlLoop.post { apply(sync.onStart()) }

    fun onTick(now: Long): Unit = apply(sync.onTick(now))

    /** Handles that [host] has [version] in force. */
    fun onAnnounced(host: String, version: Long): Unit = apply(sync.onAnnounced(host, version, clock.nowMs()))

    /** Applies [delta] from [host] if it was made from the version in force. */
    fun onDelta(host: String, delta: ConfigurationDelta) {
        if (delta.base != giver.version) return
        val text = applyDelta(giver.textInForce, delta.bytes) ?: return
        received = delta
        listener.onConfig(text, host)
        received = null
    }

    /**
     * Handles that another version came into force on this host, and returns the difference to it for other hosts: one
     * that was just read from the store or received, if it is small.
     */
    fun onInForce(source: String): ConfigurationDelta? {
        sync.onInForce()
        return if (source == STORE) giver.deltaToSend() else received
    }

    /** Returns the reply to [request] of another host. */
    fun reply(request: ConfigurationRequest): ConfigurationReply = giver.reply(request, clock.nowMs())

    /** Handles the [era] of a read by this host or a peer. */
    fun onEra(era: Long): Unit = apply(sync.onEra(era))

    private fun apply(effects: List<SyncEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is SyncEffect.ReadStore -> read(effect.read, effect.position)

            is SyncEffect.Fetch -> fetch(effect)

            is SyncEffect.Apply -> applyTransfer(effect)

            is SyncEffect.Wake -> controlLoop.after(effect.ms) { onTick(clock.nowMs()) }

            is SyncEffect.ReadFailed ->
                log.write("configuration-read-failed", "why" to effect.cause, "retry-ms" to effect.retryMs)

            is SyncEffect.FetchEnded -> log.write(
                "configuration-fetch",
                "peer" to effect.host,
                "version" to giver.version,
                "wanted" to effect.wanted,
                "outcome" to effect.outcome,
                "tries" to effect.tries,
            )
        }
    }

    private fun fetch(effect: SyncEffect.Fetch) =
        peers.request(effect.host, ServingRequest.Configuration(effect.request), PART_TIMEOUT_MS) { outcome ->
            val answer = (outcome as? PeerOutcome.Replied)?.reply as? ConfigurationAnswer
            apply(sync.onFetched(effect.number, answer?.reply, clock.nowMs()))
        }

    private fun applyTransfer(effect: SyncEffect.Apply) {
        if (effect.version <= giver.version) return
        val base = giver.textInForce.takeIf { effect.base >= 0 }
        val text = applyDelta(base, effect.bytes)
        if (text == null) {
            apply(sync.onUnusableTransfer(effect.host, clock.nowMs()))
        } else {
            listener.onConfig(text, effect.host)
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
                controlLoop.post { if (number == currentRead) onReply(number, outcome, isFull = position == null) }
            }
            if (position == null) {
                store.newest(KeyedTopic.CONFIGURATION, {
                    it.key == CONFIGURATION_KEY || decodeEvacuation(it) != null
                }, onReply)
            } else {
                val started = store.read(KeyedTopic.CONFIGURATION, position.offset, CONFIG_WAIT_MS, onReply)
                controlLoop.post { if (number == currentRead) call = started }
            }
        }
    }

    private fun onReply(number: Long, outcome: StoreOutcome<KeyedRecords>, isFull: Boolean) {
        call = null
        when (outcome) {
            is StoreOutcome.Done -> {
                val records = outcome.value
                storeState.update(isReachable = true, "configuration")
                onOperatorKeys(records, isFull)
                val newest: KeyedRecord? = records.records.lastOrNull { it.key == CONFIGURATION_KEY }
                newest?.text?.let { listener.onConfig(it, STORE) }
                // Each record is a whole configuration: of those that are left, only the newest one is read.
                val position = StreamPosition(records.era, records.end).takeIf { records.available <= records.end }
                apply(sync.onStoreRead(number, StoreRead.Done(position), clock.nowMs()))
                listener.onStoreEra(records.era)
            }

            StoreOutcome.HistoryTruncated -> apply(sync.onStoreRead(number, StoreRead.Truncated, clock.nowMs()))

            is StoreOutcome.Refused -> onReadFailed(number, "status ${outcome.status}")

            is StoreOutcome.Unreachable -> onReadFailed(number, outcome.cause)
        }
    }

    /** An evacuation takes effect before a configuration of the same read. */
    private fun onOperatorKeys(records: KeyedRecords, isFull: Boolean) {
        val others = records.records.filter { it.key != CONFIGURATION_KEY }
        val evacuations = others.mapNotNull(::decodeEvacuation)
        if (isFull || evacuations.isNotEmpty()) {
            listener.onEvacuations(EvacuationRead(evacuations, records.end, records.era, isFull))
        }
        others.filter { decodeEvacuation(it) == null }.forEach { listener.onUnknownKey(it.key, it.offset) }
    }

    private fun onReadFailed(number: Long, cause: String) {
        storeState.update(isReachable = false, "configuration: $cause")
        apply(sync.onStoreRead(number, StoreRead.Failed(cause), clock.nowMs()))
    }
}
