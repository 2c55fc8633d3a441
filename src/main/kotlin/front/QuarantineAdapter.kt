/*
 * Reads and writes the records of what is held back. Replies arrive on the event loop and are passed to the control
 * thread.
 */
package org.sesamerouter.front

import io.netty.channel.EventLoop
import org.sesamerouter.clock.Clock
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.platform.KeyedRecord
import org.sesamerouter.platform.KeyedRecords
import org.sesamerouter.platform.KeyedTopic
import org.sesamerouter.platform.StoreClient
import org.sesamerouter.platform.StoreOutcome
import org.sesamerouter.propagation.storeRetryMs
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.quarantine.QuarantineRecord
import org.sesamerouter.quarantine.QuarantineRecords
import org.sesamerouter.quarantine.QuarantineWrite
import org.sesamerouter.quarantine.decodeQuarantineRecord
import org.sesamerouter.quarantine.encodeQuarantineRecord
import java.util.concurrent.ThreadLocalRandom

private const val RETRY_MS = 300L

// A store that answers other calls answers this one within a few tries; one that refuses the topic must not keep the
// host from serving.
private const val MAX_WAIT_MS = 2_000L

private const val MAX_LISTS = 5 // records change a few times a minute; a list of several pages takes some 10 ms

/** What the adapter needs to know of the fleet. */
internal interface FleetDuties {
    fun liveHosts(): Int

    /** Whether this host is the first one of the fleet for [duty], in an order that all hosts share. */
    fun isFirstFor(duty: String): Boolean
}

/** The records of [quarantine] in the [store]. */
internal class QuarantineAdapter(
    private val store: StoreClient,
    private val eventLoop: EventLoop,
    private val controlLoop: ControlLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    quarantine: Quarantine,
    private val fleet: FleetDuties,
) {
    val records = QuarantineRecords(quarantine)
    private var otherwiseReadyMs: Long? = null

    /** Number of further lists while the topic changes between the pages of each. */
    private var listsLeft = MAX_LISTS

    fun start() = controlLoop.post(::read)

    /** Whether the host may be ready as far as the records are concerned; asked once everything else is ready. */
    fun isReady(now: Long): Boolean {
        if (records.areKnown) return true
        val sinceMs = otherwiseReadyMs ?: now.also { otherwiseReadyMs = it }
        return now - sinceMs >= MAX_WAIT_MS
    }

    /** Writes the records that are due; also called at once when a target crashed, since this host may end next. */
    fun onTick(now: Long) {
        val writes = records.takeWrites(now) { fleet.isFirstFor("record $it") }
        if (writes.isNotEmpty()) eventLoop.execute { writes.forEach(::write) }
    }

    private fun read() {
        if (records.areKnown) return
        eventLoop.execute {
            store.newest(KeyedTopic.QUARANTINE, { it.value?.let(::decodeQuarantineRecord) != null }) { outcome ->
                controlLoop.post { onRead(outcome) }
            }
        }
    }

    private fun onRead(outcome: StoreOutcome<KeyedRecords>) {
        if (outcome is StoreOutcome.Done && outcome.value.available > outcome.value.end && listsLeft-- > 0) {
            read() // a record was removed or added between two pages, and nothing follows this topic later
            return
        }
        if (outcome is StoreOutcome.Done) {
            val held = outcome.value.records.mapNotNull(::decode)
            records.onRead(held, clock.nowMs())
            if (held.isNotEmpty()) {
                log.write(
                    "quarantine-read",
                    "records" to outcome.value.records.map { it.key }.forLog(),
                )
            }
        } else {
            val delayMs = storeRetryMs(RETRY_MS, fleet.liveHosts(), ThreadLocalRandom.current().nextDouble())
            controlLoop.after(delayMs, ::read)
        }
    }

    private fun decode(record: KeyedRecord): QuarantineRecord? {
        val value = record.value ?: return null
        val held = decodeQuarantineRecord(value)
        if (held == null) log.write("quarantine-unreadable", "key" to record.key, "bytes" to value.size)
        return held
    }

    private fun write(write: QuarantineWrite) {
        val value = write.record?.let(::encodeQuarantineRecord) ?: ByteArray(0)
        store.append(KeyedTopic.QUARANTINE, write.key, value) { outcome ->
            controlLoop.post { onWritten(write, outcome) }
        }
    }

    private fun onWritten(write: QuarantineWrite, outcome: StoreOutcome<Long>) {
        val isDone = outcome is StoreOutcome.Done
        if (isDone) records.onWritten(write) else records.onFailed(write, clock.nowMs())
        log.write(
            "quarantine-recorded",
            "record" to write.key,
            "held" to (write.record != null),
            "trials" to write.record?.part?.trials,
            "outcome" to (if (isDone) "done" else "$outcome"),
        )
    }
}
