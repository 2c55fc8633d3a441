/*
 * A caller that follows the documented protocol: it requests the address of an entry host, caches the reply for its
 * lifetime, connects to that host directly, and requests a new address when the host does not answer. All attempts of a
 * call carry the same idempotency key, so that a request that may run at most once can be sent again as well.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.api.AddressAnswer
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RefusalReason
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.api.RunCall
import org.sesamerouter.api.StreamEvents
import org.sesamerouter.api.TokenEvent
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.configuration.PipelineSpec
import org.sesamerouter.standin.POISON_MEMBER
import org.sesamerouter.standin.expectedOutput
import org.sesamerouter.standin.expectedTokens
import org.sesamerouter.web.ClientCall
import org.sesamerouter.web.ClientRequest
import org.sesamerouter.web.FetchOutcome
import org.sesamerouter.web.HttpClient
import org.sesamerouter.web.ReplyListener
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

private const val OK = 200
private const val ADDRESS_TIMEOUT_MS = 500L
private const val LOST_GRACE_MS = 10_000L
private const val MAX_ATTEMPTS = 6
private const val RETRY_DELAY_MS = 100L
private const val NANOS_PER_MS = 1_000_000.0

/**
 * One request to send.
 *
 * @property id unique name of the call.
 * @property uid value of the unique input member. Calls that send the same request under different keys share it.
 * @property poison whether the request crashes every engine that runs it.
 * @property prefix prompt prefix, or empty to send none.
 * @property usesOwnKey whether the caller sets its own idempotency key instead of deriving it from a host's ticket.
 */
data class PlannedCall(
    val id: String,
    val uid: String,
    val entry: MixEntry,
    val organisation: String,
    val dataCentre: String,
    val poison: Boolean = false,
    val prefix: String = "",
    val usesOwnKey: Boolean = false,
) {
    /** Returns this call for the run named [run], which targets that also served other runs can tell apart. */
    fun inRun(run: String): PlannedCall = copy(id = "$run-$id", uid = "$run-$uid")

    /** Input that the caller sends. */
    val input: JsonElement get() {
        val members = LinkedHashMap<String, JsonElement>()
        if (prefix.isNotEmpty()) members["prompt"] = JsonPrimitive(prefix)
        if (poison) members[POISON_MEMBER] = JsonPrimitive("true")
        members[UID_MEMBER] = JsonPrimitive(uid)
        return JsonObject(members)
    }
}

/** State that the callers of one deployment share: its pipelines, a client, a timer and a cache of addresses. */
class CallerContext(
    val client: HttpClient,
    val pipelines: Map<String, PipelineSpec>,
    val timer: ScheduledExecutorService,
    private val chooseAddress: () -> String,
) {
    private val cachedAddresses = java.util.concurrent.ConcurrentHashMap<String, CachedAddress>()

    private class CachedAddress(val answer: AddressAnswer, val expiresAtNanos: Long)

    /**
     * Passes an entry host address for callers in [dataCentre] to [onDone], or null if no address was received. The
     * cached address is used until it expires, unless [forceRefresh] is set.
     */
    fun address(dataCentre: String, forceRefresh: Boolean, onDone: (AddressAnswer?) -> Unit) {
        val cached = cachedAddresses[dataCentre]
        if (!forceRefresh && cached != null && System.nanoTime() < cached.expiresAtNanos) {
            onDone(cached.answer)
            return
        }
        val request = ClientRequest("GET", "/v1/address?data_centre=$dataCentre")
        client.fetch(chooseAddress(), request, ADDRESS_TIMEOUT_MS) { outcome ->
            val reply = (outcome as? FetchOutcome.Replied)?.reply
            val answer = if (reply?.status ==
                OK
            ) {
                WireJson.decodeOrNull(AddressAnswer.serializer(), reply.body)
            } else {
                null
            }
            if (answer != null) {
                val lifetime = TimeUnit.MILLISECONDS.toNanos(answer.lifetimeMs)
                cachedAddresses[dataCentre] = CachedAddress(answer, System.nanoTime() + lifetime)
            }
            onDone(answer)
        }
    }
}

