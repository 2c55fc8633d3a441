/*
 * At most once. A key with a ticket lives in the memory of the ticket's home host and nowhere else; any other key is
 * claimed in the platform's log, where the first claim in log order owns the key for good. Ownership never moves, so a
 * holder that was paused cannot act on a claim that another took over. What a host no longer knows is "outcome
 * unknown", never "not run".
 */
package org.sesamerouter.ledger

import kotlinx.serialization.Serializable
import org.sesamerouter.api.OutcomeAnswer
import org.sesamerouter.api.OutcomeState
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RefusalReason
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull

/** Epochs whose tickets may still open new keys, counted back from the current one. */
const val ACCEPTED_EPOCHS = 3

/** A host as the ledger names it. */
@Serializable
data class Holder(val host: String, val incarnation: Long)

/** A record of the claims stream: [holder] wants to run the request under [key]. */
@Serializable
data class ClaimRecord(val id: String, val key: String, val holder: Holder, val outcome: OutcomeState? = null)

/** What is to be done with a request that arrives under a key. */
sealed interface LedgerDecision {
    /** The key is new and bound to this host: run the request. */
    data object Run : LedgerDecision

    /** The key needs a claim in the log before it runs; [claim] is to be appended. */
    data class Claim(val claim: ClaimRecord) : LedgerDecision

    /** The key belongs to [holder]; that host decides. */
    data class Forward(val holder: Holder) : LedgerDecision

    /** The request was answered already. */
    data class Replay(val answer: RunAnswer) : LedgerDecision

    /** The request must not run. */
    data class Refuse(val refusal: Refusal) : LedgerDecision
}

private enum class EntryState { CLAIMING, ADMITTED, DISPATCHED, DONE, FAILED }

private class LedgerEntry(val epoch: Long, val fingerprint: String) {
    var state = EntryState.ADMITTED
    var answer: RunAnswer? = null
    var refusal: Refusal? = null
    var claimId: String? = null
}

/**
 * The keys of one incarnation of one host. Not thread-safe.
 *
 * @param capacity most keys that are kept; beyond it new ones are refused and none is dropped early.
 */
class Ledger(val self: Holder, private val capacity: Int = 200_000) {
    private val entries = LinkedHashMap<String, LedgerEntry>()
    private val inherited = LinkedHashMap<String, OutcomeAnswer>()
    private val claims = LinkedHashMap<String, ClaimRecord>()
    private val claimOffsets = ArrayDeque<ClaimOffset>()
    private var claimCount = 0L

    /** The current epoch of this host. */
    var epoch = 0L
        private set

    /** Offset up to which claims were folded, -1 for none. */
    var claimsRevision = -1L
        private set

    val size: Int get() = entries.size
    val claimedKeys: Int get() = claims.size

    /**
     * Decides what to do with a request under [key].
     *
     * @param fingerprint of the request's content; a key serves one content only.
     * @param isLive tells whether an incarnation is a live member.
     */
    fun begin(key: String, fingerprint: String, isLive: (Holder) -> Boolean): LedgerDecision {
        val ticket = ticketOf(key) ?: return beginClaimed(key, fingerprint, isLive)
        val home = Holder(ticket.host, ticket.incarnation)
        return when {
            home == self -> beginAtHome(key, fingerprint, ticket.epoch)
            isLive(home) -> LedgerDecision.Forward(home)
            else -> inheritedOr(key)
        }
    }

    /** Marks that the request under [key] goes to a target now. Returns false when it must not. */
    fun dispatch(key: String): Boolean {
        val entry = entries[key] ?: return false
        if (entry.state != EntryState.ADMITTED) return false
        entry.state = EntryState.DISPATCHED
        return true
    }

    /** Takes back a dispatch whose bytes surely never left this host. */
    fun neverSent(key: String) {
        val entry = entries[key] ?: return
        if (entry.state == EntryState.DISPATCHED) entry.state = EntryState.ADMITTED
    }

    /** Forgets a key that was refused as "not run", so that it may be sent again. */
    fun notRun(key: String) {
        val entry = entries[key] ?: return
        if (entry.state == EntryState.ADMITTED || entry.state == EntryState.CLAIMING) entries.remove(key)
    }

    /** Records the answer under [key]. */
    fun done(key: String, answer: RunAnswer) {
        val entry = entries[key] ?: return
        entry.state = EntryState.DONE
        entry.answer = answer
    }

    /** Records that the request under [key] ended without an answer. */
    fun failed(key: String, refusal: Refusal) {
        val entry = entries[key] ?: return
        if (entry.state != EntryState.DISPATCHED) return
        entry.state = EntryState.FAILED
        entry.refusal = refusal
    }

    /** Returns what is known of [key], or null when this host does not hold it. */
    fun outcome(key: String): OutcomeAnswer? {
        val entry = entries[key] ?: return inherited[key]
        return when (entry.state) {
            EntryState.DONE -> OutcomeAnswer(key, OutcomeState.DONE, answer = entry.answer)
            EntryState.FAILED -> OutcomeAnswer(key, OutcomeState.REFUSED, refusal = entry.refusal)
            else -> OutcomeAnswer(key, OutcomeState.IN_PROGRESS)
        }
    }

    /** Returns the outcomes of all requests that ended here, to be handed to other hosts before this one stops. */
    fun export(): List<OutcomeAnswer> =
        entries.filterValues { it.state == EntryState.DONE || it.state == EntryState.FAILED }.keys.mapNotNull(::outcome)

    /** Keeps [outcomes] of a host that stops; beyond the capacity the oldest are dropped and become unknown. */
    fun inherit(outcomes: List<OutcomeAnswer>) {
        outcomes.forEach { inherited[it.key] = it }
        while (inherited.size > capacity) inherited.remove(inherited.keys.first())
    }

