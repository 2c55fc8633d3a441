/*
 * Guards the answer of a request against tokens out of order, against a mix of tokens from competing attempts and
 * against output after the request has completed.
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
    val calls = ArrayList<String>()
    override val isWritable = true

    override fun token(position: Int, token: String) {
        calls += "$position:$token"
    }

    override fun complete(answer: RunAnswer) {
        calls += "end"
    }

    override fun refuse(refusal: Refusal) {
        calls += "refused"
    }
}

class CallerExchangeSpec :
    FunSpec({
        val firstAttempt = AttemptId("r", 1)
        val secondAttempt = AttemptId("r", 2)
        val refusal = Refusal(RefusalKind.FAILED, RefusalReason.DEADLINE_PASSED, "send again")

        fun exchange(sink: AnswerSink, maxBytes: Int = 100) = CallerExchange("r", sink, stream = true, maxBytes)

        test("a token that arrives after the refusal is not forwarded") {
            val sink = RecordingSink()
            val exchange = exchange(sink)
            exchange.refuse(refusal)
            exchange.onToken(firstAttempt, 0, isLast = true, position = 0, token = "a") shouldBe TokenResult.LOST_RACE
            exchange.complete(RunAnswer("r"))
            sink.calls shouldContainExactly listOf("refused")
        }

        test(
            "only tokens of the attempt that answered first are forwarded, repeats are dropped and gaps are reported",
        ) {
            val sink = RecordingSink()
            val exchange = exchange(sink)
            exchange.onToken(firstAttempt, 0, isLast = true, position = 0, token = "a") shouldBe TokenResult.FIRST
            exchange.onToken(secondAttempt, 0, isLast = true, position = 0, token = "b") shouldBe TokenResult.LOST_RACE
            exchange.onToken(firstAttempt, 0, isLast = true, position = 0, token = "a") shouldBe TokenResult.TAKEN
            exchange.onToken(firstAttempt, 0, isLast = true, position = 2, token = "c") shouldBe TokenResult.GAP
            sink.calls shouldContainExactly listOf("0:a")
        }

        test("a resumed attempt continues where the first one stopped, and an end with a wrong count is incomplete") {
            val exchange = exchange(RecordingSink())
            exchange.onToken(firstAttempt, 0, isLast = true, position = 0, token = "a")
            exchange.release(firstAttempt, 0) shouldBe Progress(1, "a")
            exchange.onToken(secondAttempt, 0, isLast = true, position = 1, token = "b") shouldBe TokenResult.FIRST
            exchange.isComplete(secondAttempt, 0, count = 3) shouldBe false
            exchange.isComplete(secondAttempt, 0, count = 2) shouldBe true
        }

        test("a collected answer above the size limit is reported as too large") {
            val exchange = CallerExchange("r", RecordingSink(), stream = false, maxAnswerBytes = 3)
            exchange.onToken(firstAttempt, 0, isLast = true, position = 0, token = "ab") shouldBe TokenResult.FIRST
            exchange.onToken(firstAttempt, 0, isLast = true, position = 1, token = "cd") shouldBe TokenResult.TOO_LARGE
        }

        test("a late token of an earlier stage is dropped") {
            val exchange = exchange(RecordingSink())
            exchange.onToken(secondAttempt, 1, isLast = true, position = 0, token = "x") shouldBe TokenResult.FIRST
            exchange.onToken(firstAttempt, 0, isLast = false, position = 0, token = "y") shouldBe TokenResult.LOST_RACE
        }
    })
