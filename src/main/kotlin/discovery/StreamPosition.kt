/*
 * Positions in the streams of the platform's store. After the store was restored from a copy, it assigns the offsets of
 * the lost records again, so an offset alone does not tell which record is newer.
 */
package org.sesamerouter.discovery

/**
 * A position in a stream of the store.
 *
 * @property era number of times that the store was restored from a copy; offsets of different eras are not comparable.
 */
data class StreamPosition(val era: Long, val offset: Long)
