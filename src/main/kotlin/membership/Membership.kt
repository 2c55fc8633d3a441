/*
 * Membership between hosts: random probes with indirect probes, suspicion, incarnations, and updates that travel along
 * with probes in a bounded number. Most probes stay within the data centre. A state machine without I/O; its messages
 * go as datagrams. The work of a host does not grow with the number of hosts, only its table does.
 */
package org.sesamerouter.membership

import org.sesamerouter.ledger.Holder
import java.util.random.RandomGenerator
import kotlin.math.ceil
import kotlin.math.ln

private const val RECORDS_PER_MESSAGE = 6
private const val INDIRECT_PROBES = 2
private const val REMOTE_PROBE_EVERY = 4
private const val SUSPICION_ROUNDS = 4
private const val SPREAD_FACTOR = 3
private const val SEEDS_PER_ROUND = 3
private const val FORGET_ROUNDS = 600

/** Counts of datagrams of one host. */
data class ProbeCounts(val sent: Long = 0, val received: Long = 0, val suspicions: Long = 0, val refutations: Long = 0)

/**
 * The members that one host knows. Not thread-safe.
 *
 * @param first the host's own record at its start.
 * @param intervalMs time between probes.
 * @param random picks whom to probe.
 */
class Membership(first: Member, private val intervalMs: Long, private val random: RandomGenerator) {
    private val members = LinkedHashMap<String, Member>()
    private val changedAtMs = HashMap<String, Long>()
    private val spreading = LinkedHashMap<String, Int>()
    private val order = ArrayDeque<String>()
    private val relays = HashMap<Long, Relay>()
    private var seeds: List<String> = emptyList()
    private var probe: Probe? = null
    private var nextProbeMs = Long.MIN_VALUE
    private var sequence = 0L
    private var rounds = 0L

    /** This host's own record. */
    var self: Member = first
        private set

    /** Datagrams so far. */
    var counts = ProbeCounts()
        private set

    private class Probe(val host: String, val address: String, val sequence: Long, val sentMs: Long) {
        var indirect = false
    }

    private class Relay(val to: String, val sequence: Long, val expiresMs: Long)

    init {
        members[first.host] = first
    }

    /** Returns all records, those of dead hosts included. */
    fun all(): List<Member> = members.values.toList()

    /** Returns the live members, this host included. */
    fun live(): List<Member> = members.values.filter { it.isLive }

    /** Tells whether [holder] is a live incarnation. */
    fun isLive(holder: Holder): Boolean = members[holder.host]?.let { it.isLive && it.holder == holder } ?: false

    /** Returns the record of [host]. */
    fun member(host: String): Member? = members[host]

    /** Sets the peer addresses that are tried while they belong to no live member. */
    fun setSeeds(addresses: List<String>) {
        seeds = addresses.filter { it != self.peer }
    }

    /** Changes this host's record and spreads it when [spread]. */
    fun updateSelf(spread: Boolean, change: (Member) -> Member) {
        val changed = change(self)
        if (changed == self) return
        self = if (spread) changed.copy(version = self.version + 1) else changed
        members[self.host] = self
        if (spread) enqueue(self.host)
    }

    /** Takes in a datagram from the peer address [from]. */
    fun onMessage(message: ProbeMessage, from: String, now: Long): List<ProbeSend> {
        counts = counts.copy(received = counts.received + 1)
        message.members.forEach { merge(it, now) }
        val sender = message.members.firstOrNull()
        val replyTo = sender?.peer ?: from
        val out = when (message.kind) {
            ProbeKind.PING -> listOf(send(replyTo, ProbeKind.ACK, message.sequence, about = sender?.host))
            ProbeKind.PING_REQUEST -> listOf(relay(message, replyTo, now))
            ProbeKind.ACK -> onAck(message)
        }
        return count(out)
    }

    /** Lets time go on: probes, suspicions and their ends. */
    fun onTick(now: Long): List<ProbeSend> {
        val out = ArrayList<ProbeSend>()
        probe?.let { if (!it.indirect && now - it.sentMs >= intervalMs / 3) out += askOthers(it) }
        if (now >= nextProbeMs) {
            nextProbeMs = now + intervalMs
            rounds++
            probe?.let { suspect(it.host, now) }
            probe = null
            endSuspicions(now)
            relays.values.removeIf { it.expiresMs <= now }
            out += probeNext(now)
            out += probeSeeds()
        }
        return count(out)
    }

    /** Returns a datagram that tells [member] what is new here; the answer is not waited for. */
    fun ping(member: Member): ProbeSend = send(member.peer, ProbeKind.PING, ++sequence)

    private fun onAck(message: ProbeMessage): List<ProbeSend> {
        if (probe?.sequence == message.sequence) probe = null
        val relay = relays.remove(message.sequence) ?: return emptyList()
        return listOf(send(relay.to, ProbeKind.ACK, relay.sequence))
    }

    private fun relay(message: ProbeMessage, replyTo: String, now: Long): ProbeSend {
        val own = ++sequence
        relays[own] = Relay(replyTo, message.sequence, now + intervalMs)
        return send(message.subject, ProbeKind.PING, own)
    }

