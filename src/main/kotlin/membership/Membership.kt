/*
 * SWIM-style membership between hosts: random direct and indirect probes, suspicion before a host is declared dead,
 * incarnations, and a bounded number of updates piggybacked on each datagram. Most probes stay within the data centre.
 * A state machine without I/O. The number of probes that a host sends does not grow with the number of hosts; only its
 * member table does.
 */
package org.sesamerouter.membership

import org.sesamerouter.ledger.Holder
import java.util.random.RandomGenerator
import kotlin.math.ceil
import kotlin.math.ln

private const val RECORDS_PER_MESSAGE = 6
private const val INDIRECT_PROBES = 2
private const val REMOTE_PROBE_PERIOD = 4
private const val SUSPICION_MULTIPLIER = 4
private const val RETRANSMIT_MULTIPLIER = 3
private const val SEED_PROBES_PER_ROUND = 3
private const val DEAD_RETENTION_ROUNDS = 600

/** Counts of datagrams, suspicions and refutations at one host. */
data class ProbeCounts(val sent: Long = 0, val received: Long = 0, val suspicions: Long = 0, val refutations: Long = 0)

/**
 * The members known to one host. Not thread-safe.
 *
 * @param initial the host's own record at startup.
 * @param intervalMs time between probes.
 * @param random source of randomness for choosing hosts to probe and records to send.
 */
class Membership(initial: Member, private val intervalMs: Long, private val random: RandomGenerator) {
    private val members = LinkedHashMap<String, Member>()
    private val changedAtMs = HashMap<String, Long>()
    private val retransmitsLeft = LinkedHashMap<String, Int>()
    private val probeOrder = ArrayDeque<String>()
    private val relays = HashMap<Long, Relay>()
    private var seeds: List<String> = emptyList()
    private var probe: Probe? = null
    private var nextProbeMs = Long.MIN_VALUE
    private var sequence = 0L
    private var rounds = 0L

    /** Number of changes of records so far. */
    var changes = 0L
        private set

    /** This host's own record. */
    var self: Member = initial
        private set

    /** Counts since startup. */
    var counts = ProbeCounts()
        private set

    private class Probe(val host: String, val address: String, val sequence: Long, val sentMs: Long) {
        var isIndirect = false
    }

    private class Relay(val to: String, val sequence: Long, val expiresMs: Long)

    init {
        members[initial.host] = initial
    }

    /** Returns all records, including those of dead hosts. */
    fun all(): List<Member> = members.values.toList()

    /** Returns the live members, including this host. */
    fun live(): List<Member> = members.values.filter { it.isLive }

    /** Returns whether [holder] is the live incarnation of its host. */
    fun isLive(holder: Holder): Boolean = members[holder.host]?.let { it.isLive && it.holder == holder } ?: false

    /** Returns the record of [host], or null if it is unknown. */
    fun member(host: String): Member? = members[host]

    /** Sets the peer addresses that are probed as long as they belong to no live member. */
    fun setSeeds(addresses: List<String>) {
        seeds = addresses.filter { it != self.peer }
    }

    /** Changes this host's record. With [disseminate] the change is disseminated to other hosts under a new version. */
    fun updateSelf(disseminate: Boolean, change: (Member) -> Member) {
        val changed = change(self)
        if (changed == self) return
        changes++
        self = if (disseminate) changed.copy(version = self.version + 1) else changed
        members[self.host] = self
        if (disseminate) enqueueUpdate(self.host)
    }

    /** Handles a datagram from the peer address [from] and returns the datagrams to send. */
    fun onMessage(message: ProbeMessage, from: String, now: Long): List<OutgoingProbe> {
        counts = counts.copy(received = counts.received + 1)
        message.members.forEach { merge(it, now) }
        val sender = message.members.firstOrNull()
        val replyTo = sender?.peer ?: from
        val out = when (message.kind) {
            ProbeKind.PING -> listOf(send(replyTo, ProbeKind.ACK, message.sequence, recipientHost = sender?.host))
            ProbeKind.PING_REQUEST -> listOf(relay(message, replyTo, now))
            ProbeKind.ACK -> onAck(message)
        }
        return count(out)
    }

    /** Runs due probes and expires suspicions; returns the datagrams to send. */
    fun onTick(now: Long): List<OutgoingProbe> {
        val out = ArrayList<OutgoingProbe>()
        probe?.let { if (!it.isIndirect && now - it.sentMs >= intervalMs / 3) out += sendIndirectProbes(it) }
        if (now >= nextProbeMs) {
            nextProbeMs = now + intervalMs
            rounds++
            probe?.let { suspect(it.host, now) }
            probe = null
            expireSuspicions(now)
            relays.values.removeIf { it.expiresMs <= now }
            out += probeNext(now)
            out += probeSeeds()
        }
        return count(out)
    }

    /** Returns a ping that carries recent updates to [member]. A missing acknowledgement raises no suspicion. */
    fun ping(member: Member): OutgoingProbe = send(member.peer, ProbeKind.PING, ++sequence)

    private fun onAck(message: ProbeMessage): List<OutgoingProbe> {
        if (probe?.sequence == message.sequence) probe = null
        val relay = relays.remove(message.sequence) ?: return emptyList()
        return listOf(send(relay.to, ProbeKind.ACK, relay.sequence))
    }

    private fun relay(message: ProbeMessage, replyTo: String, now: Long): OutgoingProbe {
        val relaySequence = ++sequence
        relays[relaySequence] = Relay(replyTo, message.sequence, now + intervalMs)
        return send(message.subject, ProbeKind.PING, relaySequence)
    }

