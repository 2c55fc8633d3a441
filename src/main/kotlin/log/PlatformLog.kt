/*
 * The platform's append-only log as the product sees it. An append has three outcomes, since its reply can be lost
 * after it took effect; a writer that sees UNKNOWN reads the stream and never appends blindly.
 */
package org.sesamerouter.log

/** How long a read waits for a record: fewer reads of an idle stream, and no later news. */
const val LOG_WAIT_MS = 5_000L

/** Pause before the next read of a log that did not answer. */
const val LOG_RETRY_MS = 200L

/** Streams that the product keeps in the platform's log. */
enum class LogStream(val path: String) {
    CONFIGURATION("configuration"),
    CLAIMS("claims"),
    LEASES("leases"),
}

/** A record with its place in a stream. */
data class LogRecord(val offset: Long, val payload: String)

/** The answer to an append. */
sealed interface AppendOutcome {
    /** The records stand in the stream, the first at [firstOffset]. */
    data class Appended(val firstOffset: Long) : AppendOutcome

    /** Nothing was appended: the request surely never left, or the log said so. */
    data class Refused(val cause: String) : AppendOutcome

    /** The records may or may not stand in the stream. */
    data class Unknown(val cause: String) : AppendOutcome
}

/** The answer to a read. */
sealed interface ReadOutcome {
    /**
     * Records from the asked offset on.
     *
     * @property floor lowest offset that the log still keeps.
     * @property end offset that the next append will get.
     */
    data class Records(val records: List<LogRecord>, val floor: Long, val end: Long) : ReadOutcome

    /** The log did not answer. */
    data class Unavailable(val cause: String) : ReadOutcome
}

/** Access to the platform's log; callbacks may come on any thread. */
interface PlatformLog {
    /** Appends [payloads] as consecutive records, all or none. */
    fun append(stream: LogStream, payloads: List<String>, done: (AppendOutcome) -> Unit)

    /** Reads from [offset], waiting up to [waitMs] for a record to come. */
    fun read(stream: LogStream, offset: Long, waitMs: Long, done: (ReadOutcome) -> Unit)
}
