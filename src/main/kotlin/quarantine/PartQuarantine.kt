/*
 * Finds the parts of prompts that crash targets. Each crash makes suspects of the parts of the responses that had just
 * begun there, except the last part of a prompt, which no other request holds. A response that gets past its beginning
 * clears its parts, wherever in the fleet it runs. What is left after a few crashes is held back by all hosts. One
 * request in the fleet tries a part again from time to time. A state machine without I/O.
 *
 * Hosts tell each other of crashes, cleared parts and parts that are held back; a crash counts once, by the incarnation
 * of its target, however many hosts report it.
 */
package org.sesamerouter.quarantine

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Crashes after which a part is held back, unless a later part of the same prompts may be the cause. Only those at
 * which a response had begun and no event of it had come count in full; the others count half.
 */
const val CRASHES_TO_HOLD_PART = 3

/** Time after these crashes in which other hosts may clear the part; its requests wait that long. */
const val PART_SETTLE_MS = 300L

private const val REMOTE_SETTLE_MS = 1_000L // a host with evidence of its own has told the others by then

private const val FRESH_WEIGHT = 2
private const val WEIGHT = 1
private const val WEIGHT_TO_HOLD = CRASHES_TO_HOLD_PART * FRESH_WEIGHT
private const val WEIGHT_OF_RIVAL = FRESH_WEIGHT + WEIGHT // more than one crash
private const val MAX_AMBIGUOUS_WEIGHT = 3 * WEIGHT_TO_HOLD // of three crashing parts, one has enough by then
private const val MAX_PARTS_OF_PROMPT = 16
private const val MAX_ID_LENGTH = 64
private const val MAX_CRASHES = 1_024
private const val MAX_REPORTED_CRASHES = 8
private const val MAX_SNAPSHOT = 256
private const val MAX_CLEARED = 1_024
private const val MAX_CLEARED_CRASHES = 64
private const val FIRST_TRIAL_MS = 30_000L
private const val TRIAL_INTERVAL_FACTOR = 10 // users allow three requests with the part after the fifth crash
private const val MAX_INTERVAL_STEPS = 8
private const val MAX_TRIAL_INTERVAL_MS = 1_800_000L
private const val TRIAL_MS = 10_000L // a trial that has not ended by then was never sent
private const val TRIAL_RESULT_MS = 2_000L // a response that does not crash its target has begun by then
private const val IN_FLIGHT_MS = 3_000L // requests that were at targets by then are no trials

/** What is known of a part. */
enum class PartState {
    CLEAR,

    /** Targets crashed on it, too few to hold it back. */
    SUSPECT,

    /** Enough targets crashed on it, but another host may still clear it. */
    PENDING,
    HELD_BACK,
}

/**
 * A part that is held back, as hosts tell each other.
 *
 * @property depth place of the part in its prompts; 0 is the first.
 * @property crashes incarnations of targets that crashed on it.
 * @property trials how often it was tried again and crashed a target.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class HeldPart(
    @CborLabel(1) val part: String,
    @CborLabel(2) val depth: Int,
    @CborLabel(3) val crashes: List<String>,
    @CborLabel(4) val trials: Int,
    @CborLabel(5) val nextTrialInMs: Long,
)

/** Why a host changed its mind about a part. */
enum class PartChangeKind { SUSPECTED, CLEARED, HELD_BACK, TRIED, CRASHED_AGAIN }

/**
 * A change of what this host believes about [part].
 *
 * @property crashes incarnations that count against it after the change, or did before it was cleared.
 * @property isOwn whether this host has evidence of its own, so that the other hosts learn it from here.
 */
data class PartChange(val kind: PartChangeKind, val part: String, val crashes: List<String>, val isOwn: Boolean)

/**
 * The suspected parts known to one host. Not thread-safe.
 *
 * @param capacity maximum number of parts; the suspect with the oldest crash is evicted first.
 * @param expiryMs time after the last crash at which a part is forgotten unless it is to be tried again.
 */
class PartQuarantine(private val capacity: Int = 4_096, private val expiryMs: Long = 600_000) {
    private class Suspect(val part: String) {
        var depth = 0

        /** Incarnations that crashed on this part and on no part that is held back, with their weights. */
        val weights = LinkedHashMap<String, Int>()
        val crashes: Set<String> get() = weights.keys
        val weight: Int get() = weights.values.sum()
        var lastCrashMs = 0L

