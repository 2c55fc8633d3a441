/*
 * Reads one stream of the platform's log on and on. Callbacks are brought to the control thread by [post].
 */
package org.sesamerouter.log

import org.sesamerouter.clock.Clock

/**
 * A reader of [stream].
 *
 * @param nextOffset tells where to read on.
 * @param onRecords takes in what was read, in order, on the control thread.
 */
class StreamReader(
    private val log: PlatformLog,
    private val stream: LogStream,
    private val clock: Clock,
    private val post: (() -> Unit) -> Unit,
    private val nextOffset: () -> Long,
    private val onRecords: (ReadOutcome.Records) -> Unit,
) {
    private var reading = false
    private var nextReadMs = Long.MIN_VALUE

    /** Starts a read unless one is in progress or the log is given a pause; on the control thread. */
    fun onTick() {
        if (!reading && clock.nowMs() >= nextReadMs) read()
    }

    private fun read() {
        reading = true
        log.read(stream, nextOffset(), LOG_WAIT_MS) { outcome -> post { onRead(outcome) } }
    }

    private fun onRead(outcome: ReadOutcome) {
        reading = false
        when (outcome) {
            is ReadOutcome.Unavailable -> nextReadMs = clock.nowMs() + LOG_RETRY_MS

            is ReadOutcome.Records -> {
                onRecords(outcome)
                read()
            }
        }
    }
}
