/*
 * Operator commands on top of the resource API.
 */
package org.sesamerouter.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.sesamerouter.api.PrettyJson
import org.sesamerouter.api.WireJson
import org.sesamerouter.configuration.Declaration
import org.sesamerouter.configuration.ResourceKind
import org.sesamerouter.experiment.newEventLoopGroup
import org.sesamerouter.host.ChangeAccepted
import org.sesamerouter.host.OperatorRefusal
import org.sesamerouter.host.PutBody
import org.sesamerouter.host.ResourceAnswer
import org.sesamerouter.host.ResourceList
import org.sesamerouter.web.ClientRequest
import org.sesamerouter.web.FetchOutcome
import org.sesamerouter.web.HttpClient
import org.sesamerouter.web.HttpReply
import org.sesamerouter.web.ReplyListener
import java.util.concurrent.CountDownLatch

private const val OK = 200
private const val SETTLE_POLL_MS = 200L
private const val SETTLE_TIMEOUT_MS = 30_000L
private const val REFUSED_STATUS = 3
private const val DEFAULT_HOST = "127.0.0.1:23000"
private const val HOST_HELP = "address of any entry host"
private const val OUTPUT_HELP = "table or json"

/** HTTP client of a command for one entry host. */
internal class OperatorClient(private val address: String) : AutoCloseable {
    private val group = newEventLoopGroup(1)
    val http = HttpClient(group)

    /** Sends a request and returns the reply, or fails the command when the host does not respond. */
    fun call(method: String, path: String, body: String = ""): HttpReply {
        val outcome = http.fetchBlocking(address, ClientRequest(method, path, body))
        if (outcome is FetchOutcome.Replied) return outcome.reply
        throw CliktError("$address does not answer; pass another entry host with --host")
    }

    /** Returns whether the host responds and is ready. */
    fun isReady(): Boolean {
        val outcome = http.fetchBlocking(address, ClientRequest("GET", "/ready"))
        return outcome is FetchOutcome.Replied && outcome.reply.status == OK
    }

    /** Returns the reply's body, or fails the command with the host's refusal. */
    fun get(path: String): String {
        val reply = call("GET", path)
        if (reply.status != OK) throw refusedError(reply)
        return reply.body
    }

    override fun close() {
        group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS)
    }
}

internal fun refusedError(reply: HttpReply): CliktError {
    val refusal = try {
        WireJson.decodeFromString(OperatorRefusal.serializer(), reply.body)
    } catch (_: IllegalArgumentException) {
        OperatorRefusal("the host answered ${reply.status}")
    }
    val lines = listOf("${refusal.reason}; ${refusal.remedy}") + refusal.faults.map { "  $it" }
    return CliktError(lines.joinToString("\n"), statusCode = REFUSED_STATUS)
}

internal fun parseKind(label: String): ResourceKind = ResourceKind.of(label)
    ?: throw CliktError(
        "unknown kind $label; use ${ResourceKind.entries.joinToString {
            it.label
        }}",
        statusCode = 2,
    )

/** One line of the output of `apply`; [state] is unchanged, accepted, refused, waiting or settled. */
@Serializable
internal data class ApplyLine(
    val kind: ResourceKind,
    val name: String,
    val state: String,
    val generation: Long = 0,
    val revision: Long = 0,
    val detail: String = "",
)

internal class ApplyCommand : CliktCommand("apply") {
    private val path by argument("DIR|FILE", help = "declarations").file(mustExist = true)
    private val host by option("--host", help = HOST_HELP).default(DEFAULT_HOST)
    private val author by option("--author", help = "author of the change, shown with refusals").default("")
    private val wait by option("--wait", help = "wait until all live hosts have applied the changes").flag()
    private val output by option("--output", help = OUTPUT_HELP).choice("table", "json").default("table")

    override fun help(context: Context) = "Applies declarations and shows which were accepted and which were refused."

    override fun run() {
        val result = readDeclarations(path)
        if (result.faults.isNotEmpty()) throw validationError(result.faults)
        OperatorClient(host).use { client ->
            awaitReady(client)
            val refused = result.items.count { !apply(client, it) }
            if (wait) result.items.forEach { awaitSettled(client, it) }
            if (refused > 0) throw CliktError("$refused of ${result.items.size} refused", statusCode = REFUSED_STATUS)
        }
    }

    /** Waits until the host is ready: while starting it does not respond at first, and then it reads the log. */
    private fun awaitReady(client: OperatorClient) {
        val untilNs = System.nanoTime() + SETTLE_TIMEOUT_MS * 1_000_000
        while (!client.isReady()) {
            if (System.nanoTime() > untilNs) throw CliktError("$host is not ready; pass another host or check its dump")
            Thread.sleep(SETTLE_POLL_MS)
        }
    }

    private fun apply(client: OperatorClient, item: Declaration): Boolean {
        val current = client.call("GET", resourcePath(item))
        val existing = if (current.status == OK) decodeResource(current.body) else null
        if (existing != null && existing.spec == item.spec) {
            printLine(ApplyLine(item.kind, item.name, "unchanged", existing.generation, existing.revision))
            return true
        }
        val body = PutBody(item.spec, item.generation ?: existing?.generation ?: 0, author)
        val reply = client.call("PUT", resourcePath(item), WireJson.encodeToString(PutBody.serializer(), body))
        if (reply.status != OK) {
            printLine(ApplyLine(item.kind, item.name, "refused", detail = refusedError(reply).message.orEmpty()))
            return false
        }
        val accepted = WireJson.decodeFromString(ChangeAccepted.serializer(), reply.body)
        printLine(ApplyLine(item.kind, item.name, "accepted", accepted.generation, accepted.revision))
        return true
    }

