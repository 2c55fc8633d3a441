/*
 * Tests the differences between configurations and how a host gives them: any text arrives as it was, in parts from one
 * host or several, and invalid bytes change nothing.
 */
package org.sesamerouter.propagation

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.histories
import kotlin.random.Random

private val ALPHABET = "{},ab\"é€ \n".toList()

private fun randomText(random: Random) = String(CharArray(random.nextInt(200)) { ALPHABET.random(random) })

/** Fetches what [giver] has for a host with [version], in parts; returns the text. */
private fun fetch(giver: ConfigurationGiver, version: Long, base: ConfigurationGiver?): String? {
    val transfer = IncomingTransfer()
    var now = 0L
    while (true) {
        val request = ConfigurationRequest(version, base?.checksum ?: 0, transfer.id, transfer.received)
        when (val reply = giver.reply(request, now)) {
            is ConfigurationReply.Part -> transfer.add(reply) shouldBe true
            is ConfigurationReply.Busy -> now += reply.retryMs
            is ConfigurationReply.NothingNewer -> return null
        }
        if (transfer.isWhole) return applyDelta(base?.textInForce.takeIf { transfer.base >= 0 }, transfer.take())
    }
}

class ConfigurationTransferSpec :
    FunSpec({
        test("the difference between any two texts leads from one to the other, and from no other text") {
            checkAll(histories(seed = 61), Arb.long()) { seed ->
                val random = Random(seed)
                val base = randomText(random)
                val text = if (random.nextBoolean()) randomText(random) else base.replaceFirst("a", "{b}")
                applyDelta(base, encodeDelta(base, text)) shouldBe text
                applyDelta(null, encodeDelta(null, text)) shouldBe text
                applyDelta("$base}", encodeDelta(base, text)).shouldBeNull()
            }
        }

        test("a difference with changed or missing bytes is not applied") {
            checkAll(histories(seed = 62), Arb.long()) { seed ->
                val random = Random(seed)
                val base = randomText(random)
                val text = randomText(random)
                val bytes = encodeDelta(base, text)
                val position = random.nextInt(bytes.size)
                val changed = bytes.copyOf().also { it[position] = (it[position] + 1 + random.nextInt(255)).toByte() }
                val cut = bytes.copyOf(position)
                listOf(changed, cut).mapNotNull { applyDelta(base, it) }.forEach { it shouldBe text }
            }
        }

        test("a change of one of 5,000 routes is sent on in less than a thousandth of the text") {
            val texts = ModelTexts(seed = 1, routes = 5_000)
            encodeDelta(texts.of(1), texts.of(2)).size shouldBeLessThan texts.of(2).length / 1_000
        }

        test("a host gets the newest text whatever it has, in parts within the allowance of the giver") {
            val texts = ModelTexts(seed = 2, routes = 2_000)
            val giver = ConfigurationGiver()
            for (version in 1L..20L) giver.onInForce(version, texts.of(version))
            for (version in listOf(1L, 14L, 19L)) {
                val base = ConfigurationGiver().also { it.onInForce(version, texts.of(version)) }
                fetch(giver, version, base) shouldBe texts.of(20)
            }
            fetch(giver, -1, null) shouldBe texts.of(20)
            fetch(giver, 20, null).shouldBeNull()
        }

        test("a host whose text differs from that of its version elsewhere gets the whole text") {
            val texts = ModelTexts(seed = 3, routes = 10)
            val giver = ConfigurationGiver()
            giver.onInForce(1, texts.of(1))
            giver.onInForce(2, texts.of(2))
            val reply = giver.reply(ConfigurationRequest(1, checksum = 4), 0)
            reply.shouldBeInstanceOf<ConfigurationReply.Part>().base shouldBe -1
        }

        // All hosts that lacked a version asked the few that had it at once, and all of their transfers timed out.
        test("a giver that many ask at once gives some of them all they need and sends the others on") {
            val texts = ModelTexts(seed = 4, routes = 5_000)
            val giver = ConfigurationGiver()
            giver.onInForce(1, texts.of(1))
            val replies = List(200) { giver.reply(ConfigurationRequest(-1, 0), 0) }
            val given = replies.filterIsInstance<ConfigurationReply.Part>().sumOf { it.bytes.size }
            given shouldBeLessThan 256 * 1_024 + 1
            replies.last().shouldBeInstanceOf<ConfigurationReply.Busy>()
        }
    })
