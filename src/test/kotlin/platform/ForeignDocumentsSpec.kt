/*
 * Tests that documents of other writers raise nothing, whatever they hold, on a thread with the stack of a deployed
 * process.
 */
package org.sesamerouter.platform

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.histories
import org.sesamerouter.membership.decodeProbe
import org.sesamerouter.propagation.applyDelta
import kotlin.random.Random

private const val STACK_BYTES = 256L * 1024
private const val MAX_RECORD_BYTES = 262_144
private const val MAX_FUZZ_BYTES = 600
private const val CBOR_ARRAY_OF_ONE: Byte = 0x81.toByte()
private const val CBOR_MAP_OF_ONE: Byte = 0xA1.toByte()
private val TARGET = TargetEntry("i-1", "stock", "10.128.0.9:8080", "west", 1, isDraining = false, startTimeMs = 0)

/** Runs [action] on a small stack and returns what it raised. */
private fun raisedBy(action: () -> Unit): Throwable? {
    var raised: Throwable? = null
    Thread(null, { raised = runCatching(action).exceptionOrNull() }, "decoder", STACK_BYTES).apply { start() }.join()
    return raised
}

private fun decodeAll(bytes: ByteArray) {
    val text = bytes.toString(Charsets.UTF_8)
    decodeTargetEntry("i-1", text)
    decodeServingConfig(text)
    decodeStageRun(TARGET, 1, text)
    decodeRecords(bytes, from = 0)
    decodeProbe(bytes)
    applyDelta(null, bytes)
    parsePlatformSettings(text)
}

private fun nested(opening: String, count: Int, prefix: String = "") = (prefix + opening.repeat(count)).toByteArray()

private val TOKENS = listOf(
    "{", "}", "[", "]", ",", ":", "\"", "\\", "\"items\"", "\"service\":", "\"state\":\"ready\"", "\"slots\":",
    "\"address\":\"1.2.3.4:80\"",
    "9".repeat(
        40,
    ),
    "-1e999", "null", "true", "\u0000", "\uD800", "\\u12", " ", "\n", "a.b=",
)

private fun randomDocument(random: Random): ByteArray = if (random.nextBoolean()) {
    random.nextBytes(random.nextInt(MAX_FUZZ_BYTES))
} else {
    buildString { repeat(random.nextInt(60)) { append(TOKENS.random(random)) } }.toByteArray()
}

class ForeignDocumentsSpec :
    FunSpec({
        // Guards against RECOVER: one deep entry of another writer ends the task that reads all entries.
        test("a document that is nested deeply is none, and raises nothing") {
            val deep = listOf(64, 512, 8_192, MAX_RECORD_BYTES).flatMap { count ->
                listOf(
                    nested("[", count),
                    nested("{\"a\":", count / 5),
                    nested("[", count, prefix = "{\"service\":\"stock\",\"x\":"),
                    nested("[", count, prefix = "{\"items\":[{\"x\":"),
                    ByteArray(count) { CBOR_ARRAY_OF_ONE },
                    ByteArray(count) { CBOR_MAP_OF_ONE },
                )
            }
            for (bytes in deep) {
                withClue("${bytes.size} bytes: ${bytes.take(40).toByteArray().toString(Charsets.UTF_8)}") {
                    raisedBy { decodeAll(bytes) }.shouldBeNull()
                }
            }
        }

        test("random documents raise nothing") {
            checkAll(histories(seed = 39), Arb.long()) { seed ->
                val bytes = randomDocument(Random(seed))
                withClue(bytes.toString(Charsets.UTF_8)) {
                    runCatching { decodeAll(bytes) }.exceptionOrNull().shouldBeNull()
                }
            }
        }

        // Guards against a request that hangs: an address that no connection can be opened to raises in the client.
        test("an entry whose address is none names no target") {
            for (address in listOf("10.0.0.1:99999", "10.0.0.1:0", "999.0.0.1:80", "10.0.0.256:80")) {
                val entry = """{"service":"stock","address":"$address","zone":"west","slots":6,"state":"ready"}"""
                decodeTargetEntry("i-1", entry).shouldBeNull()
            }
        }
    })
