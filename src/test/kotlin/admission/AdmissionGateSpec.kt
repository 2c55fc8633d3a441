/*
 * Tests the admission gate's accounting against a list of the committed work, and its decisions for organisations and
 * ranks.
 */
package org.sesamerouter.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.sesamerouter.histories

private val work = StageWork("engines", 100, 150)

private fun request(organisation: String, rank: Int = 0, deadlineMs: Long = 1_000, weight: Int = 1) =
    GateRequest(organisation, weight, rank, deadlineMs, listOf(work))

class AdmissionGateSpec :
    FunSpec({
        test("the committed work of each pool is always the sum of commitments less releases") {
            checkAll(histories(seed = 91), Arb.list(Arb.int(0..9_999), 1..80)) { steps ->
                val gate = AdmissionGate()
                val outstanding = ArrayList<Pair<GateRequest, StageWork>>()
                for (step in steps) {
                    if (step % 3 != 0 || outstanding.isEmpty()) {
                        val next = request("o${step % 4}", rank = step / 4 % 3, weight = 1 + step % 4)
                        val part = StageWork("p${step / 16 % 2}", (1 + step % 50).toLong(), 100)
                        gate.commit(next, part, step.toLong())
                        outstanding += next to part
                    } else {
                        val (committed, part) = outstanding.removeAt(step % outstanding.size)
                        gate.release(committed, part)
                    }
                    repeat(2) { p ->
                        gate.committedMs("p$p") shouldBe
                            outstanding.filter { it.second.pool == "p$p" }.sumOf { it.second.p50Ms }
                    }
                }
            }
        }

        test("refuses a request that would miss its deadline, with a retry delay") {
            val gate = AdmissionGate()
            repeat(20) { gate.commit(request("a"), work, 0) }
            gate.decide(request("a"), 0) { 2.0 }.shouldBeInstanceOf<GateDecision.Refuse>().retryAfterMs shouldBe 150
            gate.decide(request("a", deadlineMs = 3_000), 0) { 2.0 } shouldBe GateDecision.Admit
        }

        test("an organisation below its share is admitted while another has committed far more than its own share") {
            val gate = AdmissionGate()
            repeat(100) { gate.commit(request("large"), work, 0) }
            gate.decide(request("large"), 0) { 4.0 }.shouldBeInstanceOf<GateDecision.Refuse>()
            gate.decide(request("small"), 0) { 4.0 } shouldBe GateDecision.Admit
        }

        test("within an organisation higher ranks wait for lower ranks, but lower ranks do not wait for higher ones") {
            val gate = AdmissionGate()
            repeat(100) { gate.commit(request("a", rank = 5), work, 0) }
            gate.decide(request("a", rank = 1), 0) { 2.0 } shouldBe GateDecision.Admit
            repeat(40) { gate.commit(request("a", rank = 1), work, 1_000L + it) }
            gate.decide(request("a", rank = 5, deadlineMs = 60_000), 2_500) {
                2.0
            }.shouldBeInstanceOf<GateDecision.Refuse>()
            gate.decide(request("b", rank = 5, deadlineMs = 3_000), 2_500) { 2.0 } shouldBe GateDecision.Admit
        }

        test("missed deadlines make admission stricter, and successes relax it again") {
            val gate = AdmissionGate()
            repeat(12) { gate.commit(request("a"), work, 0) }
            gate.decide(request("a"), 0) { 2.0 } shouldBe GateDecision.Admit
            repeat(40) { gate.onEnd(request("a"), inTime = false) }
            gate.decide(request("a"), 0) { 2.0 }.shouldBeInstanceOf<GateDecision.Refuse>()
            repeat(2_000) { gate.onEnd(request("a"), inTime = true) }
            gate.decide(request("a"), 0) { 2.0 } shouldBe GateDecision.Admit
        }
    })
