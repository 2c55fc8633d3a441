/*
 * The allowance of one host as its part of what all hosts together may repeat at a service. The slack is divided by
 * the hosts that may still use it: the share shrinks as soon as a host is known, and grows only when a host has been
 * gone for minutes. A process has no slack for a window after its start: the process before it may have used it, and
 * the fleet is not known yet.
 */
package org.sesamerouter.retry

// Two parts of a fleet that take each other for gone for minutes still keep the bound together.
private const val USED_SLACK_SHARE = 0.5
private const val MARGIN_DIVISOR = 10 // of a window, for what the process before still had on its way

/** What all hosts together may repeat at a service within [windowMs]: [share] of the requests and [slack] besides. */
data class RepeatTerms(val share: Double, val slack: Double, val windowMs: Long)

/**
 * @param startedMs when this process started.
 * @param hosts number of hosts that may use the slack, this one and those that are gone for a short time included.
 */
internal class FleetAllowance(
    private val terms: () -> RepeatTerms,
    private val startedMs: Long,
    private val hosts: () -> Int,
) : RepeatAllowance {
    private val windows = HashMap<String, RepeatWindow>()

    override fun onRequest(service: String, now: Long) = windowOf(service).onRequest(now)

    override fun left(service: String, now: Long) = windowOf(service).left(slackShare(now), now)

    override fun tryTake(service: String, reason: RepeatReason, now: Long): Boolean {
        if (left(service, now) < 1) return false
        windowOf(service).onRepeat(now)
        return true
    }

    override fun giveBack(service: String, reason: RepeatReason, takenMs: Long) = windowOf(service).onGivenBack(takenMs)

    override fun uses(now: Long) = windows.mapValues { it.value.use(slackShare(now), now) }

    override fun slackShare(now: Long): Double {
        val current = terms()
        if (now - startedMs < current.windowMs + current.windowMs / MARGIN_DIVISOR) return 0.0
        return USED_SLACK_SHARE * current.slack / maxOf(1, hosts())
    }

    private fun windowOf(service: String) =
        windows.getOrPut(service) { terms().let { RepeatWindow(it.windowMs, it.share) } }
}

/** Returns the allowance of a host whose process started at [startedMs] in a fleet of [hosts] hosts. */
fun fleetAllowance(terms: () -> RepeatTerms, startedMs: Long, hosts: () -> Int): RepeatAllowance =
    FleetAllowance(terms, startedMs, hosts)
