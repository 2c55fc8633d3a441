/*
 * Messages between hosts for serving forwarded requests.
 */
package org.sesamerouter.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.sesamerouter.batching.AnnouncedPieces
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.batching.RankedTimes
import org.sesamerouter.batching.StageJob
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.discovery.TargetIncarnation
import org.sesamerouter.engine.EngineReport
import org.sesamerouter.evacuation.EvacuationState
import org.sesamerouter.ownership.OwnerTerm
import org.sesamerouter.propagation.ConfigurationDelta
import org.sesamerouter.propagation.ConfigurationReply
import org.sesamerouter.propagation.ConfigurationRequest
import org.sesamerouter.quarantine.DeathNotice
import org.sesamerouter.quarantine.HeldPart

/**
 * Expected time of a stage in a pool, published by the host that owns the pool's queue.
 *
 * @property later pieces that the requests in this queue will bring to later pools.
 */
@Serializable
data class PoolReport(val service: String, val expectedMs: RankedTimes, val later: List<AnnouncedPieces> = emptyList())

/** Requests between hosts for serving forwarded requests. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface ServingRequest : PeerRequest {
    /**
     * Submits [job] to the owner of the pool's queue; the reply is sent when the job has ended.
     *
     * @property term the term in force as far as the sender knows.
     * @property isRelayed whether the recipient is another host that has to pass it on to the owner.
     */
    @Serializable
    @SerialName("run-stage")
    data class RunStage(val job: StageJob, val term: OwnerTerm? = null, val isRelayed: Boolean = false) : ServingRequest

    /** Announces [term], which the sender or its successor holds. */
    @Serializable
    @SerialName("owner")
    data class Owner(val term: OwnerTerm) : ServingRequest

    /** Asks whether the owner of [term] answers the recipient. */
    @Serializable
    @SerialName("check-owner")
    data class CheckOwner(val term: OwnerTerm) : ServingRequest

    /** Cancels a job. */
    @Serializable
    @SerialName("cancel-stage")
    data class CancelStage(val service: String, val job: String) : ServingRequest

    /** Frees stored results of the pool [service]. */
    @Serializable
    @SerialName("free-results")
    data class FreeResults(val service: String, val handles: List<String>) : ServingRequest

    /** Reports that results of the pool [service] have probably been fetched by their consumer. */
    @Serializable
    @SerialName("results-read")
    data class ResultsFetched(val service: String, val handles: List<String>) : ServingRequest

    /**
     * Updates from the host [from] since its previous message of this type.
     *
     * @property read changes of targets, read from the store [readAgeMs] ago.
     * @property configVersion configuration version in force at the sender, -1 if none.
     * @property leaving targets that announced in a response to the sender that they are leaving.
     * @property configDelta difference to that version, if the sender read it from the store and it is small.
     * @property configAgeMs time for which any host has had that version in force, as far as the sender knows.
     * @property deaths targets that died while they ran a request of the sender.
     * @property soundParts suspected parts of prompts that a response to the sender has cleared.
     * @property heldParts parts of prompts that the sender holds back.
     * @property terms the terms that the sender holds as the owner of queues.
     * @property evacuations what the operator wrote about evacuated data centres; null if there is nothing new.
     */
    @Serializable
    data class StateUpdate(
        @CborLabel(1) val from: String,
        @CborLabel(2) val configVersion: Long,
        @CborLabel(3) val read: EntryRead? = null,
        @CborLabel(4) val readAgeMs: Long = 0,
        @CborLabel(5) val engines: List<EngineReport> = emptyList(),
        @CborLabel(6) val pools: List<PoolReport> = emptyList(),
        @CborLabel(7) val leaving: List<TargetIncarnation> = emptyList(),
        @CborLabel(8) val deaths: List<DeathNotice> = emptyList(),
        @CborLabel(9) val configAgeMs: Long = 0,
        @CborLabel(10) val configDelta: ConfigurationDelta? = null,
        @CborLabel(11) val soundParts: List<String> = emptyList(),
        @CborLabel(12) val heldParts: List<HeldPart> = emptyList(),
        @CborLabel(13) val terms: List<OwnerTerm> = emptyList(),
        @CborLabel(14) val evacuations: EvacuationState? = null,
    ) {
        /** Whether other hosts should know of the update at once, since it decides where they may send requests. */
        val isUrgent: Boolean
            get() = configDelta != null || leaving.isNotEmpty() || deaths.isNotEmpty() ||
                soundParts.isNotEmpty() || heldParts.isNotEmpty() || evacuations != null ||
                read?.changes.orEmpty().isNotEmpty()
    }

    /**
     * Passes [updates] on; the recipients of a message that is not [isFinal] pass them on to other hosts.
     *
     * @property dataCentre data centre of the host that sends this message.
     */
    @Serializable
    @SerialName("updates")
    data class StateUpdates(
        @CborLabel(1) val dataCentre: String,
        @CborLabel(2) val isFinal: Boolean,
        @CborLabel(3) val updates: List<StateUpdate>,
    ) : ServingRequest

    /** Requests a part of a newer configuration. */
    @Serializable
    @SerialName("configuration")
    data class Configuration(val request: ConfigurationRequest) : ServingRequest

    /** Requests all targets. */
    @Serializable
    @SerialName("state")
    data object State : ServingRequest

    /** Checks that the peer is responsive. */
    @Serializable
    @SerialName("ping")
    data object Ping : ServingRequest
}

/**
 * Outcome of a stage.
 *
 * @property maker the host whose queue made the results and counts their space.
 * @property term the term in force as far as the sender knows.
 */
@Serializable
@SerialName("stage-ended")
data class StageReply(val outcome: JobOutcome, val maker: String? = null, val term: OwnerTerm? = null) : PeerReply

/** Reply to [ServingRequest.Ping]: the terms in force as far as the sender knows. */
@Serializable
@SerialName("pong")
data class Pong(val terms: List<OwnerTerm>) : PeerReply

/** Reply to [ServingRequest.CheckOwner]: whether the owner answers, and the terms that the sender knows. */
@Serializable
@SerialName("owner-checked")
data class OwnerChecked(val isAnswering: Boolean, val terms: List<OwnerTerm>) : PeerReply

/** Reply to a request for the configuration. */
@Serializable
@SerialName("configuration-reply")
data class ConfigurationAnswer(val reply: ConfigurationReply) : PeerReply

/**
 * All targets as read from the store [readAgeMs] ago, those that announced in a response that they are leaving, the
 * parts of prompts that are held back, the owners of queues, and the evacuations.
 *
 * @property areHeldPartsKnown whether the sender knows what was held back before it started.
 */
@Serializable
@SerialName("state")
data class StateReply(
    val read: EntryRead?,
    val readAgeMs: Long,
    val leaving: List<TargetIncarnation> = emptyList(),
    val heldParts: List<HeldPart> = emptyList(),
    val terms: List<OwnerTerm> = emptyList(),
    val areHeldPartsKnown: Boolean = false,
    val evacuations: EvacuationState? = null,
) : PeerReply