        /** When there were first enough crashes to hold the part back. */
        var enoughSinceMs = 0L
        var hasOwnEvidence = false
        var heldSinceMs: Long? = null
        var trials = 0
        var nextTrialMs = 0L
    }

    /** The crashes that a part was cleared of; [isOwn] if a response to this host did so. */
    private class Cleared(val crashes: Set<String>, val isOwn: Boolean)

    private val suspects = LinkedHashMap<String, Suspect>()

    /** The part that is held back for the crash of an incarnation. */
    private val explained = LinkedHashMap<String, String>()

    /** The crashes of which parts were cleared, for hosts that missed it. */
    private val cleared = LinkedHashMap<String, Cleared>()
    private val changes = ArrayList<PartChange>()

    /** Number of parts that are suspected or held back. */
    val size: Int get() = suspects.size

    /** Number of parts that are held back. */
    val heldBack: Int get() = suspects.values.count { it.heldSinceMs != null }

    /** Whether a part waits for other hosts to clear it. */
    val hasPending: Boolean get() = suspects.values.any { it.heldSinceMs == null && it.hasEnoughCrashes() }

    /** Returns the changes since the last call. */
    fun takeChanges(): List<PartChange> = changes.toList().also { changes.clear() }

    /**
     * Records that [incarnation] crashed while a response to a prompt with [parts], in order and without the last one,
     * had just begun there, and no event of it had come if it [isFresh]; [isOwn] if it was a response to this host.
     * Returns whether this was new.
     */
    fun onCrash(parts: List<String>, incarnation: String, isFresh: Boolean, isOwn: Boolean, now: Long): Boolean {
        val ids = parts.take(MAX_PARTS_OF_PROMPT).map { it.take(MAX_ID_LENGTH) }
        val held = ids.firstNotNullOfOrNull { id -> suspects[id]?.takeIf { it.heldSinceMs != null } }
        if (held != null) return onCrashOfHeld(held, incarnation, now)
        if (incarnation in explained) return false
        var isNew = false
        val weight = if (isFresh) FRESH_WEIGHT else WEIGHT
        ids.forEachIndexed { depth, id ->
            val suspect = suspectOf(id, now)
            suspect.depth = maxOf(suspect.depth, depth)
            if (isOwn) suspect.hasOwnEvidence = true
            isNew = addCrash(suspect, incarnation, weight, isOwn, now) || isNew
        }
        while (suspects.size > capacity) evict()
        return isNew
    }

    /** Returns the suspect [id], as the one whose crash is the most recent. */
    private fun suspectOf(id: String, now: Long): Suspect {
        val suspect = suspects.remove(id)?.takeIf { now - it.lastCrashMs < expiryMs } ?: Suspect(id)
        suspects[id] = suspect
        return suspect
    }

    private fun addCrash(suspect: Suspect, incarnation: String, weight: Int, isOwn: Boolean, now: Long): Boolean {
        val before = suspect.weights[incarnation] ?: 0
        if (weight <= before || suspect.weights.size >= MAX_CRASHES) return false
        val hadEnough = suspect.hasEnoughCrashes()
        suspect.weights[incarnation] = weight
        suspect.lastCrashMs = now
        if (!hadEnough && suspect.hasEnoughCrashes()) suspect.enoughSinceMs = now
        changes += PartChange(PartChangeKind.SUSPECTED, suspect.part, suspect.crashes.toList(), isOwn)
        return true
    }

    private fun evict() {
        val oldest = suspects.values.firstOrNull { it.heldSinceMs == null } ?: suspects.values.first()
        suspects.remove(oldest.part)
    }

    private fun onCrashOfHeld(held: Suspect, incarnation: String, now: Long): Boolean {
        if (explained.put(incarnation, held.part) == held.part) return false
        trimExplained()
        suspects.values.filter { it !== held }.forEach { it.weights.remove(incarnation) }
        held.weights[incarnation] = FRESH_WEIGHT
        held.lastCrashMs = now
        val wasInFlight = now - checkNotNull(held.heldSinceMs) < IN_FLIGHT_MS
        if (!wasInFlight) held.trials++
        held.nextTrialMs = maxOf(held.nextTrialMs, now + trialIntervalMs(held.trials))
        changes += PartChange(PartChangeKind.CRASHED_AGAIN, held.part, held.crashes.toList(), isOwn = false)
        return true
    }

