/*
 * Reads one stream of the platform's log continuously. Outcomes are dispatched to the control thread.
 */
package org.sesamerouter.log

import org.sesamerouter.clock.Clock

/**
 * Continuous reader of [stream].
 *
 * @param post runs a task on the control thread.
 * @param nextOffset returns the offset of the next read.
 * @param onRecords handles the records of each read, in order, on the control thread.
 */
class StreamReader(
    private val log: PlatformLog,
    private val stream: LogStream,
    private val clock: Clock,
    private val post: (() -> Unit) -> Unit,
    private val nextOffset: () -> Long,
    private val onRecords: (ReadOutcome.Records) -> Unit,
) {
    private var isReading = false
    private var nextReadMs = Long.MIN_VALUE

    /** Starts a read unless one is in progress or a retry is delayed. Call it on the control thread. */
    fun onTick() {
        if (!isReading && clock.nowMs() >= nextReadMs) read()
    }

    private fun read() {
        isReading = true
        log.read(stream, nextOffset(), LOG_LONG_POLL_MS) { outcome -> post { onRead(outcome) } }
    }

    private fun onRead(outcome: ReadOutcome) {
        isReading = false
        when (outcome) {
            is ReadOutcome.Unavailable -> nextReadMs = clock.nowMs() + LOG_RETRY_MS

            is ReadOutcome.Records -> {
                onRecords(outcome)
                read()
            }
        }
    }
}
