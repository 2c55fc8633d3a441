/*
 * Measures how far this host is behind the first host of the fleet that has a configuration version in force.
 */
package org.sesamerouter.propagation

import java.util.TreeMap

private const val MAX_VERSIONS = 64

/** When configuration versions were first in force on any host, as far as this host knows. Not thread-safe. */
class ConfigurationLag {
    private val firstInForceMs = TreeMap<Long, Long>()
    private var version = -1L

    /** Records that a host has had [version] in force for [ageMs]. */
    fun onAnnounced(version: Long, ageMs: Long, now: Long) {
        if (version <= this.version) return
        firstInForceMs.merge(version, now - ageMs, ::minOf)
        while (firstInForceMs.size > MAX_VERSIONS) firstInForceMs.pollFirstEntry()
    }

    /** Records that [version] is in force on this host; returns the time since another host had it, 0 if none had. */
    fun onInForce(version: Long, now: Long): Long {
        val lagMs = now - (firstInForceMs[version] ?: now)
        this.version = version
        firstInForceMs.headMap(version, true).clear()
        return maxOf(0, lagMs)
    }

    /** Time for which another host has had a newer version in force than this one; 0 if none has. */
    fun behindMs(now: Long): Long = maxOf(0, now - (firstInForceMs.values.minOrNull() ?: now))
}