    private fun askOthers(probe: Probe): List<ProbeSend> {
        probe.indirect = true
        val helpers = live().filter { it.host != self.host && it.host != probe.host }.shuffled().take(INDIRECT_PROBES)
        return helpers.map { send(it.peer, ProbeKind.PING_REQUEST, probe.sequence, probe.address) }
    }

    private fun probeNext(now: Long): List<ProbeSend> {
        val next = nextToProbe() ?: return emptyList()
        val sent = Probe(next.host, next.peer, ++sequence, now)
        probe = sent
        return listOf(send(next.peer, ProbeKind.PING, sent.sequence))
    }

    private fun nextToProbe(): Member? {
        val near = rounds % REMOTE_PROBE_EVERY != 0L
        repeat(2) {
            val candidates = order.filter { members[it]?.isLive == true }
            val pick = candidates.firstOrNull { (members[it]?.dataCentre == self.dataCentre) == near }
                ?: candidates.firstOrNull()
            if (pick != null) {
                order.remove(pick)
                return members[pick]
            }
            order.clear()
            order.addAll(live().map { it.host }.filter { it != self.host }.shuffled())
        }
        return null
    }

    private fun probeSeeds(): List<ProbeSend> {
        val known = live().map { it.peer }.toSet()
        return seeds.filter {
            it !in known
        }.shuffled().take(SEEDS_PER_ROUND).map { send(it, ProbeKind.PING, ++sequence) }
    }

    private fun suspect(host: String, now: Long) {
        val member = members[host] ?: return
        if (member.status != MemberStatus.ALIVE) return
        counts = counts.copy(suspicions = counts.suspicions + 1)
        put(member.copy(status = MemberStatus.SUSPECT), now)
    }

    private fun endSuspicions(now: Long) {
        val patienceMs = SUSPICION_ROUNDS * intervalMs * scale()
        for (member in members.values.toList()) {
            val age = now - (changedAtMs[member.host] ?: now)
            when {
                member.status == MemberStatus.SUSPECT && age >= patienceMs ->
                    put(member.copy(status = MemberStatus.DEAD), now)

                !member.isLive && age >= FORGET_ROUNDS * intervalMs -> forget(member.host)
            }
        }
    }

    private fun forget(host: String) {
        members.remove(host)
        changedAtMs.remove(host)
        spreading.remove(host)
    }

    private fun merge(record: Member, now: Long) {
        if (record.host == self.host) {
            refute(record)
            return
        }
        val known = members[record.host]
        if (known == null && !record.isLive) return
        if (known != null && !record.supersedes(known)) {
            refreshLoad(known, record)
            return
        }
        put(record, now)
    }

    private fun refreshLoad(known: Member, record: Member) {
        val same = known.incarnation == record.incarnation && known.version == record.version
        if (same &&
            known.inProgress != record.inProgress
        ) {
            members[known.host] = known.copy(inProgress = record.inProgress)
        }
    }

    private fun refute(record: Member) {
        if (record.incarnation > self.incarnation) {
            // The wall clock that numbers incarnations was set back between two starts of this host.
            updateSelf(spread = true) { it.copy(incarnation = record.incarnation + 1) }
            return
        }
        if (record.incarnation != self.incarnation || record.status == MemberStatus.ALIVE) return
        if (self.status == MemberStatus.LEFT || record.version < self.version) return
        counts = counts.copy(refutations = counts.refutations + 1)
        self = self.copy(version = record.version)
        updateSelf(spread = true) { it.copy(status = MemberStatus.ALIVE, version = it.version + 1) }
    }

    private fun put(record: Member, now: Long) {
        members[record.host] = record
        changedAtMs[record.host] = now
        enqueue(record.host)
    }

    private fun enqueue(host: String) {
        spreading.remove(host)
        spreading[host] = SPREAD_FACTOR * scale()
    }

    private fun scale(): Int = maxOf(1, ceil(ln(members.size.toDouble() + 1)).toInt())

    private fun send(
        to: String,
        kind: ProbeKind,
        sequence: Long,
        subject: String = "",
        about: String? = null,
    ): ProbeSend = ProbeSend(to, ProbeMessage(kind, sequence, subject, travelling(about)))

    /** Records to send along. A host that is held for dead here has to hear so, or it could not refute. */
    private fun travelling(about: String?): List<Member> {
        val out = LinkedHashMap<String, Member>()
        out[self.host] = self
        members[about]?.let { if (it.status != MemberStatus.ALIVE) out[it.host] = it }
        val fresh = spreading.keys.toList().takeLast(RECORDS_PER_MESSAGE - 1)
        for (host in fresh) {
            members[host]?.let { out[host] = it }
            val left = spreading.getValue(host) - 1
            if (left <= 0) spreading.remove(host) else spreading[host] = left
        }
        if (out.size < RECORDS_PER_MESSAGE) {
            live().randomOrNull()?.let { out[it.host] = it }
        }
        return out.values.toList()
    }

    private fun count(out: List<ProbeSend>): List<ProbeSend> {
        counts = counts.copy(sent = counts.sent + out.size)
        return out
    }

    private fun <T> List<T>.shuffled(): List<T> = shuffled(kotlin.random.Random(random.nextLong()))

    private fun <T> List<T>.randomOrNull(): T? = if (isEmpty()) null else this[random.nextInt(size)]
}
