/*
 * Ensures at-most-once execution of non-idempotent requests. A key with a ticket is held only in the memory of the host
 * that issued the ticket. Any other key is claimed in the platform's log, where the holder named in the first claim in
 * log order holds the key permanently. A key never passes to another holder, so a holder that was paused cannot act on
 * a claim that another host has taken over. For a key that a host no longer knows, the result is "outcome unknown",
 * never "not run".
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

/** Number of epochs, up to and including the current one, whose tickets are accepted for new keys. */
const val ACCEPTED_EPOCHS = 3

/** One incarnation of a host, as a holder of keys. */
@Serializable
data class Holder(val host: String, val incarnation: Long)

/** A record of the claims stream: [holder] claims the right to run the request under [key]. */
@Serializable
data class ClaimRecord(val id: String, val key: String, val holder: Holder, val outcome: OutcomeState? = null)

/** Decision on a request that arrives under a key. */
sealed interface LedgerDecision {
    /** Run the request: the key is new and held by this host. */
    data object Run : LedgerDecision

    /** Append [claim] to the log: the request may run only after its key has been claimed. */
    data class Claim(val claim: ClaimRecord) : LedgerDecision

    /** Forward the request to [holder], which holds the key and decides. */
    data class Forward(val holder: Holder) : LedgerDecision

    /** Return [answer]: the request has already been answered. */
    data class Replay(val answer: RunAnswer) : LedgerDecision

    /** Refuse the request; it must not run. */
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
 * Ledger of the keys held by one incarnation of a host. Not thread-safe.
 *
 * @param capacity maximum number of keys. When it is reached, new keys are refused; existing keys are never evicted to
 *   make room.
 */
class Ledger(val self: Holder, private val capacity: Int = 200_000) {
    private val entries = LinkedHashMap<String, LedgerEntry>()
    private val importedOutcomes = LinkedHashMap<String, OutcomeAnswer>()
    private val claims = LinkedHashMap<String, ClaimRecord>()
    private val claimOffsets = ArrayDeque<ClaimOffset>()
    private val lastClaimOffsets = HashMap<String, Long>()
    private var claimCount = 0L

    /** The current epoch of this host. */
    var epoch = 0L
        private set

    /** Offset of the last folded claim record, -1 if none. */
    var claimsRevision = -1L
        private set

    val size: Int get() = entries.size
    val claimedKeys: Int get() = claims.size

    /**
     * Decides how to handle a request under [key].
     *
     * @param fingerprint fingerprint of the request's content; a key is valid for one content only.
     * @param isLive returns whether an incarnation is a live member.
     */
    fun decide(key: String, fingerprint: String, isLive: (Holder) -> Boolean): LedgerDecision {
        val ticket = ticketOf(key) ?: return decideClaimed(key, fingerprint, isLive)
        val holder = Holder(ticket.host, ticket.incarnation)
        return when {
            holder == self -> decideAsHolder(key, fingerprint, ticket.epoch)
            isLive(holder) -> LedgerDecision.Forward(holder)
            else -> decideWithoutHolder(key)
        }
    }

    /** Returns whether the request under [key] may run here and has not been dispatched. */
    fun isAdmitted(key: String): Boolean = entries[key]?.state == EntryState.ADMITTED

    /** Decides on a [key] whose holder is gone: only what a host transferred when it shut down cleanly is known. */
    fun decideWithoutHolder(key: String): LedgerDecision {
        val outcome = importedOutcomes[key] ?: return LedgerDecision.Refuse(homeHostGone(key))
        outcome.answer?.let { return LedgerDecision.Replay(it) }
        return LedgerDecision.Refuse(outcome.refusal ?: homeHostGone(key))
    }

    /** Marks the request under [key] as dispatched to a target. Returns false if it must not be dispatched. */
    fun dispatch(key: String): Boolean {
        val entry = entries[key] ?: return false
        if (entry.state != EntryState.ADMITTED) return false
        entry.state = EntryState.DISPATCHED
        return true
    }

    /** Reverts a dispatch. Valid only if certainly no bytes of the request left this host. */
    fun revertDispatch(key: String) {
        val entry = entries[key] ?: return
        if (entry.state == EntryState.DISPATCHED) entry.state = EntryState.ADMITTED
    }

