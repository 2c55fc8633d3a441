/*
 * What hosts tell each other about themselves, and the datagrams that carry it.
 */
package org.sesamerouter.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.sesamerouter.ledger.Holder

/** How a member stands; of two records with the same version the later state wins. */
@Serializable
enum class MemberStatus { ALIVE, SUSPECT, DEAD, LEFT }

/**
 * One host.
 *
 * @property incarnation differs for each start of the process, and grows.
 * @property version raised by the host itself with each change, to refute a suspicion or tell something new.
 * @property peer address between hosts, TCP and UDP.
 * @property http address for callers.
 * @property revision offset up to which the host has its configuration in force.
 * @property epoch the host's current ticket epoch.
 * @property inProgress requests in progress when the host told of itself.
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
) {
    val holder: Holder get() = Holder(host, incarnation)

    /** Whether the host takes part; a suspect does until its suspicion ends. */
    val isLive: Boolean get() = status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT

    /** Tells whether this record replaces [other] of the same host. */
    fun supersedes(other: Member): Boolean = when {
        incarnation != other.incarnation -> incarnation > other.incarnation
        status == MemberStatus.LEFT || other.status == MemberStatus.LEFT -> other.status != MemberStatus.LEFT
        version != other.version -> version > other.version
        else -> status > other.status
    }
}

/** Kinds of datagrams. */
@Serializable
enum class ProbeKind { PING, ACK, PING_REQUEST }

/**
 * One datagram.
 *
 * @property sequence pairs an acknowledgement with its ping.
 * @property subject for a ping request the peer address to probe.
 * @property members records that travel along; the sender's own comes first.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ProbeMessage(
    @CborLabel(1) val kind: ProbeKind,
    @CborLabel(2) val sequence: Long,
    @CborLabel(3) val subject: String = "",
    @CborLabel(4) val members: List<Member> = emptyList(),
)

/** A datagram to send to the peer address [to]. */
data class ProbeSend(val to: String, val message: ProbeMessage)
