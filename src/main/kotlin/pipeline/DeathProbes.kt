/*
 * Attempts whose connection was cut, held until a probe of the target shows whether it died or the failure was
 * transient.
 */
package org.sesamerouter.pipeline

import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.routing.TargetKey
import org.sesamerouter.target.LoadReport

internal class DeathProbes {
    private val cutAttempts = HashMap<TargetKey, ArrayList<CutAttempt>>()

    private class CutAttempt(val fingerprint: String, val attempt: AttemptState)

    /** Records an attempt of the request with [fingerprint] whose connection was cut. */
    fun add(fingerprint: String, attempt: AttemptState) {
        cutAttempts.getOrPut(attempt.target) { ArrayList() } += CutAttempt(fingerprint, attempt)
    }

    /**
     * Returns the deaths shown by the [report] of a probe. A target counts as dead when it did not answer, in which
     * case [report] is null, or when it has restarted under another incarnation.
     */
    fun resolve(target: TargetKey, report: LoadReport?): List<DeathNotice> = cutAttempts.remove(target).orEmpty()
        .filter { isDeath(it.attempt.targetIncarnation, report) }
        .map { DeathNotice(it.fingerprint, it.attempt.address, it.attempt.targetIncarnation) }

    private fun isDeath(knownIncarnation: String, report: LoadReport?): Boolean =
        report == null || (knownIncarnation.isNotEmpty() && report.incarnation != knownIncarnation)
}
