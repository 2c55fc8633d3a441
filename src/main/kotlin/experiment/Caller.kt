/*
 * A caller as the product expects it: asks for an address, keeps the answer for its lifetime, connects directly, and
 * asks again when its host does not answer. An idempotent request is sent again; one that may run once is sent again
 * only under its key.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.api.AddressAnswer
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
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
private const val GRACE_MS = 10_000L
private const val MAX_SENDS = 6
private const val RESEND_MS = 100L
private const val NANOS_PER_MS = 1_000_000.0

/**
 * One request to send.
 *
 * @property id unique name of the call.
 * @property uid unique member of the input; a request that its caller sends again under a new key keeps it.
 */
data class PlannedCall(
    val id: String,
    val uid: String,
    val entry: MixEntry,
    val organisation: String,
    val dataCentre: String,
    val poison: Boolean = false,
    val prefix: String = "",
    val ownKey: Boolean = false,
) {
    /** What the caller sends as input. */
    val input: JsonElement get() {
        val members = LinkedHashMap<String, JsonElement>()
        if (prefix.isNotEmpty()) members["prompt"] = JsonPrimitive(prefix)
        if (poison) members[POISON_MEMBER] = JsonPrimitive("true")
        members[UID_MEMBER] = JsonPrimitive(uid)
        return JsonObject(members)
    }
}

/** What callers know of the deployment. */
class CallerContext(
    val client: HttpClient,
    val pipelines: Map<String, PipelineSpec>,
    val timer: ScheduledExecutorService,
    private val anyAddress: () -> String,
) {
    private val kept = java.util.concurrent.ConcurrentHashMap<String, KeptAddress>()

    private class KeptAddress(val answer: AddressAnswer, val untilNanos: Long)

    /** Gives an address for callers in [dataCentre], kept or asked for, or null when no host answers. */
    fun address(dataCentre: String, fresh: Boolean, done: (AddressAnswer?) -> Unit) {
        val known = kept[dataCentre]
        if (!fresh && known != null && System.nanoTime() < known.untilNanos) {
            done(known.answer)
            return
        }
        val request = ClientRequest("GET", "/v1/address?data_centre=$dataCentre")
        client.fetch(anyAddress(), request, ADDRESS_TIMEOUT_MS) { outcome ->
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
                kept[dataCentre] = KeptAddress(answer, System.nanoTime() + lifetime)
            }
            done(answer)
        }
    }
}

/** Sends one planned call and gives its record to [done], once. */
class Caller(
    private val context: CallerContext,
    private val plan: PlannedCall,
    private val done: (CallRecord) -> Unit,
) {
    private val startNanos = System.nanoTime()
    private val finished = AtomicBoolean()
    private val deadlineMs = context.pipelines[plan.entry.pipeline]?.deadlineMs ?: SERVICE_DEADLINE_MS
    private var key = ""
    private var sends = 0
    private var request = ""

    @Volatile
    private var firstTokenNanos = 0L

    @Volatile
    private var current: ClientCall? = null

    /** Starts. */
    fun start() {
        context.timer.schedule({ end(Ending.LOST, "no answer") }, deadlineMs + GRACE_MS, TimeUnit.MILLISECONDS)
        ask(fresh = false)
    }

    private fun ask(fresh: Boolean) {
        if (finished.get()) return
        sends++
        context.address(plan.dataCentre, fresh) { answer ->
            if (answer == null) again() else send(answer)
        }
    }

    private fun again() {
        if (sends >= MAX_SENDS || elapsedMs() > deadlineMs) {
            end(if (plan.entry.once) Ending.UNKNOWN else Ending.FAILED, "no host answered")
        } else {
            context.timer.schedule({ ask(fresh = true) }, RESEND_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun send(address: AddressAnswer) {
        if (key.isEmpty()) key = if (plan.ownKey) plan.id else "${address.ticket}/${plan.id}"
        val left = maxOf(1, deadlineMs - elapsedMs().toLong())
        val call = RunCall(
            plan.organisation,
            plan.input,
            deadlineMs = left,
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
        current = context.client.send(address.address, ClientRequest("POST", path, body), CallListener())
    }

    private fun elapsedMs(): Double = (System.nanoTime() - startNanos) / NANOS_PER_MS

    private fun end(ending: Ending, reason: String) {
        if (!finished.compareAndSet(false, true)) return
        if (ending == Ending.LOST) current?.cancel()
        val first = if (firstTokenNanos == 0L) 0.0 else (firstTokenNanos - startNanos) / NANOS_PER_MS
        done(
            CallRecord(
                plan.id,
                plan.uid,
                plan.entry,
                plan.organisation,
                plan.poison,
                ending,
                reason,
                elapsedMs(),
                first,
                startNanos,
                request,
            ),
        )
    }

    private fun whole(answer: RunAnswer, text: String) {
        val expected = expectedAnswer()
        val isShort = text.length < expected.text.length && expected.text.startsWith(text)
        val ending = when {
            isShort -> Ending.CUT
            text != expected.text || answer.output != expected.output -> Ending.CROSSED
            elapsedMs() > deadlineMs -> Ending.LATE
            else -> Ending.ATTAINED
        }
        end(ending, "")
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

    private fun refused(refusal: Refusal) {
        val ending = when (refusal.kind) {
            RefusalKind.NOT_RUN -> Ending.NOT_RUN
            RefusalKind.FAILED -> Ending.FAILED
            RefusalKind.IN_PROGRESS, RefusalKind.OUTCOME_UNKNOWN -> Ending.UNKNOWN
        }
        request = refusal.request
        val isOtherHostOpen = refusal.reason == org.sesamerouter.api.RefusalReason.NOT_READY
        if (isOtherHostOpen && ending == Ending.NOT_RUN) again() else end(ending, refusal.reason.name)
    }

    private inner class CallListener : ReplyListener {
        private var status = 0
        private var event = ""
        private var next = 0
        private val text = StringBuilder()
        private var settled = false

        override fun onHead(status: Int) {
            this.status = status
        }

        override fun onLine(line: String) {
            when {
                status != OK -> readRefusal(line)
                !plan.entry.stream -> readWhole(line)
                line.startsWith("event: ") -> event = line.removePrefix("event: ")
                line.startsWith("data: ") -> readEvent(line.removePrefix("data: "))
            }
        }

        override fun onEnd() {
            if (!settled) again()
        }

        override fun onFailed(sent: Boolean, cause: String) {
            if (!settled) again()
        }

        private fun readRefusal(line: String) {
            settled = true
            refused(WireJson.decodeFromString(Refusal.serializer(), line))
        }

        private fun readWhole(line: String) {
            settled = true
            val answer = WireJson.decodeFromString(RunAnswer.serializer(), line)
            whole(answer, answer.text)
        }

        private fun readEvent(data: String) {
            when (event) {
                StreamEvents.TOKEN -> {
                    val token = WireJson.decodeFromString(TokenEvent.serializer(), data)
                    if (firstTokenNanos == 0L) firstTokenNanos = System.nanoTime()
                    if (token.position == next++) text.append(token.token)
                }

                StreamEvents.END -> {
                    settled = true
                    whole(WireJson.decodeFromString(RunAnswer.serializer(), data), text.toString())
                }

                StreamEvents.REFUSED -> readRefusal(data)
            }
        }
    }

    private companion object {
        const val SERVICE_DEADLINE_MS = 2_000L
    }
}
