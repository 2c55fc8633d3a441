/*
 * What hosts ask each other over TCP. Payloads that hold free-form JSON travel as JSON text within the CBOR frame.
 */
package org.sesamerouter.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.sesamerouter.quarantine.DeathNotice

/** A record of the configuration stream between hosts. */
@Serializable
data class PeerRecord(val offset: Long, val payload: String)

/** A request from one host to another. */
@Serializable
sealed interface PeerRequest {
    /** Asks for the configuration after [revision]. */
    @Serializable
    @SerialName("catch-up")
    data class CatchUp(val revision: Long) : PeerRequest

    /** Asks the holder of a key to run a call of [operation] of the service [pool]. */
    @Serializable
    @SerialName("forward")
    data class Forward(val request: String, val pool: String, val operation: String, val call: String) : PeerRequest

    /** Asks the holder of [key] for its outcome. */
    @Serializable
    @SerialName("outcome")
    data class Outcome(val key: String) : PeerRequest

    /** Tells of target deaths. */
    @Serializable
    @SerialName("deaths")
    data class Deaths(val notices: List<DeathNotice>) : PeerRequest

    /** Hands over [outcomes], a JSON list, of keys that the sender held and that stops now. */
    @Serializable
    @SerialName("inherit")
    data class Inherit(val outcomes: String) : PeerRequest
}

/** The answer to a [PeerRequest]. */
@Serializable
sealed interface PeerReply {
    /** Records after the asked revision; with [snapshot] they follow that state. */
    @Serializable
    @SerialName("configuration")
    data class Configuration(val snapshot: String?, val records: List<PeerRecord>) : PeerReply

    /** A whole answer, as JSON. */
    @Serializable
    @SerialName("answer")
    data class Answer(val answer: String) : PeerReply

    /** A refusal, as JSON. */
    @Serializable
    @SerialName("refusal")
    data class Refused(val refusal: String) : PeerReply

    /** What is known of a key, as JSON; null when the host does not hold it. */
    @Serializable
    @SerialName("outcome")
    data class Outcome(val outcome: String?) : PeerReply

    /** Taken in. */
    @Serializable
    @SerialName("taken")
    data object Taken : PeerReply
}

/** A numbered request or reply in one frame. */
@Serializable
data class PeerFrame(val id: Long, val request: PeerRequest? = null, val reply: PeerReply? = null)
