/*
 * Membership over a lossy in-memory network in which hosts crash, restart under the same name, freeze and resume.
 * Afterwards every live host must know exactly the live incarnations.
 */
package org.sesamerouter.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.sesamerouter.histories
import java.util.Random

private const val INTERVAL_MS = 100L
private const val MAX_DATAGRAM_BYTES = 1_400

private fun member(host: Int, incarnation: Long) = Member(
    "host-$host",
    incarnation,
    0,
    MemberStatus.ALIVE,
    peer = "127.0.0.1:${9_000 + host}",
    http = "127.0.0.1:${8_000 + host}",
    dataCentre = "dc-${host % 3}",
)

private class Network(private val size: Int, seed: Long) {
    val random = Random(seed)
    var now = 0L
    var loss = 0.0
    val hosts = HashMap<Int, Membership>()
    val frozen = HashSet<Int>()
    private var incarnation = 0L

    init {
        repeat(size, ::start)
    }

    fun start(host: Int) {
        val membership = Membership(member(host, ++incarnation), INTERVAL_MS, Random(random.nextLong()))
        membership.setSeeds(List(size) { "127.0.0.1:${9_000 + it}" })
        hosts[host] = membership
        frozen.remove(host)
    }

    fun advance(ms: Long) {
        val until = now + ms
        while (now < until) {
            now += INTERVAL_MS / 4
            hosts.keys.sorted().filter { it !in frozen }.forEach { deliver(it, hosts.getValue(it).onTick(now)) }
        }
    }

    private fun deliver(from: Int, sends: List<OutgoingProbe>) {
        for (send in sends) {
            val to = send.to.substringAfter(':').toInt() - 9_000
            val isLost = random.nextDouble() < loss || to in frozen
            val receiver = hosts[to] ?: continue
            if (!isLost) deliver(to, receiver.onMessage(send.message, "127.0.0.1:${9_000 + from}", now))
        }
    }

    fun hasConverged(): Boolean {
        val live = hosts.values.map { it.self.holder }.toSet()
        return hosts.values.all { host -> host.live().map { it.holder }.toSet() == live }
    }
}

class MembershipSpec :
    FunSpec({
        test("all live hosts converge on exactly the live incarnations once faults end") {
            checkAll(histories(seed = 41, count = 1_000), Arb.list(Arb.int(0..9_999), 1..8), Arb.int(0..99_999)) {
                    steps,
                    seed,
                ->
                val network = Network(5, seed.toLong())
                network.advance(1_000)
                for (step in steps) {
                    val host = step / 8 % 5
                    when (step % 4) {
                        0 -> network.hosts.remove(host)
                        1 -> network.start(host)
                        2 -> network.frozen.add(host)
                        else -> network.loss = 0.3
                    }
                    network.advance((step / 40 % 10) * INTERVAL_MS)
                }
                network.frozen.clear()
                network.loss = 0.0
                if (network.hosts.isEmpty()) network.start(0)
                network.advance(6_000)
                network.hasConverged().shouldBeTrue()
            }
        }

        test("a host restarted under the same name is a new incarnation, and the old one is not live") {
            val network = Network(3, 1)
            network.advance(1_000)
            val oldHolder = network.hosts.getValue(0).self.holder
            network.start(0)
            network.advance(1_000)
            network.hosts.getValue(1).isLive(oldHolder).shouldBeFalse()
            network.hosts.getValue(1).isLive(network.hosts.getValue(0).self.holder).shouldBeTrue()
        }

        test("a suspected host that is alive refutes the suspicion and remains a member") {
            val network = Network(3, 2)
            network.advance(1_000)
            network.frozen.add(0)
            network.advance(300)
            network.frozen.clear()
            network.advance(2_000)
            network.hasConverged().shouldBeTrue()
            network.hosts.getValue(0).counts.refutations.toInt() shouldBe network.hosts.getValue(0).self.version.toInt()
        }

        test("a datagram of the maximum size fits into one packet") {
            val largest = Member(
                "host-".padEnd(40, 'x'), Long.MAX_VALUE, Long.MAX_VALUE, MemberStatus.SUSPECT,
                "255.255.255.255:65535", "255.255.255.255:65535",
                "dc-".padEnd(
                    30,
                    'y',
                ),
                Long.MAX_VALUE, Long.MAX_VALUE, true, true,
                Int.MAX_VALUE,
            )
            val message =
                ProbeMessage(ProbeKind.PING_REQUEST, Long.MAX_VALUE, "255.255.255.255:65535", List(7) { largest })
            encodeProbe(message).size shouldBeLessThanOrEqual MAX_DATAGRAM_BYTES
        }

        test("garbage and truncated datagrams are rejected") {
            val valid = encodeProbe(ProbeMessage(ProbeKind.PING, 1, "", listOf(member(1, 1))))
            decodeProbe(valid)?.sequence shouldBe 1L
            checkAll(histories(seed = 42), Arb.list(Arb.int(-128..127), 0..200)) { bytes ->
                decodeProbe(ByteArray(bytes.size) { bytes[it].toByte() })
                decodeProbe(valid.copyOf(bytes.size.coerceAtMost(valid.size - 1))) shouldBe null
            }
        }
    })
