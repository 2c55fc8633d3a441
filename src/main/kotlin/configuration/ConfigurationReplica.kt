/*
 * Replicates the configuration to one host and appends operators' changes to the log. A state machine without I/O.
 * Records are read from the log, or from peers while the log is unavailable; the revision never decreases. If the
 * outcome of an append is unknown, the change is appended again, under the same id, only after a later read of the
 * stream did not contain it.
 */
package org.sesamerouter.configuration

import org.sesamerouter.log.AppendOutcome
import org.sesamerouter.log.LOG_LONG_POLL_MS
import org.sesamerouter.log.LOG_RETRY_MS
import org.sesamerouter.log.LogRecord
import org.sesamerouter.log.ReadOutcome

private const val RECENT_RECORDS = 256
private const val APPEND_RETRY_MS = 300L
private const val CHANGE_TIMEOUT_MS = 8_000L
private const val PEER_RETRY_MS = 500L

/** Reply to an operator's change. */
sealed interface ChangeAnswer {
    /** The change was accepted and is in force on this host. */
    data class Accepted(val outcome: ChangeOutcome) : ChangeAnswer

    /** The change was refused, because of a conflict or because it is invalid; nothing changed. */
    data class Refused(val outcome: ChangeOutcome) : ChangeAnswer

    /** The log did not accept the change; nothing changed. */
    data class NotAppended(val cause: String) : ChangeAnswer

    /** The outcome is still unknown: the change may take effect later, which the watch and the resource will show. */
    data class OutcomeUnknown(val id: String) : ChangeAnswer
}

/** An effect that the caller of the replica has to carry out. */
sealed interface ConfigurationEffect {
    /** Read the configuration stream from [offset], waiting up to [waitMs] for a record. */
    data class Read(val offset: Long, val waitMs: Long) : ConfigurationEffect

    /** Append [payload] and report the outcome under [id]. */
    data class Append(val id: String, val payload: String) : ConfigurationEffect

    /** Request the configuration after [revision] from the peer at the address [peer]. */
    data class RequestCatchUp(val peer: String, val revision: Long) : ConfigurationEffect

    /** Complete the pending change [id] with [answer]. */
    data class Answer(val id: String, val answer: ChangeAnswer) : ConfigurationEffect

    /** [state] is now in force; [outcomes] are those of the changes folded since the previous state. */
    data class Applied(val state: ConfigurationState, val outcomes: List<ChangeOutcome>) : ConfigurationEffect
}

/** Revision of the configuration at a peer. */
data class PeerRevision(val peer: String, val revision: Long)

/** Maintains the configuration of one host. Not thread-safe. */
class ConfigurationReplica(private val host: String, private val snapshotIntervalMs: Long) {
    private val recent = ArrayDeque<LogRecord>()
    private val pending = LinkedHashMap<String, PendingChange>()
    private val effects = ArrayList<ConfigurationEffect>()
    private var isReading = false
    private var nextReadMs = Long.MIN_VALUE
    private var nextPeerRequestMs = Long.MIN_VALUE
    private var floor = 0L
    private var end = 0L
    private var snapshotCount = 0L
    private var lastSnapshotMs = 0L
    private var pendingSnapshotId: String? = null

    /** The configuration in force on this host. */
    var state = ConfigurationState()
        private set

    /** Time of the last successful read of the log; far in the past if there was none. */
    var logReadMs = Long.MIN_VALUE / 2
        private set

    /** Whether this host has a usable configuration: it once read the log to its end, or received a peer's state. */
    var isReady = false
        private set

    private class PendingChange(val record: ConfigurationRecord.Change, val deadlineMs: Long) {
        var isAppending = false
        var mayBeAppended = false

        /** End of the stream when the append's outcome became unknown, until a later read; -1 otherwise. */
        var recheckFromOffset = -1L
        var retryAtMs = 0L
    }

