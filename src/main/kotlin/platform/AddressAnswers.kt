/*
 * Translates the questions which address to use and whether a host is ready.
 */
package org.sesamerouter.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Path of the question which addresses to use. */
const val ADDRESSES_PATH = "/v1/resolve"

/** Path of the question whether this host is ready. */
const val READY_PATH = "/v1/ready"

private const val MS_PER_S = 1_000.0

@Serializable
private data class WireAddresses(val addrs: List<String>, @SerialName("ttl-s") val lifeS: Double)

/** Returns the answer that names [addresses], to be used for [lifeMs]. */
fun encodeAddresses(addresses: List<String>, lifeMs: Long): ByteArray =
    platformJson.encodeToString(WireAddresses.serializer(), WireAddresses(addresses, lifeMs / MS_PER_S)).toByteArray()
