/*
 * Counters and gauges in Prometheus text, read from the state when they are scraped.
 */
package org.sesamerouter.host

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

internal class HostMetrics(private val host: EntryHost) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    init {
        counter("requests.arrived", "Requests that came in") { coordinator.counts.arrived }
        counter("requests.answered", "Requests answered whole") { coordinator.counts.answered }
        counter("requests.refused", "Requests refused") { coordinator.counts.refused }
        counter("attempts.retries", "Attempts after a failed one") { coordinator.counts.retries }
        counter("attempts.hedges", "Attempts beside a slow one") { coordinator.counts.hedges }
        counter("attempts.resumes", "Streams resumed on another engine") { coordinator.counts.resumes }
        counter("quarantine.deaths", "Deaths of targets counted against requests") { coordinator.counts.deaths }
        counter("targets.ejections", "Targets put out of use for a while") { serving.targets.ejections }
        counter("claims.appends", "Appends of claims to the log") { claims.appends }
        counter("peers.bytes.sent", "Bytes sent to other hosts") { link.counts().bytesSent }
        counter("peers.bytes.received", "Bytes received from other hosts") { link.counts().bytesReceived }
        counter("peers.frames.bad", "Frames that were no messages") { link.counts().badFrames }
        counter("members.suspicions", "Hosts that this host suspected") { membership.counts.suspicions }
        gauge("requests.in.progress", "Requests in progress") { coordinator.inProgress }
        gauge("ledger.keys", "Keys that this host holds") { ledger.size }
        gauge("members.live", "Live hosts") { view.members.count { it.isLive } }
        gauge("configuration.revision", "Revision in force") { view.configuration.revision }
        gauge("configuration.settled", "Revision in force on every live host") { view.settledRevision }
        gauge("watches.open", "Open watches") { configuration.watchCount }
    }

    /** Returns all metrics. */
    fun scrape(): String = registry.scrape()

    private fun counter(name: String, text: String, read: EntryHost.() -> Long) {
        FunctionCounter.builder("sesamerouter.$name", host) {
            it.read().toDouble()
        }.description(text).register(registry)
    }

    private fun gauge(name: String, text: String, read: EntryHost.() -> Number) {
        Gauge.builder("sesamerouter.$name", host) { it.read().toDouble() }.description(text).register(registry)
    }
}
