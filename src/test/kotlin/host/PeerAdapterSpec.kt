/*
 * Guards against peer messages that reach a host before it has started and initialised the components that handle them.
 */
package org.sesamerouter.host

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.shouldBe
import org.sesamerouter.clock.manualClock
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest
import org.sesamerouter.membership.ProbeKind
import org.sesamerouter.membership.ProbeMessage
import org.sesamerouter.settings.HostSettings
import org.sesamerouter.settings.PlatformSettings
import org.sesamerouter.settings.Settings

class PeerAdapterSpec :
    FunSpec({
        test("probes and requests that arrive before the host has started are dropped") {
            val settings = Settings(HostSettings("h", "a"), platform = PlatformSettings("127.0.0.1:1"))
            val host = EntryHost(settings, HostOptions(clock = manualClock()))
            val adapter = PeerAdapter(host, manualClock())
            val replies = ArrayList<PeerReply>()
            adapter.onProbe(ProbeMessage(ProbeKind.PING, 1), "127.0.0.1:2")
            adapter.onRequest(PeerRequest.CatchUp(-1)) { replies += it }
            host.onLoop { replies.size } shouldBe 0
            host.isStarted.shouldBeFalse()
            host.loop.close()
            host.group.shutdownGracefully()
        }
    })
