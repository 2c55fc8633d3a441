/*
 * Encodes the answers to address queries and defines the paths of the address and readiness endpoints.
 */
package org.sesamerouter.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Path of the endpoint that returns the addresses to use. */
const val ADDRESSES_PATH = "/v1/resolve"

/** Path of the endpoint that reports whether this host is ready. */
const val READY_PATH = "/v1/ready"

private const val MS_PER_S = 1_000.0

@Serializable
private data class WireAddresses(val addrs: List<String>, @SerialName("ttl-s") val ttlS: Double)

/** Encodes an answer with [addresses] that are valid for [ttlMs]. */
fun encodeAddresses(addresses: List<String>, ttlMs: Long): ByteArray =
    platformJson.encodeToString(WireAddresses.serializer(), WireAddresses(addresses, ttlMs / MS_PER_S)).toByteArray()
