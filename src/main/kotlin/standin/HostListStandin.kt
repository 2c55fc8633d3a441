/*
 * Stand-in for the platform's host list: live and leaving hosts, told with a lag.
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

/** A host list on loopback; a change shows after [lagMs]. */
class HostListStandin(address: String, private val group: EventLoopGroup, private val lagMs: Long = 500) {
    private val server = startHttpServer(address, group, MAX_BODY_BYTES, ::handle)

    @Volatile
    private var shown = ListedHosts(emptyList())
    val address: String = "${address.substringBeforeLast(':')}:${server.port}"

    /** Sets the list, to be shown after the lag. */
    fun set(hosts: List<ListedHost>) {
        group.schedule({ shown = ListedHosts(hosts) }, lagMs, TimeUnit.MILLISECONDS)
    }

    /** Ends the service. */
    fun close() = server.close()

    private fun handle(call: HttpCall) {
        if (call.method == "PUT") {
            set(WireJson.decodeFromString(ListedHosts.serializer(), call.body).hosts)
            call.reply(200, "{}")
        } else {
            call.reply(200, WireJson.encodeToString(ListedHosts.serializer(), shown))
        }
    }
}
