/*
 * Counters and gauges in the Prometheus text format. Values are read from the host's state at each scrape.
 */
package org.sesamerouter.host

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

internal class HostMetrics(private val host: EntryHost) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        counter("requests.arrived", "Requests received") { coordinator.counts.arrived }
        counter("requests.answered", "Requests that completed with a full answer") { coordinator.counts.answered }
        counter("requests.refused", "Requests completed with a refusal") { coordinator.counts.refused }
        counter("attempts.retries", "Attempts started after a failed attempt") { coordinator.counts.retries }
        counter("attempts.hedges", "Attempts started in parallel to a slow attempt") { coordinator.counts.hedges }
        counter("attempts.resumes", "Streams resumed on another engine") { coordinator.counts.resumes }
        counter("quarantine.deaths", "Target crashes attributed to requests") { coordinator.counts.deaths }
        counter("targets.ejections", "Temporary ejections of targets") { serving.targets.ejections }
        counter("claims.appends", "Appends of key claims to the platform log") { claims.appends }
        counter("peers.bytes.sent", "Bytes sent to other hosts") { link.counts().bytesSent }
        counter("peers.bytes.received", "Bytes received from other hosts") { link.counts().bytesReceived }
        counter("peers.frames.bad", "Peer frames that could not be decoded") { link.counts().badFrames }
        counter("members.suspicions", "Suspicions of other hosts raised by this host") { membership.counts.suspicions }
        gauge("requests.in.progress", "Requests that have not completed yet") { coordinator.inProgress }
        gauge("ledger.keys", "Idempotency keys held by this host") { ledger.size }
        gauge("members.live", "Live hosts known to this host") { view.members.count { it.isLive } }
        gauge("configuration.revision", "Configuration revision applied on this host") { view.configuration.revision }
        gauge("configuration.settled", "Configuration revision applied on every live host") { view.settledRevision }
        gauge("watches.open", "Open watches") { configuration.watchCount }
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun counter(name: String, help: String, read: EntryHost.() -> Long) {
        FunctionCounter.builder("sesamerouter.$name", host) {
            it.read().toDouble()
        }.description(help).register(registry)
    }

    private fun gauge(name: String, help: String, read: EntryHost.() -> Number) {
        Gauge.builder("sesamerouter.$name", host) { it.read().toDouble() }.description(help).register(registry)
    }
}
