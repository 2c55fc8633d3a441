/*
 * Attempts whose connection was cut wait for a probe of their target, which tells a death from an ordinary failure.
 */
package org.sesamerouter.pipeline

import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.routing.TargetKey
import org.sesamerouter.target.LoadReport

internal class DeathProbes {
    private val cuts = HashMap<TargetKey, ArrayList<CutAttempt>>()

    private class CutAttempt(val fingerprint: String, val attempt: AttemptState)

    /** Adds a cut attempt of the request with [fingerprint]. */
    fun add(fingerprint: String, attempt: AttemptState) {
        cuts.getOrPut(attempt.target) { ArrayList() } += CutAttempt(fingerprint, attempt)
    }

    /** Returns the deaths that the [report] of a probe shows; null stands for a target that did not answer. */
    fun resolve(target: TargetKey, report: LoadReport?): List<DeathNotice> = cuts.remove(target).orEmpty()
        .filter { isDeath(it.attempt.targetIncarnation, report) }
        .map { DeathNotice(it.fingerprint, it.attempt.address, it.attempt.targetIncarnation) }

    private fun isDeath(before: String, report: LoadReport?): Boolean =
        report == null || (before.isNotEmpty() && report.incarnation != before)
}
