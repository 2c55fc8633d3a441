/*
 * Connects the gate for repeats with its host: the hosts that share the slack, the metrics and the decision log.
 */
package org.sesamerouter.front

import org.sesamerouter.clock.Clock
import org.sesamerouter.membership.Membership
import org.sesamerouter.retry.RepeatTerms
import org.sesamerouter.retry.SendGate
import org.sesamerouter.retry.fleetAllowance
import org.sesamerouter.serving.FlowEffect

private const val GAUGES_INTERVAL_MS = 1_000L

/** Runs on the control thread; only the gauges are read from others. */
internal class HostRepeats(
    private val clock: Clock,
    private val membership: Membership,
    private val metrics: FrontMetrics,
    private val log: DecisionLog,
    terms: () -> RepeatTerms,
) {
    private val registeredHosts = RegisteredHosts()
    private val allowance = fleetAllowance(terms, clock.nowMs(), ::slackSharers)
    private var gaugesSetMs = 0L

    @Volatile
    private var left: Map<String, Int> = emptyMap()

    @Volatile
    private var hosts = 0

    @Volatile
    private var slackShare = 0.0

    val gate = SendGate(allowance)

    fun registerGauges() {
        metrics.gauge("repeats.hosts") { hosts }
        metrics.gauge("repeats.slack.share") { slackShare }
    }

    /** Called with the number of [others] that are registered in the store. */
    fun onRegisteredHosts(others: Int) = registeredHosts.onRead(others, clock.nowMs())

    fun onSend(send: FlowEffect.Send) {
        val service = send.target.service
        val reason = send.pass.reason
        when {
            reason != null -> metrics.countRepeat(service, reason)
            send.isRepeat -> metrics.countUnpaidRepeat(service)
        }
    }

    fun onTick(now: Long) {
        gate.takeChanges(now).forEach { log.writeAllowance(it, slackSharers()) }
        if (now - gaugesSetMs >= GAUGES_INTERVAL_MS) setGauges(now)
    }

    private fun setGauges(now: Long) {
        gaugesSetMs = now
        val uses = allowance.uses(now)
        (uses.keys - left.keys).forEach { service ->
            metrics.gauge("repeats.left", "service", service) { left[service] ?: 0 }
        }
        left = uses.mapValues { it.value.left }
        hosts = slackSharers()
        slackShare = allowance.slackShare(now)
    }

    /** Number of hosts that may use a part of the slack: hosts that died some minutes ago at most are still members. */
    private fun slackSharers(): Int = maxOf(membership.all().size, registeredHosts.count(clock.nowMs()))
}
