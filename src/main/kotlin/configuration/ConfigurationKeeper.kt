/*
 * Keeps one host's copy of the configuration up to date and carries its operators' changes into the log. A state
 * machine without I/O. Records come from the log, or from peers while the log cannot be read; the revision never goes
 * back. A change whose append has an unknown outcome is looked for in the stream and appended again, under the same
 * id, only after a later read did not show it.
 */
package org.sesamerouter.configuration

import org.sesamerouter.log.AppendOutcome
import org.sesamerouter.log.LOG_RETRY_MS
import org.sesamerouter.log.LOG_WAIT_MS
import org.sesamerouter.log.LogRecord
import org.sesamerouter.log.ReadOutcome

private const val RECENT_RECORDS = 256
private const val APPEND_RETRY_MS = 300L
private const val CHANGE_PATIENCE_MS = 8_000L
private const val PEER_RETRY_MS = 500L

/** What became of an operator's change. */
sealed interface ChangeAnswer {
    /** The change won and is in force here. */
    data class Accepted(val outcome: ChangeOutcome) : ChangeAnswer

    /** The change lost or was not valid; nothing changed. */
    data class Refused(val outcome: ChangeOutcome) : ChangeAnswer

    /** The log did not take the change; nothing changed. */
    data class NotAppended(val cause: String) : ChangeAnswer

    /** The change may still take effect; the watch and the resource will show it. */
    data class Undecided(val id: String) : ChangeAnswer
}

/** What the keeper wants done. */
sealed interface KeeperEffect {
    /** Read the configuration stream from [offset]. */
    data class Read(val offset: Long, val waitMs: Long) : KeeperEffect

    /** Append [payload]; the outcome belongs to [id]. */
    data class Append(val id: String, val payload: String) : KeeperEffect

    /** Ask the peer at [peer] for what follows [revision]. */
    data class AskPeer(val peer: String, val revision: Long) : KeeperEffect

    /** Tell whoever waits for the change [id]. */
    data class Answer(val id: String, val answer: ChangeAnswer) : KeeperEffect

    /** [state] is in force now; [outcomes] are the changes folded on the way. */
    data class InForce(val state: ConfigurationState, val outcomes: List<ChangeOutcome>) : KeeperEffect
}

/** A peer that may have newer configuration. */
data class PeerRevision(val peer: String, val revision: Long)

/** The keeper of one host. Not thread-safe. */
class ConfigurationKeeper(private val host: String, private val snapshotIntervalMs: Long) {
    private val recent = ArrayDeque<LogRecord>()
    private val pending = LinkedHashMap<String, PendingChange>()
    private val effects = ArrayList<KeeperEffect>()
    private var reading = false
    private var nextReadMs = Long.MIN_VALUE
    private var nextPeerMs = Long.MIN_VALUE
    private var floor = 0L
    private var end = 0L
    private var snapshotCount = 0L
    private var snapshotAtMs = 0L
    private var snapshotPending: String? = null

    /** The configuration in force here. */
    var state = ConfigurationState()
        private set

    /** When the log was last read; long ago when it never was. */
    var logReadMs = Long.MIN_VALUE / 2
        private set

    /** Whether this host knows the configuration: it read the log to its end once, or has a peer's state. */
    var isReady = false
        private set

    private class PendingChange(val record: ConfigurationRecord.Change, val untilMs: Long) {
        var appending = false
        var mayStand = false
        var checkFromEnd = -1L
        var retryAtMs = 0L
    }

    /** Starts a change. [KeeperEffect.Answer] with its id follows. */
    fun change(record: ConfigurationRecord.Change, now: Long): List<KeeperEffect> = run {
        val generation = state.resources[ResourceKey(record.kind, record.name)]?.generation ?: 0
        val based = record.copy(base = record.base ?: generation)
        val change = PendingChange(based, now + CHANGE_PATIENCE_MS)
        pending[record.id] = change
        append(change)
    }

    /** Takes in the outcome of an append. */
    fun onAppended(id: String, outcome: AppendOutcome, now: Long): List<KeeperEffect> = run {
        if (id == snapshotPending) snapshotPending = null
        val change = pending[id] ?: return@run
        change.appending = false
        when (outcome) {
            is AppendOutcome.Appended -> change.mayStand = true

            is AppendOutcome.Unknown -> {
                change.mayStand = true
                change.checkFromEnd = end
            }

            is AppendOutcome.Refused -> Unit
        }
        change.retryAtMs = now + APPEND_RETRY_MS
        if (outcome is AppendOutcome.Appended) change.retryAtMs = Long.MAX_VALUE
    }

    /** Takes in the outcome of a read. */
    fun onRead(outcome: ReadOutcome, now: Long): List<KeeperEffect> = run {
        reading = false
        when (outcome) {
            is ReadOutcome.Unavailable -> nextReadMs = now + LOG_RETRY_MS

            is ReadOutcome.Records -> {
                logReadMs = now
                floor = outcome.floor
                end = outcome.end
                foldAll(outcome.records)
                skipTo(outcome)
                if (state.revision + 1 >= outcome.end) isReady = true
                recheckUnknown(now)
                startRead()
            }
        }
    }

