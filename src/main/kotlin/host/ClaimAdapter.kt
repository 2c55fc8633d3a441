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
import org.sesamerouter.log.StreamReader
import org.sesamerouter.pipeline.RequestEvent

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
    private val reader =
        StreamReader(log, LogStream.CLAIMS, clock, loop::post, { ledger.claimsRevision + 1 }, ::onRecords)

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
        reader.onTick()
        val now = clock.nowMs()
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

    private fun onRecords(read: ReadOutcome.Records) {
        read.records.forEach { fold(it.offset, it.payload) }
        ledger.dropClaimsBelow(read.floor)
    }

    private fun fold(offset: Long, payload: String) {
        val result = ledger.foldClaim(offset, payload) ?: return
        unresolved.remove(result.id)
        onEvent(RequestEvent.ClaimFolded(result.id, result.holder))
    }
}