    private fun trialIntervalMs(trials: Int): Long = generateSequence(FIRST_TRIAL_MS) {
        minOf(MAX_TRIAL_INTERVAL_MS, it * TRIAL_INTERVAL_FACTOR)
    }.elementAt(minOf(trials, MAX_INTERVAL_STEPS))

    private fun trimExplained() {
        while (explained.size > MAX_CRASHES) explained.remove(explained.keys.first())
    }

    /** Returns the state of [part] and holds it back if it is time to. */
    fun stateOf(part: String, now: Long): PartState {
        val suspect = suspects[part.take(MAX_ID_LENGTH)] ?: return PartState.CLEAR
        if (suspect.heldSinceMs != null) return PartState.HELD_BACK
        if (now - suspect.lastCrashMs >= expiryMs || suspect.crashes.isEmpty()) {
            suspects.remove(suspect.part)
            return PartState.CLEAR
        }
        if (!suspect.hasEnoughCrashes()) return PartState.SUSPECT
        if (!suspect.isSettled(now)) return PartState.PENDING
        holdBackSettled(now)
        return when {
            suspect.heldSinceMs != null -> PartState.HELD_BACK
            suspect.part in suspects -> PartState.SUSPECT
            else -> PartState.CLEAR
        }
    }

    private fun Suspect.isSettled(now: Long) =
        now - enoughSinceMs >= if (hasOwnEvidence) PART_SETTLE_MS else REMOTE_SETTLE_MS

    private fun Suspect.hasEnoughCrashes() = weight >= WEIGHT_TO_HOLD

    /** Holds back the parts that explain the most crashes, the later part of a prompt first. */
    private fun holdBackSettled(now: Long) {
        while (true) {
            val next = suspects.values
                .filter { it.heldSinceMs == null && it.hasEnoughCrashes() && it.isSettled(now) }
                .sortedWith(compareBy({ -it.weight }, { -it.depth }, { it.part }))
                .firstOrNull { weightOfItsOwn(it) >= WEIGHT_TO_HOLD } ?: return
            holdBack(next, now, now + FIRST_TRIAL_MS, isOwn = true)
        }
    }

    /**
     * Weight of the crashes of [suspect] for which no later part of the prompts is suspected of another crash too. An
     * early part is common to many prompts, so it is present at the crashes that any of the later parts cause. From
     * [MAX_AMBIGUOUS_WEIGHT] on, a later part that causes them has enough crashes itself.
     */
    private fun weightOfItsOwn(suspect: Suspect): Int {
        val weightOfRival = if (suspect.weight < MAX_AMBIGUOUS_WEIGHT) WEIGHT_OF_RIVAL else WEIGHT_TO_HOLD
        val later = suspects.values.filter {
            it.heldSinceMs == null && it.depth > suspect.depth && it.weight >= weightOfRival
        }
        return suspect.weights.entries.sumOf { (crash, weight) ->
            if (later.none { crash in it.crashes }) weight else 0
        }
    }

    private fun holdBack(suspect: Suspect, now: Long, nextTrialMs: Long, isOwn: Boolean) {
        suspect.heldSinceMs = now
        suspect.nextTrialMs = nextTrialMs
        suspect.crashes.forEach { explained[it] = suspect.part }
        trimExplained()
        for (other in suspects.values.toList()) {
            if (other === suspect || other.heldSinceMs != null) continue
            other.weights.keys.removeAll(suspect.crashes)
            if (other.crashes.isEmpty()) suspects.remove(other.part)
        }
        changes += PartChange(PartChangeKind.HELD_BACK, suspect.part, suspect.crashes.toList(), isOwn)
    }

    /** Number of crashes that count against the most suspected of [parts]; 0 if all are clear. */
    fun suspicion(parts: List<String>, now: Long): Int =
        parts.maxOfOrNull { if (stateOf(it, now) == PartState.CLEAR) 0 else crashesOf(it) } ?: 0

    private fun crashesOf(part: String) = suspects[part.take(MAX_ID_LENGTH)]?.crashes?.size ?: 0

    /** Returns the part of [parts] that is held back, or else the one that waits to be, with its state. */
    fun strictest(parts: List<String>, now: Long): Pair<String, PartState>? {
        if (suspects.isEmpty()) return null
        return parts.map { it to stateOf(it, now) }.filter { it.second >= PartState.PENDING }.maxByOrNull { it.second }
    }

