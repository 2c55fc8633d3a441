/*
 * The resource API for operators: get, list, put with a generation check, delete and watch.
 */
package org.sesamerouter.host

import com.github.michaelbull.result.getError
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import org.sesamerouter.api.WireJson
import org.sesamerouter.api.decodeOrNull
import org.sesamerouter.api.isTooDeep
import org.sesamerouter.configuration.ChangeAnswer
import org.sesamerouter.configuration.ConfigurationRecord
import org.sesamerouter.configuration.ResourceKey
import org.sesamerouter.configuration.ResourceKind
import org.sesamerouter.configuration.parseSpec
import org.sesamerouter.web.HttpCall
import java.util.concurrent.atomic.AtomicBoolean

private const val OK = 200
private const val ACCEPTED = 202
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val UNPROCESSABLE = 422
private const val UNAVAILABLE = 503
private const val STOPPING_REASON = "this host is stopping; reopen the watch at another host from its last revision"
private const val SLOW_WATCH_REASON = "the watch client read too slowly; reopen the watch from its last revision"

/** Body of a put. Without [generation], the change is based on the generation that this host has applied. */
@Serializable
data class PutBody(val spec: JsonObject, val generation: Long? = null, val author: String = "")

/** Reason for refusing an operator's call, with a remedy; [faults] lists each fault of an invalid spec. */
@Serializable
data class OperatorRefusal(val reason: String, val faults: List<String> = emptyList(), val remedy: String = "")

/** Response to an accepted change. */
@Serializable
data class ChangeAccepted(val generation: Long, val revision: Long)

internal class OperatorRoutes(private val host: EntryHost) {
    /** Dispatches [call]; runs on an event loop. */
    fun handle(call: HttpCall) {
        val path = call.segments
        val kind = path.getOrNull(2)?.let { ResourceKind.of(it) }
        when {
            path[1] == "watch" -> watch(call)
            path.size > 2 && kind == null -> refuse(call, NOT_FOUND, "unknown kind ${path[2]}", KINDS_REMEDY)
            path.size <= 2 || kind == null -> list(call, null)
            path.size == 3 && call.method == "GET" -> list(call, kind)
            path.size == 4 -> handleResource(call, ResourceKey(kind, path[3]))
            else -> refuse(call, NOT_FOUND, "no route for ${call.method} ${call.path}", "see docs/API.md")
        }
    }

    private fun handleResource(call: HttpCall, key: ResourceKey) {
        when (call.method) {
            "GET" -> get(call, key)

            "PUT" -> put(call, key)

            "DELETE" -> change(
                call,
                key,
                null,
                call.query["generation"]?.toLongOrNull(),
                call.query["author"].orEmpty(),
            )

            else -> refuse(call, NOT_FOUND, "method ${call.method} is not supported here", "use GET, PUT or DELETE")
        }
    }

    private fun get(call: HttpCall, key: ResourceKey) {
        val view = host.view
        val resource = view.configuration.resources[key]
        if (resource == null) {
            refuse(call, NOT_FOUND, "${key.kind.label} ${key.name} does not exist", "apply it, or correct the name")
        } else {
            call.reply(OK, WireJson.encodeToString(ResourceAnswer.serializer(), answerOf(resource, view)))
        }
    }

    private fun list(call: HttpCall, kind: ResourceKind?) {
        val view = host.view
        val items = view.configuration.resources.values
            .filter { kind == null || it.kind == kind }
            .sortedWith(compareBy({ it.kind }, { it.name }))
            .map { answerOf(it, view) }
        val list = ResourceList(view.configuration.revision, items)
        call.reply(OK, WireJson.encodeToString(ResourceList.serializer(), list))
    }

    private fun put(call: HttpCall, key: ResourceKey) {
        val body = if (isTooDeep(call.body)) null else WireJson.decodeOrNull(PutBody.serializer(), call.body)
        if (body == null) {
            refuse(
                call,
                UNPROCESSABLE,
                "the body is not a change",
                "send {\"spec\":{…},\"generation\":N}; see docs/API.md",
            )
            return
        }
        val faults = parseSpec(key.kind, key.name, body.spec).getError()
        if (faults == null) {
            change(call, key, body.spec, body.generation, body.author)
            return
        }
        val refusal = OperatorRefusal("the spec is invalid", faults.map { it.toString() }, "correct each fault")
        call.reply(UNPROCESSABLE, WireJson.encodeToString(OperatorRefusal.serializer(), refusal))
    }

    private fun change(call: HttpCall, key: ResourceKey, spec: JsonObject?, baseGeneration: Long?, author: String) {
        host.loop.post {
            if (!host.configurationReplica.isReady) {
                refuse(
                    call,
                    UNAVAILABLE,
                    "this host has not loaded the configuration yet",
                    "retry the change later",
                )
                return@post
            }
            val id = host.configuration.newChangeId()
            val change = ConfigurationRecord.Change(id, author, key.kind, key.name, baseGeneration, spec)
            host.configuration.change(change) { answer -> replyChange(call, answer) }
        }
    }

    private fun replyChange(call: HttpCall, answer: ChangeAnswer) = when (answer) {
        is ChangeAnswer.Accepted -> {
            val accepted = ChangeAccepted(answer.outcome.generation, answer.outcome.revision)
            call.reply(OK, WireJson.encodeToString(ChangeAccepted.serializer(), accepted))
        }

        is ChangeAnswer.Refused -> refuse(
            call,
            CONFLICT,
            answer.outcome.refusal.orEmpty(),
            "get the resource and apply again",
        )

        is ChangeAnswer.NotAppended -> refuse(call, UNAVAILABLE, answer.cause, "nothing was changed; apply again later")

        is ChangeAnswer.OutcomeUnknown ->
            refuse(call, ACCEPTED, "the log did not confirm the append of ${answer.id}", "watch the resource")
    }

    private fun watch(call: HttpCall) {
        val kind = call.query["kind"]?.let { ResourceKind.of(it) }
        val from = call.query["from"]?.toLongOrNull() ?: -1
        val open = AtomicBoolean(true)
        call.onClosed = { open.set(false) }
        call.startStream("application/x-ndjson")
        val listener = object : WatchListener {
            override fun onEvents(events: List<WatchEvent>): Boolean {
                if (open.get()) writeEvents(call, events.filter { kind.includes(it) }, open)
                return open.get()
            }

            override fun end() {
                if (open.getAndSet(false)) endWatch(call, STOPPING_REASON)
            }
        }
        host.loop.post { host.configuration.watch(from, listener) }
    }

    /** Ends a watch whose client reads too slowly, so that pending events cannot accumulate without bound. */
    private fun writeEvents(call: HttpCall, events: List<WatchEvent>, open: AtomicBoolean) {
        for (event in events) {
            if (!call.isWritable) {
                endWatch(call, SLOW_WATCH_REASON)
                open.set(false)
                return
            }
            call.write(WireJson.encodeToString(WatchEvent.serializer(), event) + "\n")
        }
    }

    private fun endWatch(call: HttpCall, reason: String) {
        call.write("""{"reason":"$reason"}""" + "\n")
        call.endStream()
    }

    private fun refuse(call: HttpCall, status: Int, reason: String, remedy: String) {
        val refusal = OperatorRefusal(reason, remedy = remedy)
        call.reply(status, WireJson.encodeToString(OperatorRefusal.serializer(), refusal))
    }

    private companion object {
        const val KINDS_REMEDY = "use Pipeline, Pool, Organisation, PriorityClass or Model"
    }
}
