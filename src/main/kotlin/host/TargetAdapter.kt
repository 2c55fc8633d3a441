/*
 * Polls targets for load reports and the platform for its host list, and sends orders to engines. The poll interval
 * grows with the number of polled targets, which bounds the bytes per second. Runs on the control thread.
 */
package org.sesamerouter.host

import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.clock.Clock
import org.sesamerouter.log.LogStream
import org.sesamerouter.log.PlatformLog
import org.sesamerouter.log.ReadOutcome
import org.sesamerouter.log.StreamReader
import org.sesamerouter.membership.HOST_LIST_PATH
import org.sesamerouter.membership.ListedHosts
import org.sesamerouter.orders.LeaseRecord
import org.sesamerouter.orders.OrderEffect
import org.sesamerouter.routing.TargetKey
import org.sesamerouter.routing.rendezvous
import org.sesamerouter.target.EngineOrder
import org.sesamerouter.target.TargetPaths
import org.sesamerouter.web.ClientRequest
import org.sesamerouter.web.FetchOutcome

private const val HOST_LIST_TIMEOUT_MS = 1_000L
private const val ORDER_TIMEOUT_MS = 1_000L
private const val POLLED_PER_POOL = 24
private const val BYTES_PER_POLL = 500
private const val MAX_POLL_BYTES_PER_SECOND = 2_048

internal class TargetAdapter(private val host: EntryHost, private val clock: Clock, private val log: PlatformLog) {
    private val timing = host.settings.timing
    private var nextLoadPollMs = 0L
    private var nextHostListPollMs = 0L
    private val leases =
        StreamReader(log, LogStream.LEASES, clock, host.loop::post, { host.orders.leasesRevision + 1 }, ::onLeases)

    /** Runs the polls that are due, continues reading leases and advances the order controller. */
    fun onTick() {
        val now = clock.nowMs()
        if (now >= nextLoadPollMs) pollLoads(now)
        if (now >= nextHostListPollMs && host.settings.platform.hostList.isNotEmpty()) pollHostList(now)
        leases.onTick()
        val live = host.membership.live().map { it.host }
        host.orders.onTick(live, now).forEach(::execute)
    }

    private fun pollLoads(now: Long) {
        val self = host.settings.host.id
        val byAddress = host.serving.targets.all().flatMap { it.targets }.groupBy({ it.address }, { it.key })
        val polled = byAddress.entries.sortedBy { rendezvous(self, it.key) }.take(POLLED_PER_POOL * poolCount())
        val intervalMs = polled.size * BYTES_PER_POLL * 1_000L / MAX_POLL_BYTES_PER_SECOND
        nextLoadPollMs =
            now + if (polled.size <= POLLED_PER_POOL * 2) timing.loadPollMs else maxOf(timing.loadPollMs, intervalMs)
        polled.forEach { (address, keys) -> pollLoad(address, keys) }
    }

    private fun poolCount() = maxOf(1, host.serving.targets.all().size)

    private fun pollLoad(address: String, keys: List<TargetKey>) {
        host.runner.load(address) { report ->
            if (report == null) return@load
            host.loop.post {
                val now = clock.nowMs()
                keys.forEach { host.serving.targets.onReport(it, report, now) }
                host.orders.onReport(address, report)
            }
        }
    }

    private fun pollHostList(now: Long) {
        nextHostListPollMs = now + timing.hostListPollMs
        val request = ClientRequest("GET", HOST_LIST_PATH)
        host.client.fetch(host.settings.platform.hostList, request, HOST_LIST_TIMEOUT_MS) { outcome ->
            val body = (outcome as? FetchOutcome.Replied)?.reply?.body ?: return@fetch
            val list = WireJson.decodeOrNull(ListedHosts.serializer(), body) ?: return@fetch
            host.loop.post { onHostList(list) }
        }
    }

    private fun onHostList(list: ListedHosts) {
        val leaving = list.hosts.filter { !it.entry && it.leaving }.map { it.address }.toSet()
        host.serving.targets.applyHostList(leaving)
        val entries = list.hosts.filter { it.entry }.map { it.address }
        host.membership.setSeeds((host.settings.platform.peers + entries).distinct())
    }

    private fun onLeases(read: ReadOutcome.Records) {
        val now = clock.nowMs()
        read.records.forEach { host.orders.onLeaseRecord(it.offset, it.payload, now) }
    }

    private fun execute(effect: OrderEffect) {
        when (effect) {
            is OrderEffect.AppendLease -> {
                val payload = WireJson.encodeToString(LeaseRecord.serializer(), effect.record)
                log.append(LogStream.LEASES, listOf(payload)) { outcome ->
                    host.loop.post { host.orders.onAppended(effect.record, outcome) }
                }
            }

            is OrderEffect.Send -> send(effect)
        }
    }

    private fun send(effect: OrderEffect.Send) {
        if (clock.nowMs() >= effect.notAfterMs) return
        val body = WireJson.encodeToString(EngineOrder.serializer(), effect.order)
        val request = ClientRequest("POST", TargetPaths.ORDERS, body)
        host.client.fetch(effect.address, request, ORDER_TIMEOUT_MS) {
            host.loop.post { host.orders.onOrderAnswered(effect.engine, clock.nowMs()) }
        }
    }
}
