/*
 * Requests and replies between hosts over TCP. Free-form JSON is embedded as text in the CBOR frame.
 */
package org.sesamerouter.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.sesamerouter.quarantine.DeathNotice

/** A record of the configuration stream, as sent between hosts. */
@Serializable
data class PeerRecord(val offset: Long, val payload: String)

/** A request from one host to another. */
@Serializable
sealed interface PeerRequest {
    /** Requests the configuration after [revision]. */
    @Serializable
    @SerialName("catch-up")
    data class CatchUp(val revision: Long) : PeerRequest

    /** Forwards a call of [operation] of the service [pool] to the holder of its key. */
    @Serializable
    @SerialName("forward")
    data class Forward(val request: String, val pool: String, val operation: String, val call: String) : PeerRequest

    /** Requests the outcome of [key] from its holder. */
    @Serializable
    @SerialName("outcome")
    data class Outcome(val key: String) : PeerRequest

    /** Announces target deaths. */
    @Serializable
    @SerialName("deaths")
    data class Deaths(val notices: List<DeathNotice>) : PeerRequest

    /** Transfers the [outcomes], a JSON list, of the keys held by the sender, which is shutting down. */
    @Serializable
    @SerialName("inherit")
    data class TransferOutcomes(val outcomes: String) : PeerRequest
}

/** Reply to a [PeerRequest]. */
@Serializable
sealed interface PeerReply {
    /** Records after the requested revision, or after the state in [snapshot] if there is one. */
    @Serializable
    @SerialName("configuration")
    data class Configuration(val snapshot: String?, val records: List<PeerRecord>) : PeerReply

    /** A complete answer, as JSON. */
    @Serializable
    @SerialName("answer")
    data class Answer(val answer: String) : PeerReply

    /** A refusal, as JSON. */
    @Serializable
    @SerialName("refusal")
    data class Refused(val refusal: String) : PeerReply

    /** The known outcome of a key, as JSON; null if the host does not hold the key. */
    @Serializable
    @SerialName("outcome")
    data class Outcome(val outcome: String?) : PeerReply

    /** Acknowledges a request that has no other reply. */
    @Serializable
    @SerialName("taken")
    data object Acknowledged : PeerReply
}

/** A frame with a request or a reply; [id] matches a reply to its request. */
@Serializable
data class PeerFrame(val id: Long, val request: PeerRequest? = null, val reply: PeerReply? = null)
