/*
 * Detects requests that crash their targets. A request is identified by a fingerprint of its content, since callers
 * retry it under a new key. Each death of a target counts once for each request that ran there, however many hosts
 * report it. A request with one death is a suspect. A target runs one suspect at a time, so a second death identifies a
 * single request. The first success clears a suspect. Requests that are not alike may share the part that crashes
 * targets: see [PartQuarantine].
 */
package org.sesamerouter.quarantine

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** Number of deaths after which a request is quarantined. */
const val DEATHS_TO_QUARANTINE = 2
private const val FINGERPRINT_BYTES = 16
private const val MAX_REPORTED_REQUESTS = 256

/** Number of deaths after which a request is quarantined where targets run several suspects at a time. */
const val DEATHS_TO_QUARANTINE_SHARED = 3

/**
 * A target died while it ran the request with [fingerprint]; sent to the other hosts.
 *
 * @property parts the parts of the prompt that may be the cause, in order, without the last one; empty if the response
 *   had not just begun.
 * @property isFresh whether no event of the response had come.
 */
@Serializable
data class DeathNotice(
    val fingerprint: String,
    val target: String,
    val targetIncarnation: String,
    val parts: List<String> = emptyList(),
    val isFresh: Boolean = false,
)

/** The quarantine state of a request. */
enum class QuarantineState { CLEAR, SUSPECT, QUARANTINED }

/**
 * The suspects and quarantined requests known to one host. Not thread-safe.
 *
 * @param expiryMs time after the last death of a request at which all of its deaths expire.
 * @param capacity maximum number of fingerprints; the one whose last death is oldest is evicted first.
 * @param deathsToQuarantine number of deaths of different targets or incarnations after which a request is refused.
 */
class Quarantine(
    private val expiryMs: Long = 600_000,
    private val capacity: Int = 4_096,
    private val deathsToQuarantine: Int = DEATHS_TO_QUARANTINE,
) {
    private val suspects = LinkedHashMap<String, Suspect>()

    /** The parts of prompts that are suspected or held back. */
    val parts = PartQuarantine(capacity)

    private class Suspect(var lastDeathMs: Long) {
        val deaths = HashSet<String>()
    }

    val size: Int get() = suspects.size

    /** Whether nothing is suspected. */
    val isEmpty: Boolean get() = suspects.isEmpty() && parts.size == 0

    /** Returns the requests that are quarantined; the most recent ones if there are many. */
    fun quarantined(now: Long): List<QuarantinedRequest> = suspects
        .filter { (_, suspect) -> suspect.deaths.size >= deathsToQuarantine && now - suspect.lastDeathMs < expiryMs }
        .map { (fingerprint, suspect) -> QuarantinedRequest(fingerprint, suspect.deaths.toList()) }
        .takeLast(MAX_REPORTED_REQUESTS)

    /**
     * Handles the record that [request] was quarantined before this host started. A record does not tell its age, so
     * the request stays quarantined for the whole time.
     */
    fun onRecorded(request: QuarantinedRequest, now: Long) {
        val suspect = suspects.getOrPut(request.fingerprint) { Suspect(now) }
        suspect.deaths += request.crashes
        if (suspects.size > capacity) suspects.remove(suspects.keys.first())
    }

    /** Records [notice], of a request of this host if [isOwn]; returns whether it was new. */
    fun onDeath(notice: DeathNotice, now: Long, isOwn: Boolean = false): Boolean {
        expire(now)
        val incarnation = "${notice.target}@${notice.targetIncarnation}"
        val isNewForParts = parts.onCrash(notice.parts, incarnation, notice.isFresh, isOwn, now)
        val known = suspects[notice.fingerprint]?.takeIf { now - it.lastDeathMs < expiryMs }
        val suspect = known ?: Suspect(now)
        val isNew = suspect.deaths.add(incarnation)
        if (!isNew) return isNewForParts
        suspect.lastDeathMs = now
        suspects.remove(notice.fingerprint)
        suspects[notice.fingerprint] = suspect
        if (suspects.size > capacity) suspects.remove(suspects.keys.first())
        return true
    }

    /** Clears a suspect that completed; a quarantined request stays quarantined until it expires. */
    fun onSuccess(fingerprint: String, now: Long) {
        if (stateOf(fingerprint, now) == QuarantineState.SUSPECT) suspects.remove(fingerprint)
    }

    /** Returns the quarantine state of the request with [fingerprint]. */
    fun stateOf(fingerprint: String, now: Long): QuarantineState {
        val suspect = suspects[fingerprint] ?: return QuarantineState.CLEAR
        return when {
            now - suspect.lastDeathMs >= expiryMs -> QuarantineState.CLEAR
            suspect.deaths.size >= deathsToQuarantine -> QuarantineState.QUARANTINED
            else -> QuarantineState.SUSPECT
        }
    }

    /** Returns the time until the request with [fingerprint] leaves quarantine. */
    fun remainingMs(fingerprint: String, now: Long): Long =
        suspects[fingerprint]?.let { maxOf(0, it.lastDeathMs + expiryMs - now) } ?: 0

    private fun expire(now: Long) {
        while (suspects.isNotEmpty()) {
            val (fingerprint, oldest) = suspects.entries.first()
            if (now - oldest.lastDeathMs < expiryMs) return
            suspects.remove(fingerprint)
        }
    }
}

/** Returns the fingerprint of a request: a hash of organisation, plan and input that does not depend on the key. */
fun fingerprintOf(organisation: String, plan: String, input: String): String {
    val digest = MessageDigest.getInstance("SHA-256").digest("$organisation\n$plan\n$input".toByteArray())
    return HexFormat.of().formatHex(digest, 0, FINGERPRINT_BYTES)
}
