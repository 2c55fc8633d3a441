/*
 * What goes into and comes out of the decisions about following the configuration, and the messages between hosts.
 */
package org.sesamerouter.propagation

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import org.sesamerouter.discovery.StreamPosition

/** Another live host that answers; [isNear] if it is in the same data centre. */
data class OtherHost(val host: String, val isNear: Boolean)

/** What a host knows of itself and of the fleet. */
interface FleetView {
    /** Version in force on this host, -1 if none. */
    val version: Long

    /** Checksum of the text in force on this host. */
    val checksum: Long

    /** Number of live hosts, including this one. */
    val liveHosts: Int

    /** Position of this host in the order in which hosts read the store; 0 reads first. */
    val readOrder: Int

    /** The live hosts that answer, without this one. */
    val others: List<OtherHost>

    /** Whether a read of the targets by this host has succeeded recently. */
    fun reachesStore(now: Long): Boolean
}

/** Names a transfer, so that another host can continue it: what it leads to and a checksum of all its bytes. */
@Serializable
data class TransferId(val version: Long, val checksum: Long)

/**
 * Requests a part of a newer configuration than [version], which is in force at the sender, -1 if none.
 *
 * @property checksum checksum of the text in force at the sender.
 * @property transfer the transfer that the sender has begun, if any, with its bytes up to [offset].
 */
@Serializable
data class ConfigurationRequest(
    val version: Long,
    val checksum: Long,
    val transfer: TransferId? = null,
    val offset: Int = 0,
)

/** Reply to a [ConfigurationRequest]. */
@Serializable
sealed interface ConfigurationReply {
    /**
     * Bytes of [transfer] from [offset]; it has [size] bytes in all.
     *
     * @property base version that the transfer is the difference to, -1 for a whole configuration.
     */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("part")
    class Part(
        val transfer: TransferId,
        val base: Long,
        val size: Int,
        val offset: Int,
        @ByteString val bytes: ByteArray,
    ) : ConfigurationReply

    /** The host gives as much as it may; it can give more after [retryMs]. */
    @Serializable
    @SerialName("busy")
    data class Busy(val retryMs: Long) : ConfigurationReply

    /** The host has only [version]. */
    @Serializable
    @SerialName("nothing-newer")
    data class NothingNewer(val version: Long) : ConfigurationReply
}

/** A compressed difference from the version [base] to [version], small enough to be sent without a request. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class ConfigurationDelta(
    @CborLabel(1) val base: Long,
    @CborLabel(2) val version: Long,
    @CborLabel(3) @ByteString
    val bytes: ByteArray,
)

/** How a read of the store ended. */
sealed interface StoreRead {
    /** The next read continues at [position]; null if more records were there than it returned. */
    data class Done(val position: StreamPosition?) : StoreRead

    /** The records that were asked for are no longer retained. */
    data object Truncated : StoreRead

    data class Failed(val cause: String) : StoreRead
}

/** What a host does to follow the configuration. */
sealed interface SyncEffect {
    /** Reads the newest configuration, or waits for one after [position]; it replaces the read before it. */
    data class ReadStore(val read: Long, val position: StreamPosition?) : SyncEffect

    /** Sends [request] as the fetch with [number] to [host]. */
    data class Fetch(val number: Long, val host: String, val request: ConfigurationRequest) : SyncEffect

    /** Applies [bytes] from [host], which lead from the version [base] to [version]. */
    class Apply(val host: String, val base: Long, val version: Long, val bytes: ByteArray) : SyncEffect

    /** Calls [ConfigurationSync.onTick] after [ms]. */
    data class Wake(val ms: Long) : SyncEffect

    /** Logs that a read failed; it is repeated after [retryMs]. */
    data class ReadFailed(val cause: String, val retryMs: Long) : SyncEffect

    /** Logs what came of a request for the version [wanted]; [tries] is the number of tries without progress. */
    data class FetchEnded(val host: String, val wanted: Long, val outcome: String, val tries: Int) : SyncEffect
}