    /** Submits a change. It is completed later by a [ConfigurationEffect.Answer] with the same id. */
    fun change(record: ConfigurationRecord.Change, now: Long): List<ConfigurationEffect> = run {
        val generation = state.resources[ResourceKey(record.kind, record.name)]?.generation ?: 0
        val withBase = record.copy(base = record.base ?: generation)
        val change = PendingChange(withBase, now + CHANGE_TIMEOUT_MS)
        pending[record.id] = change
        append(change)
    }

    /** Handles the outcome of an append. */
    fun onAppended(id: String, outcome: AppendOutcome, now: Long): List<ConfigurationEffect> = run {
        if (id == pendingSnapshotId) pendingSnapshotId = null
        val change = pending[id] ?: return@run
        change.isAppending = false
        when (outcome) {
            is AppendOutcome.Appended -> change.mayBeAppended = true

            is AppendOutcome.Unknown -> {
                change.mayBeAppended = true
                change.recheckFromOffset = end
            }

            is AppendOutcome.Refused -> Unit
        }
        change.retryAtMs = now + APPEND_RETRY_MS
        if (outcome is AppendOutcome.Appended) change.retryAtMs = Long.MAX_VALUE
    }

    /** Handles the outcome of a read. */
    fun onRead(outcome: ReadOutcome, now: Long): List<ConfigurationEffect> = run {
        isReading = false
        when (outcome) {
            is ReadOutcome.Unavailable -> nextReadMs = now + LOG_RETRY_MS

            is ReadOutcome.Records -> {
                logReadMs = now
                floor = outcome.floor
                end = outcome.end
                foldAll(outcome.records)
                skipDroppedRecords(outcome)
                if (state.revision + 1 >= outcome.end) isReady = true
                scheduleUnknownRetries(now)
                startRead()
            }
        }
    }

    /** Handles a peer's catch-up reply: an optional [snapshot] and the [records] that follow it. */
    fun onPeerReply(snapshot: SnapshotState?, records: List<LogRecord>): List<ConfigurationEffect> = run {
        if (snapshot != null && snapshot.revision > state.revision) {
            state = snapshot.toState()
            recent.clear()
            emitInForce(snapshot.outcomes)
        }
        foldAll(records)
        if (state.revision >= 0) isReady = true
    }

    /** Returns what a peer at [revision] needs to catch up: the records after it, or a snapshot. */
    fun catchUp(revision: Long): CatchUp {
        val first = recent.firstOrNull()?.offset ?: Long.MAX_VALUE
        if (revision >= state.revision) return CatchUp(null, emptyList())
        if (first > revision + 1) return CatchUp(state.toSnapshot(), emptyList())
        return CatchUp(null, recent.filter { it.offset > revision })
    }

    /**
     * Runs periodic work.
     *
     * @param peers revisions of the live peers.
     * @param writesSnapshots whether this host is currently responsible for writing snapshots.
     */
    fun onTick(peers: List<PeerRevision>, writesSnapshots: Boolean, now: Long): List<ConfigurationEffect> = run {
        if (!isReading && now >= nextReadMs) startRead()
        requestFromPeer(peers, now)
        pending.values.toList().forEach { advance(it, now) }
        if (writesSnapshots) appendSnapshotIfDue(now)
    }

    private fun startRead() {
        isReading = true
        effects += ConfigurationEffect.Read(state.revision + 1, LOG_LONG_POLL_MS)
    }

    private fun run(block: () -> Unit): List<ConfigurationEffect> {
        block()
        val out = effects.toList()
        effects.clear()
        return out
    }

    private fun foldAll(records: List<LogRecord>) {
        val before = state.revision
        records.filter { it.offset > before }.forEach { record ->
            val isGap = record.offset > state.revision + 1
            if (isGap && !acceptSnapshotAfterGap(record)) return@forEach
            val previous = state.snapshotRevision
            state = state.fold(record)
            if (state.snapshotRevision != previous) lastSnapshotMs = 0
            recent.addLast(record)
            if (recent.size > RECENT_RECORDS) recent.removeFirst()
        }
        if (state.revision != before) emitInForce(state.outcomes.filter { it.revision > before })
    }

