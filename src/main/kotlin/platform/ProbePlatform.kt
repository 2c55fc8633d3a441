/*
 * A minimal platform in this process, which the start-up probe runs a host against: a store with one configuration, a
 * stage target and an engine, all at one address. It answers what a host asks for on the path of one request.
 */
package org.sesamerouter.platform

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.sesamerouter.web.IncomingRequest
import org.sesamerouter.web.OutgoingRequest
import java.nio.ByteBuffer
import java.util.Base64

private const val OK = 200
private const val END_OFFSET = 2L
private const val PROBE_HOST = "probe.example"
private const val PROBE_TIMEOUT_MS = 5_000

/** Answers the calls of hosts as the store and both targets; [address] is where the targets are reached. */
class ProbePlatform(private val address: String) {
    private val configuration = """
        {"version":1,"routes":[{"name":"probe","host":"$PROBE_HOST","path-prefix":"/probe/","kind":"streaming",
         "timeout-ms":$PROBE_TIMEOUT_MS,"target-latency-ms":1000,"priority":0,"service":"engine","max-attempts":2,
         "public":false,"sticky":true,"resumable":true,"gap-aim-ms":400,
         "stages":[{"service":"stage","after":[],"bytes":8000}]}],
         "services":[
         {"name":"engine","health-path":"/health","max-conns":64,"engine":{"slots":8,"kv-capacity":100000}},
         {"name":"stage","health-path":"/health","max-conns":64,
          "pieces":{"slots":1,"queue":2,"batch":4,"call-ms":1.0,"item-ms":1.0,"headroom-mb":8.0}}],
         "tenants":[{"name":"probe","api-keys":["probe-key"],"priority":0}],"limits":{}}
    """.trimIndent()

    /** Answers [request]; a waiting read of the configuration gets no answer. */
    fun onRequest(request: IncomingRequest) {
        val path = request.uri.substringBefore('?')
        when {
            path == "/v1/log-newest" -> request.reply(OK, newest(request.uri).toByteArray())
            path == "/v1/log-append" -> request.reply(OK, """{"offset":0,"end":1}""".toByteArray())
            path == "/v1/log-read" && "wait-ms" !in request.uri -> request.reply(OK, emptyRead())
            path == "/v1/stage-run" -> request.reply(OK, runStage(request.body.decodeToString()).toByteArray())
            path == "/v1/stage-free" -> request.reply(OK, "{}".toByteArray())
            path.startsWith("/probe/") -> answer(request)
        }
    }

    /** Returns the request of a caller that passes a stage and the engine. */
    fun callerRequest(): OutgoingRequest {
        val headers = DefaultHttpHeaders().set("Host", PROBE_HOST).set(REQUEST_ID, "probe")
            .set(DEADLINE, PROBE_TIMEOUT_MS.toString()).set("Authorization", "Bearer probe-key").set(PIECES, "2")
            .set(PIECE_KEY, "probe").set(PROMPT_PARTS, "a1:10,b2:5")
        return OutgoingRequest("POST", "/probe/x", headers, "{}".toByteArray(), responseIdOf("probe"))
    }

    private fun newest(uri: String): String {
        val records = when {
            KeyedTopic.CONFIGURATION.wireName in uri -> mapOf(CONFIGURATION_KEY to configuration)
            KeyedTopic.TARGETS.wireName in uri -> mapOf("s1" to entry("stage"), "e1" to entry("engine"))
            else -> emptyMap()
        }
        val items = records.entries.joinToString(",") { (key, value) ->
            """{"key":"$key","value":"${Base64.getEncoder().encodeToString(value.toByteArray())}","offset":0}"""
        }
        return """{"items":[$items],"more":false,"end":$END_OFFSET}"""
    }

    private fun entry(service: String) = """
        {"service":"$service","address":"$address","zone":"probe","version":"v1","slots":1,"state":"ready",
         "cold-left-ms":0,"seq-no":1,"born":1}
    """.trimIndent()

    private fun emptyRead(): ByteArray = ByteBuffer.allocate(2 * Long.SIZE_BYTES).putLong(END_OFFSET).putLong(0).array()

    private fun runStage(body: String): String {
        val count = platformJson.parseToJsonElement(body).jsonObject.getValue("items").jsonArray.size
        return """{"items":[${(0 until count).joinToString(",") { """{"handle":"$address/$it"}""" }}]}"""
    }

    private fun answer(request: IncomingRequest) {
        val headers = DefaultHttpHeaders().set("Content-Type", "text/event-stream").set(SERVER_STAMP, "probe")
            .set(REQUEST_ID, request.headers.get(REQUEST_ID).orEmpty())
        request.reply(OK, "id: 1\ndata: x\n\n".toByteArray(), headers)
    }
}
