/*
 * What hosts ask and tell each other to serve forwarded requests.
 */
package org.sesamerouter.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.batching.RankedTimes
import org.sesamerouter.batching.StageJob
import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.engine.EngineNews

/** Expected time of a stage in a pool, told by the host that owns the pool's queue. */
@Serializable
data class PoolNews(val service: String, val expectedMs: RankedTimes)

/** Requests between hosts that forward requests. */
@Serializable
sealed interface ServingRequest : PeerRequest {
    /** Asks the owner of a pool's queue to have [job] made; the reply comes when it has ended. */
    @Serializable
    @SerialName("run-stage")
    data class RunStage(val job: StageJob) : ServingRequest

    /** Gives up a job. */
    @Serializable
    @SerialName("cancel-stage")
    data class CancelStage(val service: String, val job: String) : ServingRequest

    /** Frees results of the pool [service]. */
    @Serializable
    @SerialName("free-results")
    data class FreeResults(val service: String, val handles: List<String>) : ServingRequest

    /** Tells that results of the pool [service] were probably fetched by their consumer. */
    @Serializable
    @SerialName("results-read")
    data class ResultsRead(val service: String, val handles: List<String>) : ServingRequest

    /**
     * What the host [from] learned since it told last.
     *
     * @property read changes of targets, read from the store [readAgeMs] ago.
     * @property configVersion version in force at the sender; -1 for none.
     */
    @Serializable
    @SerialName("news")
    data class News(
        val from: String,
        val configVersion: Long,
        val read: EntryRead? = null,
        val readAgeMs: Long = 0,
        val engines: List<EngineNews> = emptyList(),
        val pools: List<PoolNews> = emptyList(),
    ) : ServingRequest

    /** Asks for the declarations in force and for all targets. */
    @Serializable
    @SerialName("state")
    data object State : ServingRequest

    /** Asks whether the peer still answers. */
    @Serializable
    @SerialName("ping")
    data object Ping : ServingRequest
}

/** How a stage ended. */
@Serializable
@SerialName("stage-ended")
data class StageReply(val outcome: JobOutcome) : PeerReply

/** The declarations in force as the store holds them, and all targets with the age of that knowledge. */
@Serializable
@SerialName("state")
data class StateReply(val config: String?, val read: EntryRead?, val readAgeMs: Long) : PeerReply
