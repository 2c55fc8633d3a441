/*
 * Stand-in for the platform's host list service: an in-memory list served over HTTP, with a configurable propagation
 * delay.
 */
package org.sesamerouter.standin

import io.netty.channel.EventLoopGroup
import org.sesamerouter.api.WireJson
import org.sesamerouter.membership.ListedHost
import org.sesamerouter.membership.ListedHosts
import org.sesamerouter.web.HttpCall
import org.sesamerouter.web.startHttpServer
import java.util.concurrent.TimeUnit

private const val MAX_BODY_BYTES = 4 * 1024 * 1024

/** A host list service. Readers see an update [lagMs] after it was made. */
class HostListStandin(address: String, private val group: EventLoopGroup, private val lagMs: Long = 500) {
    private val server = startHttpServer(address, group, MAX_BODY_BYTES, handler = ::handle)

    @Volatile
    private var visibleHosts = ListedHosts(emptyList())
    val address: String = "${address.substringBeforeLast(':')}:${server.port}"

    /** Replaces the list; readers see the change after [lagMs]. */
    fun set(hosts: List<ListedHost>) {
        group.schedule({ visibleHosts = ListedHosts(hosts) }, lagMs, TimeUnit.MILLISECONDS)
    }

    /** Stops the service. */
    fun close() = server.close()

    private fun handle(call: HttpCall) {
        if (call.method == "PUT") {
            set(WireJson.decodeFromString(ListedHosts.serializer(), call.body).hosts)
            call.reply(200, "{}")
        } else {
            call.reply(200, WireJson.encodeToString(ListedHosts.serializer(), visibleHosts))
        }
    }
}
