/*
 * Appends key claims to the platform log in batches and folds the claims stream into the ledger. Runs on the control
 * thread.
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

private const val CLAIM_TIMEOUT_MS = 3_000L
private const val MAX_BATCH = 500

/** Manages the claims of one host; [onEvent] receives their outcomes. */
internal class ClaimAdapter(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val log: PlatformLog,
    private val ledger: Ledger,
    private val onEvent: (RequestEvent) -> Unit,
) {
    private val queue = ArrayDeque<ClaimRecord>()
    private val claimDeadlines = LinkedHashMap<String, Long>()
    private var appending = false
    private val reader =
        StreamReader(log, LogStream.CLAIMS, clock, loop::post, { ledger.claimsRevision + 1 }, ::onRecords)

    /** Number of append calls made so far. */
    var appends = 0L
        private set

    /** Queues [claim] for the next batch. */
    fun append(claim: ClaimRecord) {
        queue.addLast(claim)
        claimDeadlines[claim.id] = clock.nowMs() + CLAIM_TIMEOUT_MS
        flush()
    }

    /** Continues reading the stream and fails the claims that were not read back within [CLAIM_TIMEOUT_MS]. */
    fun onTick() {
        reader.onTick()
        val now = clock.nowMs()
        val expired = claimDeadlines.filterValues { it <= now }.keys.toList()
        expired.forEach(::fail)
    }

    private fun flush() {
        if (appending || queue.isEmpty()) return
        appending = true
        appends++
        val batch = List(minOf(queue.size, MAX_BATCH)) { queue.removeFirst() }
        val payloads = batch.map { WireJson.encodeToString(ClaimRecord.serializer(), it) }
        log.append(LogStream.CLAIMS, payloads) { outcome -> loop.post { onAppended(batch, outcome) } }
    }

    private fun onAppended(batch: List<ClaimRecord>, outcome: AppendOutcome) {
        appending = false
        if (outcome is AppendOutcome.Refused) batch.forEach { fail(it.id) }
        flush()
    }

    private fun fail(id: String) {
        if (claimDeadlines.remove(id) != null) onEvent(RequestEvent.ClaimFailed(id))
    }

    private fun onRecords(read: ReadOutcome.Records) {
        read.records.forEach { fold(it.offset, it.payload) }
        ledger.dropClaimsBelow(read.floor)
    }

    private fun fold(offset: Long, payload: String) {
        val result = ledger.foldClaim(offset, payload) ?: return
        claimDeadlines.remove(result.id)
        onEvent(RequestEvent.ClaimApplied(result.id, result.holder))
    }
}