    /** Removes a key that was refused as "not run", so that the request may be sent again. */
    fun release(key: String) {
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

    /** Returns the known outcome of [key], or null if this host does not hold the key. */
    fun outcome(key: String): OutcomeAnswer? {
        val entry = entries[key] ?: return importedOutcomes[key]
        return when (entry.state) {
            EntryState.DONE -> OutcomeAnswer(key, OutcomeState.DONE, answer = entry.answer)
            EntryState.FAILED -> OutcomeAnswer(key, OutcomeState.REFUSED, refusal = entry.refusal)
            else -> OutcomeAnswer(key, OutcomeState.IN_PROGRESS)
        }
    }

    /** Returns the outcomes of all requests that ended here, for transfer to other hosts before this one shuts down. */
    fun exportOutcomes(): List<OutcomeAnswer> =
        entries.filterValues { it.state == EntryState.DONE || it.state == EntryState.FAILED }.keys.mapNotNull(::outcome)

    /** Stores [outcomes] of a host that shuts down. Beyond the capacity the oldest are evicted and become unknown. */
    fun importOutcomes(outcomes: List<OutcomeAnswer>) {
        outcomes.forEach { importedOutcomes[it.key] = it }
        while (importedOutcomes.size > capacity) importedOutcomes.remove(importedOutcomes.keys.first())
    }

    /** Returns the holder of [key] by ticket or claim, or null if none is known. */
    fun holderOf(key: String): Holder? = ticketOf(key)?.let { Holder(it.host, it.incarnation) } ?: claims[key]?.holder

    /** Starts the next epoch and removes the entries of epochs whose tickets are no longer accepted for new keys. */
    fun advanceEpoch() {
        epoch++
        val oldest = epoch - ACCEPTED_EPOCHS
        entries.entries.removeIf { (key, entry) ->
            entry.epoch < oldest && entry.state != EntryState.DISPATCHED && key !in claims
        }
    }

    /** Folds a claim record. Returns the result if it is a claim of this host, otherwise null. */
    fun foldClaim(offset: Long, payload: String): ClaimResult? {
        if (offset <= claimsRevision) return null
        claimsRevision = offset
        val record = WireJson.decodeOrNull(ClaimRecord.serializer(), payload) ?: return null
        val first = claims.putIfAbsent(record.key, record) ?: record
        claimOffsets.addLast(ClaimOffset(offset, record.key))
        lastClaimOffsets[record.key] = offset
        if (record.holder != self) return null
        val isFirstClaim = first.id == record.id
        val entry = entries[record.key]
        if (entry?.claimId == record.id && entry.state == EntryState.CLAIMING) {
            if (isFirstClaim || first.holder == self) entry.state = EntryState.ADMITTED else entries.remove(record.key)
        }
        return ClaimResult(record.id, record.key, first.holder)
    }

    /**
     * Removes claims below [floor], the lowest offset that the log still retains. A key stays with its holder while the
     * log retains any claim of it, since hosts that start now take a later claim for the first one.
     */
    fun dropClaimsBelow(floor: Long) {
        while (claimOffsets.isNotEmpty() && claimOffsets.first().offset < floor) {
            val dropped = claimOffsets.removeFirst()
            if (lastClaimOffsets.remove(dropped.key, dropped.offset)) claims.remove(dropped.key)
        }
    }

    private fun decideAsHolder(key: String, fingerprint: String, keyEpoch: Long): LedgerDecision {
        decisionForExisting(key, fingerprint)?.let { return it }
        if (keyEpoch <= epoch - ACCEPTED_EPOCHS) return LedgerDecision.Refuse(keyExpired(key))
        return admit(key, fingerprint) { LedgerDecision.Run }
    }

    private fun decideClaimed(key: String, fingerprint: String, isLive: (Holder) -> Boolean): LedgerDecision {
        decisionForExisting(key, fingerprint)?.let { return it }
        val holder = claims[key]?.holder
        return when {
            holder == null -> admit(key, fingerprint) { entry -> startClaim(key, entry) }
            holder == self -> admit(key, fingerprint) { LedgerDecision.Run }
            isLive(holder) -> LedgerDecision.Forward(holder)
            else -> decideWithoutHolder(key)
        }
    }

    private fun startClaim(key: String, entry: LedgerEntry): LedgerDecision {
        val id = "${self.host}-${self.incarnation.toString(36)}-${claimCount++}"
        entry.state = EntryState.CLAIMING
        entry.claimId = id
        return LedgerDecision.Claim(ClaimRecord(id, key, self))
    }

    private fun decisionForExisting(key: String, fingerprint: String): LedgerDecision? {
        val entry = entries[key] ?: return null
        val answer = entry.answer
        return when {
            entry.fingerprint != fingerprint -> LedgerDecision.Refuse(contentMismatch(key))
            answer != null -> LedgerDecision.Replay(answer)
            entry.state == EntryState.FAILED -> LedgerDecision.Refuse(checkNotNull(entry.refusal))
            else -> LedgerDecision.Refuse(inProgress(key))
        }
    }

    private fun admit(key: String, fingerprint: String, decide: (LedgerEntry) -> LedgerDecision): LedgerDecision {
        if (entries.size >= capacity) return LedgerDecision.Refuse(ledgerFull(key))
        val entry = LedgerEntry(epoch, fingerprint)
        entries[key] = entry
        return decide(entry)
    }
}

/** Result of the claim [id] of this host: the key is held by [holder]. */
data class ClaimResult(val id: String, val key: String, val holder: Holder)

private class ClaimOffset(val offset: Long, val key: String)

private const val IN_PROGRESS_RETRY_MS = 200L
private const val LEDGER_FULL_RETRY_MS = 5_000L

private fun inProgress(key: String) = Refusal(
    RefusalKind.IN_PROGRESS,
    RefusalReason.KEY_IN_USE,
    "the request under this key is in progress; ask for its outcome",
    IN_PROGRESS_RETRY_MS,
    key,
)

private fun contentMismatch(key: String) = Refusal(
    RefusalKind.FAILED,
    RefusalReason.KEY_IN_USE,
    "this key was already used with different content; use a new key for new content",
    request = key,
)

private fun homeHostGone(key: String) = Refusal(
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
    "the ledger of this host is full; ask for another address",
    LEDGER_FULL_RETRY_MS,
    key,
)
