/*
 * The host chooser returns only hosts that accept work, in the caller's data centre if possible.
 */
package org.sesamerouter.location

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.sesamerouter.histories
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.MemberStatus
import java.util.Random

private fun member(index: Int, bits: Int) = Member(
    "h$index",
    1,
    0,
    MemberStatus.entries[bits % 4],
    peer = "",
    http = "",
    dataCentre = "dc-${bits / 4 % 3}",
    ready = bits / 16 % 4 != 0,
    leaving = bits / 64 % 4 == 0,
    inProgress = bits % 10,
)

class HostChooserSpec :
    FunSpec({
        test("returns a host if and only if one accepts work, preferring the caller's data centre") {
            checkAll(histories(seed = 95), Arb.list(Arb.int(0..999), 0..8)) { bits ->
                val members = bits.mapIndexed(::member)
                val available = members.filter { it.status == MemberStatus.ALIVE && it.ready && !it.leaving }
                val chosen = chooseHost(members, "dc-1", Random(1))
                if (available.isEmpty()) {
                    chosen.shouldBeNull()
                } else {
                    (chosen in available) shouldBe true
                    if (available.any { it.dataCentre == "dc-1" }) chosen?.dataCentre shouldBe "dc-1"
                }
            }
        }
    })
