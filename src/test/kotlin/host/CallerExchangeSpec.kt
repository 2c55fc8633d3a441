/*
 * The traffic side of one request: token order, races between attempts, and the end.
 */
package org.sesamerouter.host

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RefusalReason
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.pipeline.AttemptId

private class RecordingSink : AnswerSink {
    val seen = ArrayList<String>()
    override val isWritable = true

    override fun token(position: Int, token: String) {
        seen += "$position:$token"
    }

    override fun complete(answer: RunAnswer) {
        seen += "end"
    }

    override fun refuse(refusal: Refusal) {
        seen += "refused"
    }
}

class CallerExchangeSpec :
    FunSpec({
        val one = AttemptId("r", 1)
        val two = AttemptId("r", 2)
        val refusal = Refusal(RefusalKind.FAILED, RefusalReason.DEADLINE_PASSED, "send again")

        fun exchange(sink: AnswerSink, bytes: Int = 100) = CallerExchange("r", sink, stream = true, bytes)

        test("a token that comes after the refusal is not passed on") {
            val sink = RecordingSink()
            val exchange = exchange(sink)
            exchange.refuse(refusal)
            exchange.onToken(one, 0, isLast = true, position = 0, token = "a") shouldBe TokenVerdict.LOST_RACE
            exchange.complete(RunAnswer("r"))
            sink.seen shouldContainExactly listOf("refused")
        }

        test("only the attempt that was first passes tokens on, repeats are dropped and gaps are told") {
            val sink = RecordingSink()
            val exchange = exchange(sink)
            exchange.onToken(one, 0, isLast = true, position = 0, token = "a") shouldBe TokenVerdict.FIRST
            exchange.onToken(two, 0, isLast = true, position = 0, token = "b") shouldBe TokenVerdict.LOST_RACE
            exchange.onToken(one, 0, isLast = true, position = 0, token = "a") shouldBe TokenVerdict.TAKEN
            exchange.onToken(one, 0, isLast = true, position = 2, token = "c") shouldBe TokenVerdict.GAP
            sink.seen shouldContainExactly listOf("0:a")
        }

        test("a resumed attempt goes on where the first one ended, and an end with another count is not whole") {
            val exchange = exchange(RecordingSink())
            exchange.onToken(one, 0, isLast = true, position = 0, token = "a")
            exchange.release(one, 0) shouldBe Progress(1, "a")
            exchange.onToken(two, 0, isLast = true, position = 1, token = "b") shouldBe TokenVerdict.FIRST
            exchange.isWhole(two, 0, count = 3) shouldBe false
            exchange.isWhole(two, 0, count = 2) shouldBe true
        }

        test("a collected answer larger than the bound is told as too large") {
            val exchange = CallerExchange("r", RecordingSink(), stream = false, maxAnswerBytes = 3)
            exchange.onToken(one, 0, isLast = true, position = 0, token = "ab") shouldBe TokenVerdict.FIRST
            exchange.onToken(one, 0, isLast = true, position = 1, token = "cd") shouldBe TokenVerdict.TOO_LARGE
        }

        test("a late token of an earlier stage is dropped") {
            val exchange = exchange(RecordingSink())
            exchange.onToken(two, 1, isLast = true, position = 0, token = "x") shouldBe TokenVerdict.FIRST
            exchange.onToken(one, 0, isLast = false, position = 0, token = "y") shouldBe TokenVerdict.LOST_RACE
        }
    })
