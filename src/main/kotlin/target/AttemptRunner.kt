/*
 * Sends attempts to targets and reads their replies. Every reply line must carry the ids of the request and attempt; on
 * a mismatch the reply is discarded and its connection closed.
 */
package org.sesamerouter.target

import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.web.ClientCall
import org.sesamerouter.web.ClientRequest
import org.sesamerouter.web.FetchOutcome
import org.sesamerouter.web.HttpClient
import org.sesamerouter.web.ReplyListener

private const val OK = 200
private const val NOT_RUN = 503
private const val LOAD_TIMEOUT_MS = 400L

/**
 * Receives the events of one attempt on an event loop. Unless the attempt is cancelled, it ends with exactly one call
 * of [onAnswer], [onRefused], [onError] or [onConnectionFailed].
 */
interface AttemptListener {
    /** A token arrived; returning false cancels the attempt without further calls. */
    fun onToken(call: ClientCall, position: Int, token: String): Boolean

    /** The target ended its answer. */
    fun onAnswer(line: TargetLine)

    /** The target reported that it did not run the request; [leaving] when it is shutting down. */
    fun onRefused(leaving: Boolean)

    /** The target returned an error or a reply to a different attempt. */
    fun onError()

    /** The connection failed; [sent] is false when no data can have reached the target. */
    fun onConnectionFailed(sent: Boolean)
}

/** Sends attempts to targets. */
class AttemptRunner(private val client: HttpClient) {
    /** Sends [run] to [address]; a [nonIdempotent] one on a new connection. */
    fun start(address: String, run: TargetRun, nonIdempotent: Boolean, listener: AttemptListener): ClientCall {
        val body = WireJson.encodeToString(TargetRun.serializer(), run)
        val call = ClientCall()
        val reply = RunReply(run, listener, call)
        return client.send(address, ClientRequest("POST", TargetPaths.RUN, body), reply, fresh = nonIdempotent, call)
    }

    /** Requests the load of the target at [address]; [done] receives null when there is no valid answer. */
    fun load(address: String, done: (LoadReport?) -> Unit) {
        client.fetch(address, ClientRequest("GET", TargetPaths.LOAD), LOAD_TIMEOUT_MS) { outcome ->
            val reply = (outcome as? FetchOutcome.Replied)?.reply
            done(if (reply?.status == OK) WireJson.decodeOrNull(LoadReport.serializer(), reply.body) else null)
        }
    }
}

private class RunReply(
    private val run: TargetRun,
    private val listener: AttemptListener,
    private val call: ClientCall,
) : ReplyListener {
    private var status = 0
    private var last: TargetLine? = null
    private var refusal: String? = null
    private var ended = false

    override fun onHead(status: Int) {
        this.status = status
    }

    override fun onLine(line: String) {
        if (ended) return
        if (status != OK) {
            refusal = line
            return
        }
        val parsed = WireJson.decodeOrNull(TargetLine.serializer(), line)
        val isForThisAttempt = parsed != null && parsed.request == run.request && parsed.attempt == run.attempt
        if (parsed == null || !isForThisAttempt || last != null) {
            cancelCall()
            listener.onError()
            return
        }
        if (parsed.end) last = parsed else deliverToken(parsed)
    }

    override fun onEnd() {
        if (ended) return
        ended = true
        val end = last
        when {
            status == OK && end != null -> listener.onAnswer(end)
            status == NOT_RUN -> deliverRefusal()
            else -> listener.onError()
        }
    }

    override fun onFailed(sent: Boolean, cause: String) {
        if (ended) return
        ended = true
        listener.onConnectionFailed(sent)
    }

    private fun deliverToken(line: TargetLine) {
        val token = line.token ?: return
        if (!listener.onToken(call, line.position, token)) cancelCall()
    }

    private fun cancelCall() {
        ended = true
        call.cancel()
    }

    private fun deliverRefusal() {
        val decoded = refusal?.let { WireJson.decodeOrNull(TargetRefusal.serializer(), it) }
        val isForThisAttempt = decoded != null && decoded.request == run.request && decoded.attempt == run.attempt
        if (decoded != null && isForThisAttempt) listener.onRefused(decoded.leaving) else listener.onError()
    }
}