    /** After a gap, folding may only resume at a snapshot that covers all records before it. */
    private fun acceptSnapshotAfterGap(record: LogRecord): Boolean {
        val snapshot = decode(record.payload) as? ConfigurationRecord.Snapshot ?: return false
        if (snapshot.state.revision + 1 != record.offset) return false
        recent.clear()
        return true
    }

    /** Skips records that the log no longer retains if it holds no later record, in particular no snapshot. */
    private fun skipDroppedRecords(read: ReadOutcome.Records) {
        if (read.floor > state.revision + 1 && read.end == read.floor) state = state.copy(revision = read.floor - 1)
    }

    private fun emitInForce(outcomes: List<ChangeOutcome>) {
        effects += ConfigurationEffect.Applied(state, outcomes)
        for (outcome in outcomes) {
            pending.remove(outcome.id) ?: continue
            val refused = outcome.refusal != null
            val answer = if (refused) ChangeAnswer.Refused(outcome) else ChangeAnswer.Accepted(outcome)
            effects += ConfigurationEffect.Answer(outcome.id, answer)
        }
    }

    private fun scheduleUnknownRetries(now: Long) {
        pending.values.forEach { change ->
            val isCaughtUp = change.recheckFromOffset >= 0 && state.revision + 1 >= end
            if (isCaughtUp && !change.isAppending) {
                change.recheckFromOffset = -1
                change.retryAtMs = now
            }
        }
    }

    private fun advance(change: PendingChange, now: Long) {
        if (now >= change.deadlineMs) {
            pending.remove(change.record.id)
            val answer = if (change.mayBeAppended || change.isAppending) {
                ChangeAnswer.OutcomeUnknown(change.record.id)
            } else {
                ChangeAnswer.NotAppended("the platform's log did not accept the change within $CHANGE_TIMEOUT_MS ms")
            }
            effects += ConfigurationEffect.Answer(change.record.id, answer)
        } else if (!change.isAppending && change.recheckFromOffset < 0 && now >= change.retryAtMs) {
            append(change)
        }
    }

    private fun append(change: PendingChange) {
        change.isAppending = true
        effects += ConfigurationEffect.Append(change.record.id, encode(change.record))
    }

    private fun requestFromPeer(peers: List<PeerRevision>, now: Long) {
        if (now < nextPeerRequestMs) return
        val newest = peers.maxByOrNull { it.revision } ?: return
        if (newest.revision <= state.revision) return
        nextPeerRequestMs = now + PEER_RETRY_MS
        effects += ConfigurationEffect.RequestCatchUp(newest.peer, state.revision)
    }

    private fun appendSnapshotIfDue(now: Long) {
        if (!isReady || state.revision < 0 || pendingSnapshotId != null) return
        if (lastSnapshotMs == 0L) lastSnapshotMs = now
        val snapshotRevision = state.snapshotRevision
        val retained = end - floor
        val isNearFloor = floor > 0 && snapshotRevision < floor + retained / 2 && state.revision > snapshotRevision
        val isDue = now - lastSnapshotMs >= snapshotIntervalMs
        val isTailLong = state.revision - snapshotRevision >= RECENT_RECORDS
        if (!isNearFloor && !isDue && !isTailLong) return
        lastSnapshotMs = now
        val id = "snapshot-$host-${snapshotCount++}"
        pendingSnapshotId = id
        effects += ConfigurationEffect.Append(id, encode(ConfigurationRecord.Snapshot(state.toSnapshot())))
    }
}

/** Configuration that brings a peer up to date: [records], which follow [snapshot] if there is one. */
data class CatchUp(val snapshot: SnapshotState?, val records: List<LogRecord>)
