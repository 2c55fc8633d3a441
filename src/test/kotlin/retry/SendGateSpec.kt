/*
 * Tests of the gate for sends and of the allowance of one host.
 */
package org.sesamerouter.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private const val WINDOW_MS = 10_000L
private const val SERVICE = "model"

private fun gateOf(hosts: () -> Int = { 1 }, share: Double = 0.0, slack: Double = 8.0): SendGate =
    SendGate(fleetAllowance({ RepeatTerms(share, slack, WINDOW_MS) }, startedMs = 0, hosts))

/** Takes passes for repeats at [now] until there is none; returns their number. */
private fun SendGate.takeAll(now: Long) = generateSequence { repeat(SERVICE, RepeatReason.LOST, now) }.count()

class SendGateSpec :
    FunSpec({
        test("a process has no slack until its window has passed since its start") {
            gateOf().takeAll(now = 10_900) shouldBe 0
            gateOf().takeAll(now = 11_000) shouldBe 4
        }

        test("the slack is used once in any window") {
            val gate = gateOf()
            gate.takeAll(now = 20_000) shouldBe 4
            gate.takeAll(now = 29_000) shouldBe 0
            gate.takeAll(now = 32_000) shouldBe 4
        }

        test("the share shrinks at once when another host is known") {
            var hosts = 1
            val gate = gateOf({ hosts })
            gate.repeat(SERVICE, RepeatReason.LOST, 20_000).shouldNotBeNull()
            hosts = 4
            gate.repeat(SERVICE, RepeatReason.LOST, 20_000).shouldBeNull()
        }

        test("the requests of half a window pay for repeats at once, those of a window for repeats within it") {
            val gate = gateOf(share = 0.2, slack = 0.0)
            for (now in 0L until 30_000 step 100) gate.onRequest(SERVICE, now)
            gate.takeAll(now = 30_000) shouldBeInRange 5..10
            gate.takeAll(now = 30_000) shouldBe 0
            for (now in 30_000L until 40_000 step 100) gate.onRequest(SERVICE, now)
            gate.takeAll(now = 40_000) shouldBeInRange 5..10
        }

        test("a pass that is used later counts where it is used, and not where it was taken") {
            val gate = gateOf()
            val pass = gate.repeat(SERVICE, RepeatReason.LOST, 20_000).shouldNotBeNull()
            gate.takeAll(now = 25_000) shouldBe 3
            gate.use(pass, SERVICE, 29_000).shouldNotBeNull()
            gate.takeAll(now = 32_000) shouldBe 0
            gate.takeAll(now = 37_000) shouldBe 3
        }

        test("a pass cannot be used when the allowance is used up by then") {
            val gate = gateOf()
            val pass = gate.repeat(SERVICE, RepeatReason.LOST, 20_000).shouldNotBeNull()
            gate.takeAll(now = 32_000) shouldBe 4
            gate.use(pass, SERVICE, 32_000).shouldBeNull()
        }

        test("an allowance that is used up, and that is back, is told once") {
            val gate = gateOf()
            gate.takeAll(now = 20_000)
            gate.takeAll(now = 20_500)
            val usedUp = gate.takeChanges(20_500).single()
            usedUp.isUsedUp shouldBe true
            usedUp.use.shouldNotBeNull().repeats shouldBe 4
            gate.takeChanges(25_000).shouldBeEmpty()
            val back = gate.takeChanges(32_000).single()
            back.isUsedUp shouldBe false
            back.refused shouldBe 2
        }

        test("the share of the slack on the metrics is that of this host") {
            val allowance = fleetAllowance({ RepeatTerms(0.0, 8.0, WINDOW_MS) }, startedMs = 0) { 4 }
            allowance.slackShare(20_000) shouldBe (1.0 plusOrMinus 1e-9)
        }
    })
