/*
 * Interface to the platform's append-only log. An append has three outcomes, because its reply can be lost after the
 * append took effect. If the outcome is unknown, a writer has to read the stream before it appends again.
 */
package org.sesamerouter.log

/** How long a read waits for a new record. Waiting reduces reads of an idle stream without delaying new records. */
const val LOG_LONG_POLL_MS = 5_000L

/** Delay before the next read after the log was unavailable. */
const val LOG_RETRY_MS = 200L

/** Streams that this system stores in the platform's log. */
enum class LogStream(val path: String) {
    CONFIGURATION("configuration"),
    CLAIMS("claims"),
    LEASES("leases"),
}

/** A record and its offset in the stream. */
data class LogRecord(val offset: Long, val payload: String)

/** Outcome of an append. */
sealed interface AppendOutcome {
    /** The records were appended, the first at [firstOffset]. */
    data class Appended(val firstOffset: Long) : AppendOutcome

    /** Nothing was appended: the request was certainly not sent, or the log rejected it. */
    data class Refused(val cause: String) : AppendOutcome

    /** The records may or may not have been appended. */
    data class Unknown(val cause: String) : AppendOutcome
}

/** Outcome of a read. */
sealed interface ReadOutcome {
    /**
     * Records from the requested offset on.
     *
     * @property floor lowest offset that the log still retains.
     * @property end offset of the next record to be appended.
     */
    data class Records(val records: List<LogRecord>, val floor: Long, val end: Long) : ReadOutcome

    /** The log did not reply, or not with records. */
    data class Unavailable(val cause: String) : ReadOutcome
}

/** Access to the platform's log. Callbacks may be invoked on any thread. */
interface PlatformLog {
    /** Appends [payloads] as consecutive records, atomically. */
    fun append(stream: LogStream, payloads: List<String>, done: (AppendOutcome) -> Unit)

    /** Reads records from [offset], waiting up to [waitMs] if there are none yet. */
    fun read(stream: LogStream, offset: Long, waitMs: Long, done: (ReadOutcome) -> Unit)
}