    /** Returns who holds [key] by ticket or claim, or null when nobody is known to. */
    fun holderOf(key: String): Holder? = ticketOf(key)?.let { Holder(it.host, it.incarnation) } ?: claims[key]?.holder

    /** Starts the next epoch and drops the records of epochs whose tickets open no new keys any more. */
    fun advanceEpoch() {
        epoch++
        val oldest = epoch - ACCEPTED_EPOCHS
        entries.entries.removeIf { (key, entry) ->
            entry.epoch < oldest && entry.state != EntryState.DISPATCHED && key !in claims
        }
    }

    /** Folds a claim record; returns the id of a claim of this host that lost or won, for the one who waits. */
    fun foldClaim(offset: Long, payload: String): ClaimResult? {
        if (offset <= claimsRevision) return null
        claimsRevision = offset
        val record = WireJson.decodeOrNull(ClaimRecord.serializer(), payload) ?: return null
        val first = claims.putIfAbsent(record.key, record) ?: record
        claimOffsets.addLast(ClaimOffset(offset, record.key))
        if (record.holder != self) return null
        val won = first.id == record.id
        val entry = entries[record.key]
        if (entry?.claimId == record.id && entry.state == EntryState.CLAIMING) {
            if (won || first.holder == self) entry.state = EntryState.ADMITTED else entries.remove(record.key)
        }
        return ClaimResult(record.id, record.key, first.holder)
    }

    /** Drops claims below [floor], the lowest offset that the log still keeps. */
    fun dropClaimsBelow(floor: Long) {
        while (claimOffsets.isNotEmpty() && claimOffsets.first().offset < floor) {
            claims.remove(claimOffsets.removeFirst().key)
        }
    }

    private fun beginAtHome(key: String, fingerprint: String, keyEpoch: Long): LedgerDecision {
        known(key, fingerprint)?.let { return it }
        if (keyEpoch <= epoch - ACCEPTED_EPOCHS) return LedgerDecision.Refuse(keyExpired(key))
        return admit(key, fingerprint) { LedgerDecision.Run }
    }

    private fun beginClaimed(key: String, fingerprint: String, isLive: (Holder) -> Boolean): LedgerDecision {
        known(key, fingerprint)?.let { return it }
        val holder = claims[key]?.holder
        return when {
            holder == null -> admit(key, fingerprint) { entry -> startClaim(key, entry) }
            holder == self -> admit(key, fingerprint) { LedgerDecision.Run }
            isLive(holder) -> LedgerDecision.Forward(holder)
            else -> inheritedOr(key)
        }
    }

    /** What a host that stopped as planned handed over; of any other key the outcome is unknown. */
    private fun inheritedOr(key: String): LedgerDecision {
        val outcome = inherited[key] ?: return LedgerDecision.Refuse(homeGone(key))
        outcome.answer?.let { return LedgerDecision.Replay(it) }
        return LedgerDecision.Refuse(outcome.refusal ?: homeGone(key))
    }

    private fun startClaim(key: String, entry: LedgerEntry): LedgerDecision {
        val id = "${self.host}-${self.incarnation.toString(36)}-${claimCount++}"
        entry.state = EntryState.CLAIMING
        entry.claimId = id
        return LedgerDecision.Claim(ClaimRecord(id, key, self))
    }

    private fun known(key: String, fingerprint: String): LedgerDecision? {
        val entry = entries[key] ?: return null
        val answer = entry.answer
        return when {
            entry.fingerprint != fingerprint -> LedgerDecision.Refuse(otherContent(key))
            answer != null -> LedgerDecision.Replay(answer)
            entry.state == EntryState.FAILED -> LedgerDecision.Refuse(checkNotNull(entry.refusal))
            else -> LedgerDecision.Refuse(inProgress(key))
        }
    }

    private fun admit(key: String, fingerprint: String, then: (LedgerEntry) -> LedgerDecision): LedgerDecision {
        if (entries.size >= capacity) return LedgerDecision.Refuse(ledgerFull(key))
        val entry = LedgerEntry(epoch, fingerprint)
        entries[key] = entry
        return then(entry)
    }
}

/** The claim [id] of this host was folded; the key belongs to [holder]. */
data class ClaimResult(val id: String, val key: String, val holder: Holder)

private class ClaimOffset(val offset: Long, val key: String)

private const val IN_PROGRESS_RETRY_MS = 200L
private const val FULL_RETRY_MS = 5_000L

private fun inProgress(key: String) = Refusal(
    RefusalKind.IN_PROGRESS,
    RefusalReason.KEY_IN_USE,
    "the request under this key runs now; ask for its outcome",
    IN_PROGRESS_RETRY_MS,
    key,
)

private fun otherContent(key: String) = Refusal(
    RefusalKind.FAILED,
    RefusalReason.KEY_IN_USE,
    "this key was sent with other content; send new content under a new key",
    request = key,
)

private fun homeGone(key: String) = Refusal(
    RefusalKind.OUTCOME_UNKNOWN,
    RefusalReason.HOME_HOST_GONE,
    "the host that held this key is gone; check with the service whether the request took effect, then use a new key",
    request = key,
)

private fun keyExpired(key: String) = Refusal(
    RefusalKind.OUTCOME_UNKNOWN,
    RefusalReason.KEY_EXPIRED,
    "the ticket of this key is too old; check whether the request took effect, then ask for a new address and ticket",
    request = key,
)

private fun ledgerFull(key: String) = Refusal(
    RefusalKind.NOT_RUN,
    RefusalReason.LEDGER_FULL,
    "this host holds as many keys as it can; ask for another address",
    FULL_RETRY_MS,
    key,
)
