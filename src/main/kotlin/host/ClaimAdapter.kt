/*
 * Carries claims into the log, many in one append, and folds the claims stream. On the control thread.
 */
package org.sesamerouter.host

import org.sesamerouter.api.WireJson
import org.sesamerouter.clock.Clock
import org.sesamerouter.ledger.ClaimRecord
import org.sesamerouter.ledger.Ledger
import org.sesamerouter.log.AppendOutcome
import org.sesamerouter.log.LogStream
import org.sesamerouter.log.PlatformLog
import org.sesamerouter.log.ReadOutcome
import org.sesamerouter.pipeline.RequestEvent

private const val LONG_POLL_MS = 1_000L
private const val READ_RETRY_MS = 200L
private const val CLAIM_PATIENCE_MS = 3_000L
private const val MAX_BATCH = 500

/** Claims of one host. [onEvent] hears what became of them. */
internal class ClaimAdapter(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val log: PlatformLog,
    private val ledger: Ledger,
    private val onEvent: (RequestEvent) -> Unit,
) {
    private val queued = ArrayDeque<ClaimRecord>()
    private val unresolved = LinkedHashMap<String, Long>()
    private var appending = false
    private var reading = false
    private var nextReadMs = Long.MIN_VALUE

    /** Appends so far. */
    var appends = 0L
        private set

    /** Appends [claim] with the next batch. */
    fun append(claim: ClaimRecord) {
        queued.addLast(claim)
        unresolved[claim.id] = clock.nowMs() + CLAIM_PATIENCE_MS
        flush()
    }

    /** Reads on and gives up claims that were not read back in time. */
    fun onTick() {
        val now = clock.nowMs()
        if (!reading && now >= nextReadMs) read()
        val late = unresolved.filterValues { it <= now }.keys.toList()
        late.forEach(::fail)
    }

    private fun flush() {
        if (appending || queued.isEmpty()) return
        appending = true
        appends++
        val batch = List(minOf(queued.size, MAX_BATCH)) { queued.removeFirst() }
        val payloads = batch.map { WireJson.encodeToString(ClaimRecord.serializer(), it) }
        log.append(LogStream.CLAIMS, payloads) { outcome -> loop.post { onAppended(batch, outcome) } }
    }

    private fun onAppended(batch: List<ClaimRecord>, outcome: AppendOutcome) {
        appending = false
        if (outcome is AppendOutcome.Refused) batch.forEach { fail(it.id) }
        flush()
    }

    private fun fail(id: String) {
        if (unresolved.remove(id) != null) onEvent(RequestEvent.ClaimFailed(id))
    }

    private fun read() {
        reading = true
        log.read(LogStream.CLAIMS, ledger.claimsRevision + 1, LONG_POLL_MS) { outcome -> loop.post { onRead(outcome) } }
    }

    private fun onRead(outcome: ReadOutcome) {
        reading = false
        when (outcome) {
            is ReadOutcome.Unavailable -> nextReadMs = clock.nowMs() + READ_RETRY_MS

            is ReadOutcome.Records -> {
                outcome.records.forEach { fold(it.offset, it.payload) }
                ledger.dropClaimsBelow(outcome.floor)
                read()
            }
        }
    }

    private fun fold(offset: Long, payload: String) {
        val result = ledger.foldClaim(offset, payload) ?: return
        unresolved.remove(result.id)
        onEvent(RequestEvent.ClaimFolded(result.id, result.holder))
    }
}