    /** The incarnations that crashed on [part]. */
    fun crashes(part: String): List<String> = suspects[part.take(MAX_ID_LENGTH)]?.crashes?.toList().orEmpty()

    /**
     * Records that a response to a prompt with [parts] got past its beginning; [isOwn] if at this host. Such a response
     * clears parts that are held back as well.
     */
    fun onSound(parts: List<String>, isOwn: Boolean) {
        if (suspects.isEmpty()) return
        for (id in parts.map { it.take(MAX_ID_LENGTH) }) {
            val suspect = suspects.remove(id) ?: continue
            suspect.crashes.forEach(explained::remove)
            recordCleared(id, suspect.crashes, isOwn)
            changes += PartChange(PartChangeKind.CLEARED, id, suspect.crashes.toList(), isOwn)
        }
    }

    private fun recordCleared(id: String, crashes: Set<String>, isOwn: Boolean) {
        val before = cleared.remove(id)
        val all = (before?.crashes.orEmpty() + crashes).toList().takeLast(MAX_CLEARED_CRASHES).toSet()
        cleared[id] = Cleared(all, isOwn || before?.isOwn == true)
        if (cleared.size > MAX_CLEARED) cleared.remove(cleared.keys.first())
    }

    /** Time by which the trial of a part that is held back is overdue; negative before it is due. */
    fun trialOverdueMs(part: String, now: Long): Long =
        suspects[part.take(MAX_ID_LENGTH)]?.let { now - it.nextTrialMs } ?: 0

    /** Records that a request of this host tries [part]. */
    fun onTrial(part: String, now: Long) {
        val suspect = suspects[part.take(MAX_ID_LENGTH)] ?: return
        suspect.nextTrialMs = now + TRIAL_MS
        changes += PartChange(PartChangeKind.TRIED, suspect.part, suspect.crashes.toList(), isOwn = true)
    }

    /** Time until the result of the next trial of [part] is known. */
    fun remainingMs(part: String, now: Long): Long = maxOf(0, -trialOverdueMs(part, now)) + TRIAL_RESULT_MS

    /** Returns the parts that are held back, for the other hosts; the most recent ones if there are many. */
    fun heldParts(now: Long): List<HeldPart> = suspects.values.filter { it.heldSinceMs != null }
        .sortedByDescending { it.lastCrashMs }.take(MAX_SNAPSHOT).map {
            val crashes = it.crashes.toList().takeLast(MAX_REPORTED_CRASHES)
            HeldPart(it.part, it.depth, crashes, it.trials, maxOf(0, it.nextTrialMs - now))
        }

    /** Returns [part] for the other hosts if it is held back. */
    fun heldPart(part: String, now: Long): HeldPart? = heldParts(now).firstOrNull { it.part == part }

    /**
     * Handles the record that [held] was held back before this host started. Unless another host knows better, it is
     * tried a whole interval later, since a record does not tell its age.
     */
    fun onRecorded(held: HeldPart, now: Long) = onHeld(held.copy(nextTrialInMs = trialIntervalMs(held.trials)), now)

    /** Handles that another host holds back [held], and tells it if the part was cleared of the same crashes here. */
    fun onHeld(held: HeldPart, now: Long) {
        val id = held.part.take(MAX_ID_LENGTH)
        val known = cleared[id]
        if (known != null && known.crashes.containsAll(held.crashes)) {
            if (known.isOwn) changes += PartChange(PartChangeKind.CLEARED, id, held.crashes, isOwn = true)
            return
        }
        val suspect = suspects.getOrPut(id) { Suspect(id) }
        val nextTrialMs = now + held.nextTrialInMs.coerceIn(0, MAX_TRIAL_INTERVAL_MS)
        suspect.depth = maxOf(suspect.depth, held.depth)
        suspect.trials = maxOf(suspect.trials, held.trials)
        held.crashes.take(MAX_REPORTED_CRASHES).forEach { suspect.weights[it] = FRESH_WEIGHT }
        if (suspect.heldSinceMs != null) {
            suspect.nextTrialMs = maxOf(suspect.nextTrialMs, nextTrialMs)
            return
        }
        suspect.lastCrashMs = now
        holdBack(suspect, now, nextTrialMs, isOwn = false)
        while (suspects.size > capacity) evict()
    }
}