    private fun sendIndirectProbes(probe: Probe): List<OutgoingProbe> {
        probe.isIndirect = true
        val intermediaries = live().filter {
            it.host != self.host && it.host != probe.host
        }.shuffled().take(INDIRECT_PROBES)
        return intermediaries.map { send(it.peer, ProbeKind.PING_REQUEST, probe.sequence, probe.address) }
    }

    private fun probeNext(now: Long): List<OutgoingProbe> {
        val next = nextToProbe() ?: return emptyList()
        val sent = Probe(next.host, next.peer, ++sequence, now)
        probe = sent
        return listOf(send(next.peer, ProbeKind.PING, sent.sequence))
    }

    private fun nextToProbe(): Member? {
        val isLocalRound = rounds % REMOTE_PROBE_PERIOD != 0L
        repeat(2) {
            val candidates = probeOrder.filter { members[it]?.isLive == true }
            val chosen = candidates.firstOrNull { (members[it]?.dataCentre == self.dataCentre) == isLocalRound }
                ?: candidates.firstOrNull()
            if (chosen != null) {
                probeOrder.remove(chosen)
                return members[chosen]
            }
            probeOrder.clear()
            probeOrder.addAll(live().map { it.host }.filter { it != self.host }.shuffled())
        }
        return null
    }

    private fun probeSeeds(): List<OutgoingProbe> {
        val known = live().map { it.peer }.toSet()
        return seeds.filter {
            it !in known
        }.shuffled().take(SEED_PROBES_PER_ROUND).map { send(it, ProbeKind.PING, ++sequence) }
    }

    private fun suspect(host: String, now: Long) {
        val member = members[host] ?: return
        if (member.status != MemberStatus.ALIVE) return
        counts = counts.copy(suspicions = counts.suspicions + 1)
        put(member.copy(status = MemberStatus.SUSPECT), now)
    }

    private fun expireSuspicions(now: Long) {
        val suspicionTimeoutMs = SUSPICION_MULTIPLIER * intervalMs * logScale()
        for (member in members.values.toList()) {
            val ageMs = now - (changedAtMs[member.host] ?: now)
            when {
                member.status == MemberStatus.SUSPECT && ageMs >= suspicionTimeoutMs ->
                    put(member.copy(status = MemberStatus.DEAD), now)

                !member.isLive && ageMs >= DEAD_RETENTION_ROUNDS * intervalMs -> removeMember(member.host)
            }
        }
    }

    private fun removeMember(host: String) {
        changes++
        members.remove(host)
        changedAtMs.remove(host)
        retransmitsLeft.remove(host)
    }

    private fun merge(record: Member, now: Long) {
        if (record.host == self.host) {
            refute(record)
            return
        }
        val known = members[record.host]
        if (known == null && !record.isLive) return
        if (known != null && !record.supersedes(known)) {
            updateLoad(known, record)
            return
        }
        put(record, now)
    }

    private fun updateLoad(known: Member, record: Member) {
        val isSameVersion = known.incarnation == record.incarnation && known.version == record.version
        if (isSameVersion &&
            known.inProgress != record.inProgress
        ) {
            members[known.host] = known.copy(inProgress = record.inProgress)
        }
    }

    private fun refute(record: Member) {
        if (record.incarnation > self.incarnation) {
            // Incarnations are derived from the wall clock, which was set back between two starts of this host.
            updateSelf(disseminate = true) { it.copy(incarnation = record.incarnation + 1) }
            return
        }
        if (record.incarnation != self.incarnation || record.status == MemberStatus.ALIVE) return
        if (self.status == MemberStatus.LEFT || record.version < self.version) return
        counts = counts.copy(refutations = counts.refutations + 1)
        self = self.copy(version = record.version)
        updateSelf(disseminate = true) { it.copy(status = MemberStatus.ALIVE, version = it.version + 1) }
    }

    private fun put(record: Member, now: Long) {
        changes++
        members[record.host] = record
        changedAtMs[record.host] = now
        enqueueUpdate(record.host)
    }

    private fun enqueueUpdate(host: String) {
        retransmitsLeft.remove(host)
        retransmitsLeft[host] = RETRANSMIT_MULTIPLIER * logScale()
    }

    private fun logScale(): Int = maxOf(1, ceil(ln(members.size.toDouble() + 1)).toInt())

    private fun send(
        to: String,
        kind: ProbeKind,
        sequence: Long,
        subject: String = "",
        recipientHost: String? = null,
    ): OutgoingProbe = OutgoingProbe(to, ProbeMessage(kind, sequence, subject, piggybackedRecords(recipientHost)))

    /**
     * Returns the records to piggyback on a datagram. They include that of [recipientHost] unless it is considered
     * alive here: a host that never learns that it is suspected or declared dead cannot refute it.
     */
    private fun piggybackedRecords(recipientHost: String?): List<Member> {
        val out = LinkedHashMap<String, Member>()
        out[self.host] = self
        members[recipientHost]?.let { if (it.status != MemberStatus.ALIVE) out[it.host] = it }
        val queued = retransmitsLeft.keys.toList().takeLast(RECORDS_PER_MESSAGE - 1)
        for (host in queued) {
            members[host]?.let { out[host] = it }
            val left = retransmitsLeft.getValue(host) - 1
            if (left <= 0) retransmitsLeft.remove(host) else retransmitsLeft[host] = left
        }
        if (out.size < RECORDS_PER_MESSAGE) {
            live().randomOrNull()?.let { out[it.host] = it }
        }
        return out.values.toList()
    }

    private fun count(out: List<OutgoingProbe>): List<OutgoingProbe> {
        counts = counts.copy(sent = counts.sent + out.size)
        return out
    }

    private fun <T> List<T>.shuffled(): List<T> = shuffled(kotlin.random.Random(random.nextLong()))

    private fun <T> List<T>.randomOrNull(): T? = if (isEmpty()) null else this[random.nextInt(size)]
}
