/*
 * What targets send that ends no call: answers that are skipped, and data that closes its connection.
 */
package org.sesamerouter.web

private const val MAX_ID_LENGTH = 32
private const val MAX_CAUSE_LENGTH = 120

/** Why an answer ended no call. */
enum class UnusedKind {
    /** It bears the id of another request; the call that waits goes on waiting. */
    SKIPPED,

    /** It came while no call waited; its connection is closed. */
    UNASKED,

    /** Nothing shows whose it is; its connection is closed. */
    UNOWNED,

    /** It is no valid answer; its connection is closed. */
    INVALID,
}

/**
 * An answer of the target at [address] that ended no call.
 *
 * @property id the id that it bears, cut to a bound; null if it bears none.
 * @property waitingId the id of the call that waits on its connection, cut to a bound.
 * @property status its status; null if it has no valid head.
 * @property bytes the bytes of its body that were skipped; null if its connection is closed.
 * @property cause why its connection is closed; null if it is skipped.
 */
data class UnusedAnswer(
    val kind: UnusedKind,
    val address: String,
    val id: String?,
    val waitingId: String?,
    val status: Int?,
    val bytes: Long? = null,
    val cause: String? = null,
)

/** Is told of answers that ended no call, on the event loop. */
fun interface UnusedAnswers {
    fun onUnused(answer: UnusedAnswer)
}

/** Returns an id of unknown origin, cut so that a line of a log stays bounded. */
internal fun String.cutId(): String = take(MAX_ID_LENGTH)

/** Returns a cause that may quote received bytes, cut so that a line of a log stays bounded. */
internal fun String.cutCause(): String = take(MAX_CAUSE_LENGTH)
