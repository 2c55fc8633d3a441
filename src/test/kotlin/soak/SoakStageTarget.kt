/*
 * A stage target of a soak. It answers each call after a while, and at times rejects calls, answers with an error,
 * sends bytes that are no answer, or loses results.
 */
package org.sesamerouter.soak

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.sesamerouter.front.PlatformStandin
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val CALL_MIN_MS = 20L
private const val CALL_SPREAD_MS = 250
private const val LONG_CALL_MS = 1_500L
private const val LONG_CALLS = 20 // one in so many calls is long
private const val LOST_AFTER_SPREAD_MS = 800

/** [has] tells whether it is to do a trouble now, and [isGone] whether any stage target lost a result. */
internal class SoakStageTarget(
    private val platform: PlatformStandin,
    private val randomInt: (Int) -> Int,
    private val has: (Trouble) -> Boolean,
    private val isGone: (String) -> Boolean,
) {
    private val made = AtomicInteger()
    private val results = ConcurrentHashMap<String, StageResult>()
    private val lost: MutableSet<String> = ConcurrentHashMap.newKeySet()
    var address = ""

    fun results(): List<StageResult> = results.values.toList()

    fun hasLost(handle: String): Boolean = handle in lost

    fun loseAll() {
        lost += results.keys
    }

    fun accept(call: TargetCall) {
        if (!call.uri.startsWith("/v1/stage-run")) {
            call.copy = null
            return call.answer(200, body = "{}")
        }
        if (has(Trouble.REJECTIONS)) return call.answer(503, mapOf("Not-Run" to "1"))
        val ms = if (randomInt(LONG_CALLS) == 0) LONG_CALL_MS else CALL_MIN_MS + randomInt(CALL_SPREAD_MS)
        platform.schedule(ms) { finish(call) }
    }

    private fun finish(call: TargetCall) {
        if (has(Trouble.ERRORS)) return call.answer(500)
        if (has(Trouble.SPOILED)) {
            call.writeRaw("not an answer\r\n\r\n")
            return call.abort()
        }
        val items = Json.parseToJsonElement(call.body).jsonObject.getValue("items").jsonArray
        val reply = items.joinToString(",") { answerTo(it.jsonObject) }
        call.answer(200, body = """{"items":[$reply]}""")
    }

    private fun answerTo(item: JsonObject): String {
        val inputs = item["inputs"]?.jsonArray?.map { it.jsonPrimitive.content }.orEmpty()
        if (inputs.any { isGone(it) }) return """{"reason":"gone"}"""
        val handle = "$address/h${made.incrementAndGet()}"
        val id = item.getValue("id").jsonPrimitive.content
        results[handle] = StageResult(handle, id, item.getValue("stage").jsonPrimitive.content.toInt(), inputs)
        if (has(Trouble.LOST_RESULTS)) platform.schedule(randomInt(LOST_AFTER_SPREAD_MS).toLong()) { lost += handle }
        return """{"handle":"$handle"}"""
    }
}