    /** Takes in what a peer sent: a state, if [snapshot] is given, and the records that follow it. */
    fun onPeer(snapshot: SnapshotState?, records: List<LogRecord>): List<KeeperEffect> = run {
        if (snapshot != null && snapshot.revision > state.revision) {
            state = snapshot.toState()
            recent.clear()
            inForce(snapshot.outcomes)
        }
        foldAll(records)
        if (state.revision >= 0) isReady = true
    }

    /** Returns what a peer needs that has everything up to and with [revision]: a state, or null, and records. */
    fun catchUp(revision: Long): CatchUp {
        val first = recent.firstOrNull()?.offset ?: Long.MAX_VALUE
        if (revision >= state.revision) return CatchUp(null, emptyList())
        if (first > revision + 1) return CatchUp(state.toSnapshot(), emptyList())
        return CatchUp(null, recent.filter { it.offset > revision })
    }

    /** Lets time go on. [peers] are live hosts; [writesSnapshots] tells whether that duty falls to this host now. */
    fun onTick(peers: List<PeerRevision>, writesSnapshots: Boolean, now: Long): List<KeeperEffect> = run {
        if (!reading && now >= nextReadMs) startRead()
        askPeer(peers, now)
        pending.values.toList().forEach { drive(it, now) }
        if (writesSnapshots) maybeSnapshot(now)
    }

    private fun startRead() {
        reading = true
        effects += KeeperEffect.Read(state.revision + 1, LOG_WAIT_MS)
    }

    private fun run(block: () -> Unit): List<KeeperEffect> {
        block()
        val out = effects.toList()
        effects.clear()
        return out
    }

    private fun foldAll(records: List<LogRecord>) {
        val before = state.revision
        records.filter { it.offset > before }.forEach { record ->
            val isGap = record.offset > state.revision + 1
            if (isGap && !isRestart(record)) return@forEach
            val previous = state.snapshotRevision
            state = state.fold(record)
            if (state.snapshotRevision != previous) snapshotAtMs = 0
            recent.addLast(record)
            if (recent.size > RECENT_RECORDS) recent.removeFirst()
        }
        if (state.revision != before) inForce(state.outcomes.filter { it.revision > before })
    }

    /** A record beyond a gap may only be folded when it is a snapshot that stands for all before it. */
    private fun isRestart(record: LogRecord): Boolean {
        val snapshot = decode(record.payload) as? ConfigurationRecord.Snapshot ?: return false
        if (snapshot.state.revision + 1 != record.offset) return false
        recent.clear()
        return true
    }

    /** Where the log dropped records that were never seen and no snapshot stands for them, there is nothing to fold. */
    private fun skipTo(read: ReadOutcome.Records) {
        if (read.floor > state.revision + 1 && read.end == read.floor) state = state.copy(revision = read.floor - 1)
    }

    private fun inForce(outcomes: List<ChangeOutcome>) {
        effects += KeeperEffect.InForce(state, outcomes)
        for (outcome in outcomes) {
            pending.remove(outcome.id) ?: continue
            val refused = outcome.refusal != null
            val answer = if (refused) ChangeAnswer.Refused(outcome) else ChangeAnswer.Accepted(outcome)
            effects += KeeperEffect.Answer(outcome.id, answer)
        }
    }

    private fun recheckUnknown(now: Long) {
        pending.values.forEach { change ->
            val seenPast = change.checkFromEnd >= 0 && state.revision + 1 >= end
            if (seenPast && !change.appending) {
                change.checkFromEnd = -1
                change.retryAtMs = now
            }
        }
    }

    private fun drive(change: PendingChange, now: Long) {
        if (now >= change.untilMs) {
            pending.remove(change.record.id)
            val answer = if (change.mayStand || change.appending) {
                ChangeAnswer.Undecided(change.record.id)
            } else {
                ChangeAnswer.NotAppended("the platform's log took nothing within $CHANGE_PATIENCE_MS ms")
            }
            effects += KeeperEffect.Answer(change.record.id, answer)
        } else if (!change.appending && change.checkFromEnd < 0 && now >= change.retryAtMs) {
            append(change)
        }
    }

    private fun append(change: PendingChange) {
        change.appending = true
        effects += KeeperEffect.Append(change.record.id, encode(change.record))
    }

    private fun askPeer(peers: List<PeerRevision>, now: Long) {
        if (now < nextPeerMs) return
        val newest = peers.maxByOrNull { it.revision } ?: return
        if (newest.revision <= state.revision) return
        nextPeerMs = now + PEER_RETRY_MS
        effects += KeeperEffect.AskPeer(newest.peer, state.revision)
    }

    private fun maybeSnapshot(now: Long) {
        if (!isReady || state.revision < 0 || snapshotPending != null) return
        if (snapshotAtMs == 0L) snapshotAtMs = now
        val covered = state.snapshotRevision
        val kept = end - floor
        val nearFloor = floor > 0 && covered < floor + kept / 2 && state.revision > covered
        val due = now - snapshotAtMs >= snapshotIntervalMs
        val isLong = state.revision - covered >= RECENT_RECORDS
        if (!nearFloor && !due && !isLong) return
        snapshotAtMs = now
        val id = "snapshot-$host-${snapshotCount++}"
        snapshotPending = id
        effects += KeeperEffect.Append(id, encode(ConfigurationRecord.Snapshot(state.toSnapshot())))
    }
}

/** What a peer needs to catch up. */
data class CatchUp(val snapshot: SnapshotState?, val records: List<LogRecord>)
