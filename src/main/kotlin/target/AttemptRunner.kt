/*
 * Carries one attempt to its target and its reply back. Every line must name the request and the attempt; a reply that
 * does not is dropped with its connection.
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

/** Hears what comes of one attempt, on an event loop. Exactly one of the last four ends it. */
interface AttemptListener {
    /** A token came; false gives the attempt up, without another call. */
    fun onToken(call: ClientCall, position: Int, token: String): Boolean

    /** The target says that its answer is whole. */
    fun onAnswer(line: TargetLine)

    /** The target says that it did not run the request. */
    fun onRefused(leaving: Boolean)

    /** The target answered with an error or with what belongs elsewhere. */
    fun onError()

    /** The connection failed; [sent] is false when nothing can have reached the target. */
    fun onCut(sent: Boolean)
}

/** Sends attempts to targets. */
class AttemptRunner(private val client: HttpClient) {
    /** Sends [run] to [address]; with [once] the bytes leave on a fresh connection. */
    fun start(address: String, run: TargetRun, once: Boolean, listener: AttemptListener): ClientCall {
        val body = WireJson.encodeToString(TargetRun.serializer(), run)
        val call = ClientCall()
        val reply = RunReply(run, listener, call)
        return client.send(address, ClientRequest("POST", TargetPaths.RUN, body), reply, fresh = once, call)
    }

    /** Asks the target at [address] for its load; [done] gets null when it does not answer. */
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
        val belongs = parsed != null && parsed.request == run.request && parsed.attempt == run.attempt
        if (parsed == null || !belongs || last != null) {
            giveUp()
            listener.onError()
            return
        }
        if (parsed.end) last = parsed else take(parsed)
    }

    override fun onEnd() {
        if (ended) return
        ended = true
        val end = last
        when {
            status == OK && end != null -> listener.onAnswer(end)
            status == NOT_RUN -> refused()
            else -> listener.onError()
        }
    }

    override fun onFailed(sent: Boolean, cause: String) {
        if (ended) return
        ended = true
        listener.onCut(sent)
    }

    private fun take(line: TargetLine) {
        val token = line.token ?: return
        if (!listener.onToken(call, line.position, token)) giveUp()
    }

    private fun giveUp() {
        ended = true
        call.cancel()
    }

    private fun refused() {
        val said = refusal?.let { WireJson.decodeOrNull(TargetRefusal.serializer(), it) }
        val belongs = said != null && said.request == run.request && said.attempt == run.attempt
        if (said != null && belongs) listener.onRefused(said.leaving) else listener.onError()
    }
}