/** Sends one planned call and passes its record to [onDone] exactly once. */
class Caller(
    private val context: CallerContext,
    private val plan: PlannedCall,
    private val onDone: (CallRecord) -> Unit,
) {
    private val startNanos = System.nanoTime()
    private val finished = AtomicBoolean()
    private val deadlineMs = context.pipelines[plan.entry.pipeline]?.deadlineMs ?: SERVICE_DEADLINE_MS
    private var key = ""
    private var attempts = 0
    private var request = ""

    @Volatile
    private var firstTokenNanos = 0L

    @Volatile
    private var currentCall: ClientCall? = null

    fun start() {
        context.timer.schedule({
            finish(CallResult.LOST, "no answer")
        }, deadlineMs + LOST_GRACE_MS, TimeUnit.MILLISECONDS)
        resolveAndSend(forceRefresh = false)
    }

    private fun resolveAndSend(forceRefresh: Boolean) {
        if (finished.get()) return
        attempts++
        context.address(plan.dataCentre, forceRefresh) { answer ->
            if (answer == null) retryOrFinish() else send(answer)
        }
    }

    private fun retryOrFinish() {
        if (attempts >= MAX_ATTEMPTS || elapsedMs() > deadlineMs) {
            finish(if (plan.entry.once) CallResult.UNKNOWN else CallResult.FAILED, "no host answered")
        } else {
            context.timer.schedule({ resolveAndSend(forceRefresh = true) }, RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun send(address: AddressAnswer) {
        if (key.isEmpty()) key = if (plan.usesOwnKey) plan.id else "${address.ticket}/${plan.id}"
        val remainingMs = maxOf(1, deadlineMs - elapsedMs().toLong())
        val call = RunCall(
            plan.organisation,
            plan.input,
            deadlineMs = remainingMs,
            key = key,
            stream = plan.entry.stream,
            maxTokens = plan.entry.tokens,
        )
        val path = if (plan.entry.pipeline.isNotEmpty()) {
            "/v1/pipelines/${plan.entry.pipeline}"
        } else {
            "/v1/services/${plan.entry.service}/${plan.entry.operation}"
        }
        val body = WireJson.encodeToString(RunCall.serializer(), call)
        currentCall = context.client.send(address.address, ClientRequest("POST", path, body), CallListener())
    }

    private fun elapsedMs(): Double = (System.nanoTime() - startNanos) / NANOS_PER_MS

    private fun finish(result: CallResult, reason: String) {
        if (!finished.compareAndSet(false, true)) return
        if (result == CallResult.LOST) currentCall?.cancel()
        val firstTokenMs = if (firstTokenNanos == 0L) 0.0 else (firstTokenNanos - startNanos) / NANOS_PER_MS
        onDone(
            CallRecord(
                plan.id,
                plan.uid,
                plan.entry,
                plan.organisation,
                plan.poison,
                result,
                reason,
                elapsedMs(),
                firstTokenMs,
                startNanos,
                request,
            ),
        )
    }

    private fun onAnswer(answer: RunAnswer, text: String) {
        val expected = expectedAnswer()
        val isTruncated = text.length < expected.text.length && expected.text.startsWith(text)
        val result = when {
            isTruncated -> CallResult.CUT
            text != expected.text || answer.output != expected.output -> CallResult.CROSSED
            elapsedMs() > deadlineMs -> CallResult.LATE
            else -> CallResult.ATTAINED
        }
        finish(result, "")
    }

    private fun expectedAnswer(): RunAnswer {
        val input = plan.input
        if (plan.entry.pipeline.isEmpty()) {
            val output = expectedOutput(plan.entry.operation, plan.entry.operation, input, null)
            return RunAnswer("", output)
        }
        var upstream: JsonElement? = null
        val stages = context.pipelines.getValue(plan.entry.pipeline).stages
        for (stage in stages) {
            if (stage.name == "generate") {
                val text = expectedTokens(input, upstream, plan.entry.tokens).joinToString("")
                return RunAnswer("", null, text, plan.entry.tokens)
            }
            upstream = expectedOutput(stage.name, "", input, upstream)
        }
        return RunAnswer("", upstream)
    }

    private fun onRefused(refusal: Refusal) {
        val result = when (refusal.kind) {
            RefusalKind.NOT_RUN -> CallResult.NOT_RUN
            RefusalKind.FAILED -> CallResult.FAILED
            RefusalKind.IN_PROGRESS, RefusalKind.OUTCOME_UNKNOWN -> CallResult.UNKNOWN
        }
        request = refusal.request
        val isForAnotherHost = refusal.reason in setOf(RefusalReason.NOT_READY, RefusalReason.HOST_STOPPING)
        if (!isForAnotherHost || result != CallResult.NOT_RUN) {
            finish(result, refusal.reason.name)
            return
        }
        // A key with a ticket of a stopping host cannot run elsewhere. It has not run, so a new one is safe.
        if (refusal.reason == RefusalReason.HOST_STOPPING) key = ""
        retryOrFinish()
    }

    private inner class CallListener : ReplyListener {
        private var status = 0
        private var event = ""
        private var nextPosition = 0
        private val text = StringBuilder()
        private var isComplete = false

        override fun onHead(status: Int) {
            this.status = status
        }

        override fun onLine(line: String) {
            when {
                status != OK -> readRefusal(line)
                !plan.entry.stream -> readAnswer(line)
                line.startsWith("event: ") -> event = line.removePrefix("event: ")
                line.startsWith("data: ") -> readEvent(line.removePrefix("data: "))
            }
        }

        override fun onEnd() {
            if (!isComplete) retryOrFinish()
        }

        override fun onFailed(sent: Boolean, cause: String) {
            if (!isComplete) retryOrFinish()
        }

        private fun readRefusal(line: String) {
            isComplete = true
            onRefused(WireJson.decodeFromString(Refusal.serializer(), line))
        }

        private fun readAnswer(line: String) {
            isComplete = true
            val answer = WireJson.decodeFromString(RunAnswer.serializer(), line)
            onAnswer(answer, answer.text)
        }

        private fun readEvent(data: String) {
            when (event) {
                StreamEvents.TOKEN -> {
                    val token = WireJson.decodeFromString(TokenEvent.serializer(), data)
                    if (firstTokenNanos == 0L) firstTokenNanos = System.nanoTime()
                    if (token.position == nextPosition++) text.append(token.token)
                }

                StreamEvents.END -> {
                    isComplete = true
                    onAnswer(WireJson.decodeFromString(RunAnswer.serializer(), data), text.toString())
                }

                StreamEvents.REFUSED -> readRefusal(data)
            }
        }
    }

    private companion object {
        const val SERVICE_DEADLINE_MS = 2_000L
    }
}
