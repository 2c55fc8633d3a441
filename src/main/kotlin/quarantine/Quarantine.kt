/*
 * Recognises requests that crash their targets. A request is known by the fingerprint of its content, since its caller
 * sends it again under a new key. Each death of a target counts once for each request that ran there, whoever reports
 * it. A request with one death is a suspect; a target runs one suspect at a time, so a second death names one request
 * alone. Innocent suspects are cleared by their first success.
 */
package org.sesamerouter.quarantine

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** Deaths after which a request is quarantined. */
const val DEATHS_TO_QUARANTINE = 2
private const val FINGERPRINT_BYTES = 16

/** A target died while it ran the request with [fingerprint]; hosts share these. */
@Serializable
data class DeathNotice(val fingerprint: String, val target: String, val targetIncarnation: String)

/** How the quarantine sees a request. */
enum class Standing { CLEAR, SUSPECT, QUARANTINED }

/**
 * Suspects and quarantined requests of one host. Not thread-safe.
 *
 * @param expiryMs how long a death counts after the last one.
 * @param capacity most fingerprints kept; the one whose last death is oldest is dropped first.
 * @param deathsToQuarantine deaths of different targets after which a request is refused.
 */
class Quarantine(
    private val expiryMs: Long = 600_000,
    private val capacity: Int = 4_096,
    private val deathsToQuarantine: Int = DEATHS_TO_QUARANTINE,
) {
    private val suspects = LinkedHashMap<String, Suspect>()

    private class Suspect(var lastDeathMs: Long) {
        val deaths = HashSet<String>()
    }

    val size: Int get() = suspects.size

    /** Counts [notice]; returns true when it was new. */
    fun onDeath(notice: DeathNotice, now: Long): Boolean {
        expire(now)
        val known = suspects[notice.fingerprint]?.takeIf { now - it.lastDeathMs < expiryMs }
        val suspect = known ?: Suspect(now)
        val isNew = suspect.deaths.add("${notice.target}@${notice.targetIncarnation}")
        if (!isNew) return false
        suspect.lastDeathMs = now
        suspects.remove(notice.fingerprint)
        suspects[notice.fingerprint] = suspect
        if (suspects.size > capacity) suspects.remove(suspects.keys.first())
        return true
    }

    /** Clears a suspect that ran to its end; a quarantined request stays so until it expires. */
    fun onSuccess(fingerprint: String, now: Long) {
        if (standing(fingerprint, now) == Standing.SUSPECT) suspects.remove(fingerprint)
    }

    /** Returns how the request with [fingerprint] stands. */
    fun standing(fingerprint: String, now: Long): Standing {
        val suspect = suspects[fingerprint] ?: return Standing.CLEAR
        return when {
            now - suspect.lastDeathMs >= expiryMs -> Standing.CLEAR
            suspect.deaths.size >= deathsToQuarantine -> Standing.QUARANTINED
            else -> Standing.SUSPECT
        }
    }

    /** Returns the time until a quarantined request may be sent again. */
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

/** Returns the fingerprint of a request: who sends what to which plan, without its key. */
fun fingerprintOf(organisation: String, plan: String, input: String): String {
    val digest = MessageDigest.getInstance("SHA-256").digest("$organisation\n$plan\n$input".toByteArray())
    return HexFormat.of().formatHex(digest, 0, FINGERPRINT_BYTES)
}
