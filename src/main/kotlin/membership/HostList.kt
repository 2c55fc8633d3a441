/*
 * The platform's list of hosts. It lags, so it is one word among several on who lives and who leaves.
 */
package org.sesamerouter.membership

import kotlinx.serialization.Serializable

/** Path of the list. */
const val HOST_LIST_PATH = "/hosts"

/**
 * One host of the platform.
 *
 * @property address for a target the address that it serves at, for an entry host its peer address.
 * @property entry whether it is an entry host of this system.
 */
@Serializable
data class ListedHost(val address: String, val entry: Boolean = false, val leaving: Boolean = false)

/** The whole list. */
@Serializable
data class ListedHosts(val hosts: List<ListedHost>)
