/*
 * Why a request is sent to its service again, for decisions, log lines and metrics.
 */
package org.sesamerouter.retry

/** What ended the send before. */
enum class RepeatReason {
    /** The target states that it did not run the request. */
    REJECTED,

    /** The target could not fetch the results of the stages. */
    INPUTS_GONE,

    /** The target answered with an error. */
    FAILED,

    /** No response was received. */
    LOST,

    /** The target was given up since it sent nothing. */
    SILENT,

    /** The response was interrupted and is resumed. */
    BROKEN_OFF,
}