    private fun awaitSettled(client: OperatorClient, item: Declaration) {
        val untilNs = System.nanoTime() + SETTLE_TIMEOUT_MS * 1_000_000
        while (true) {
            val reply = client.call("GET", resourcePath(item))
            if (reply.status != OK) return
            val resource = decodeResource(reply.body)
            val hosts = resource.status.waitingFor.joinToString()
            val state = if (resource.status.settled) "settled" else "waiting"
            printLine(ApplyLine(item.kind, item.name, state, resource.generation, resource.revision, hosts))
            if (resource.status.settled) return
            if (System.nanoTime() > untilNs) throw CliktError("${item.name} waits for $hosts; check these hosts")
            Thread.sleep(SETTLE_POLL_MS)
        }
    }

    private fun printLine(line: ApplyLine) {
        if (output == "json") {
            echo(WireJson.encodeToString(ApplyLine.serializer(), line))
        } else {
            val numbers = if (line.generation > 0) "generation ${line.generation}, revision ${line.revision}" else ""
            echo("%-14s %-24s %-10s %s %s".format(line.kind.label, line.name, line.state, numbers, line.detail))
        }
    }

    private fun resourcePath(item: Declaration) = "/v1/resources/${item.kind.label}/${item.name}"
}

private fun decodeResource(body: String) = WireJson.decodeFromString(ResourceAnswer.serializer(), body)

internal class GetCommand : CliktCommand("get") {
    private val kind by argument("KIND")
    private val name by argument("NAME").optional()
    private val host by option("--host", help = HOST_HELP).default(DEFAULT_HOST)
    private val output by option("--output", help = OUTPUT_HELP).choice("table", "json").default("table")

    override fun help(context: Context) = "Shows resources with their status."

    override fun run() = OperatorClient(host).use { client ->
        val path = "/v1/resources/${parseKind(kind).label}" + name?.let { "/$it" }.orEmpty()
        val body = client.get(path)
        if (output == "json") {
            echo(PrettyJson.encodeToString(JsonElement.serializer(), WireJson.parseToJsonElement(body)))
        } else {
            val items = if (name != null) {
                listOf(decodeResource(body))
            } else {
                WireJson.decodeFromString(ResourceList.serializer(), body).items
            }
            echo("%-14s %-24s %10s %9s  %s".format("KIND", "NAME", "GENERATION", "REVISION", "STATUS"))
            items.forEach { echo(row(it)) }
        }
    }

    private fun row(item: ResourceAnswer): String {
        val status = if (item.status.settled) "settled" else "waits for ${item.status.waitingFor.joinToString()}"
        val refusals = item.status.refusals.joinToString("") { "\n    refused ${it.id} of ${it.author}: ${it.reason}" }
        return "%-14s %-24s %10d %9d  %s".format(item.kind.label, item.name, item.generation, item.revision, status) +
            refusals
    }
}

internal class WatchCommand : CliktCommand("watch") {
    private val kind by argument("KIND").optional()
    private val host by option("--host", help = HOST_HELP).default(DEFAULT_HOST)
    private val from by option("--from", help = "revision after which the watch starts").long().default(-1)

    override fun help(context: Context) = "Shows changes that are accepted, refused or settled, as one JSON line each."

    override fun run() = OperatorClient(host).use { client ->
        val watchEnded = CountDownLatch(1)
        val query = "?from=$from" + kind?.let { "&kind=${parseKind(it).label}" }.orEmpty()
        val listener = object : ReplyListener {
            override fun onLine(line: String) = echo(line)

            override fun onEnd() = watchEnded.countDown()

            override fun onFailed(sent: Boolean, cause: String) = watchEnded.countDown()
        }
        client.http.send(host, ClientRequest("GET", "/v1/watch$query"), listener)
        watchEnded.await()
        throw CliktError("the watch ended; reopen it from the last revision, at another host if necessary")
    }
}

internal class DeleteCommand : CliktCommand("delete") {
    private val kind by argument("KIND")
    private val name by argument("NAME")
    private val host by option("--host", help = HOST_HELP).default(DEFAULT_HOST)
    private val generation by option("--generation", help = "delete only this generation").long()

    override fun help(context: Context) = "Deletes a resource."

    override fun run() = OperatorClient(host).use { client ->
        val query = generation?.let { "?generation=$it" }.orEmpty()
        val reply = client.call("DELETE", "/v1/resources/${parseKind(kind).label}/$name$query")
        if (reply.status != OK) throw refusedError(reply)
        echo("$kind/$name deleted")
    }
}

internal class DumpCommand : CliktCommand("dump") {
    private val host by option("--host", help = HOST_HELP).default(DEFAULT_HOST)

    override fun help(context: Context) = "Shows the state of all slices of one host as JSON."

    override fun run() = OperatorClient(host).use { client ->
        val body = client.get("/v1/dump")
        echo(PrettyJson.encodeToString(JsonElement.serializer(), WireJson.parseToJsonElement(body)))
    }
}
