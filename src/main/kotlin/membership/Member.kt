/*
 * Membership records, and the datagrams that distribute them.
 */
package org.sesamerouter.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.sesamerouter.ledger.Holder

/** Status of a member. Of two records with the same version, the one with the later status takes precedence. */
@Serializable
enum class MemberStatus { ALIVE, SUSPECT, DEAD, LEFT }

/**
 * Membership record of one host.
 *
 * @property incarnation identifies one run of the process; it increases with each restart.
 * @property version incremented only by the host itself, to refute a suspicion or to publish a change.
 * @property peer address for traffic between hosts, TCP and UDP.
 * @property http address for callers.
 * @property revision log offset of the configuration in force on the host.
 * @property epoch current ticket epoch of the host.
 * @property inProgress requests in progress when the host sent this record.
 * @property processorPercent processor time that the host may use, 100 for one core of the usual speed.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class Member(
    @CborLabel(1) val host: String,
    @CborLabel(2) val incarnation: Long,
    @CborLabel(3) val version: Long,
    @CborLabel(4) val status: MemberStatus,
    @CborLabel(5) val peer: String,
    @CborLabel(6) val http: String,
    @CborLabel(7) val dataCentre: String,
    @CborLabel(8) val revision: Long = -1,
    @CborLabel(9) val epoch: Long = 0,
    @CborLabel(10) val leaving: Boolean = false,
    @CborLabel(11) val ready: Boolean = false,
    @CborLabel(12) val inProgress: Int = 0,
    @CborLabel(13) val processorPercent: Int = 100,
) {
    val holder: Holder get() = Holder(host, incarnation)

    /** Whether the host counts as live. A suspected host does until it is declared dead. */
    val isLive: Boolean get() = status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT

    /** Returns whether this record takes precedence over [other], a record of the same host. */
    fun supersedes(other: Member): Boolean = when {
        incarnation != other.incarnation -> incarnation > other.incarnation
        status == MemberStatus.LEFT || other.status == MemberStatus.LEFT -> other.status != MemberStatus.LEFT
        version != other.version -> version > other.version
        else -> status > other.status
    }
}

@Serializable
enum class ProbeKind { PING, ACK, PING_REQUEST }

/**
 * A membership datagram.
 *
 * @property sequence matches an acknowledgement to its ping.
 * @property subject peer address to probe, for a ping request.
 * @property members piggybacked records; the sender's own comes first.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ProbeMessage(
    @CborLabel(1) val kind: ProbeKind,
    @CborLabel(2) val sequence: Long,
    @CborLabel(3) val subject: String = "",
    @CborLabel(4) val members: List<Member> = emptyList(),
)

/** An outgoing datagram to the peer address [to]. */
data class OutgoingProbe(val to: String, val message: ProbeMessage)
