/*
 * The gate's books against a plain list of what was committed, and what it decides for organisations and ranks.
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
        test("knows at every moment what a list of commitments and releases adds up to") {
            checkAll(histories(seed = 91), Arb.list(Arb.int(0..9_999), 1..80)) { steps ->
                val gate = AdmissionGate()
                val held = ArrayList<Pair<GateRequest, StageWork>>()
                for (step in steps) {
                    if (step % 3 != 0 || held.isEmpty()) {
                        val next = request("o${step % 4}", rank = step / 4 % 3, weight = 1 + step % 4)
                        val part = StageWork("p${step / 16 % 2}", (1 + step % 50).toLong(), 100)
                        gate.commit(next, part, step.toLong())
                        held += next to part
                    } else {
                        val (given, part) = held.removeAt(step % held.size)
                        gate.release(given, part)
                    }
                    repeat(2) { p ->
                        gate.committedMs("p$p") shouldBe
                            held.filter { it.second.pool == "p$p" }.sumOf { it.second.typicalMs }
                    }
                }
            }
        }

        test("refuses what would come too late and names a time to come back") {
            val gate = AdmissionGate()
            repeat(20) { gate.commit(request("a"), work, 0) }
            gate.decide(request("a"), 0) { 2.0 }.shouldBeInstanceOf<GateDecision.Refuse>().retryAfterMs shouldBe 150
            gate.decide(request("a", deadlineMs = 3_000), 0) { 2.0 } shouldBe GateDecision.Admit
        }

        test("an organisation below its share gets in while another has committed far more than it can have") {
            val gate = AdmissionGate()
            repeat(100) { gate.commit(request("large"), work, 0) }
            gate.decide(request("large"), 0) { 4.0 }.shouldBeInstanceOf<GateDecision.Refuse>()
            gate.decide(request("small"), 0) { 4.0 } shouldBe GateDecision.Admit
        }

        test("within an organisation a lower rank does not hold up a higher one, but not the other way round") {
            val gate = AdmissionGate()
            repeat(100) { gate.commit(request("a", rank = 5), work, 0) }
            gate.decide(request("a", rank = 1), 0) { 2.0 } shouldBe GateDecision.Admit
            repeat(40) { gate.commit(request("a", rank = 1), work, 1_000L + it) }
            gate.decide(request("a", rank = 5, deadlineMs = 60_000), 2_500) {
                2.0
            }.shouldBeInstanceOf<GateDecision.Refuse>()
            gate.decide(request("b", rank = 5, deadlineMs = 3_000), 2_500) { 2.0 } shouldBe GateDecision.Admit
        }

        test("grows careful with misses and forgets it with successes") {
            val gate = AdmissionGate()
            repeat(12) { gate.commit(request("a"), work, 0) }
            gate.decide(request("a"), 0) { 2.0 } shouldBe GateDecision.Admit
            repeat(40) { gate.onEnd(request("a"), inTime = false) }
            gate.decide(request("a"), 0) { 2.0 }.shouldBeInstanceOf<GateDecision.Refuse>()
            repeat(2_000) { gate.onEnd(request("a"), inTime = true) }
            gate.decide(request("a"), 0) { 2.0 } shouldBe GateDecision.Admit
        }
    })
