/*
 * The platform's host list. It lags behind, so it is only one of several sources on which hosts are live or leaving.
 */
package org.sesamerouter.membership

import kotlinx.serialization.Serializable

/** HTTP path of the host list. */
const val HOST_LIST_PATH = "/hosts"

/**
 * One host of the platform.
 *
 * @property address service address of a target, or peer address of an entry host.
 * @property entry whether this is an entry host of this system.
 */
@Serializable
data class ListedHost(val address: String, val entry: Boolean = false, val leaving: Boolean = false)

/** The complete host list. */
@Serializable
data class ListedHosts(val hosts: List<ListedHost>)
