/*
 * Tests the estimate of how long a request waited for an event loop that was held up.
 */
package org.sesamerouter.web

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.sesamerouter.clock.manualClock

class LoopLagSpec :
    FunSpec({
        test("timers that are a little late mean no lag") {
            val lag = LoopLag(0)
            listOf(110L, 250L, 390L).forEach(lag::onTick)
            lag.sinceMs(520) shouldBe 0
        }

        test("rounds of the loop that took long add up, since accepting a connection and reading it take two") {
            val lag = LoopLag(0)
            lag.onTick(100)
            lag.onTick(1_200)
            lag.sinceMs(1_250) shouldBe 1_000
            lag.onTick(2_000)
            lag.sinceMs(2_500) shouldBe 1_000 + 700 + 400
        }

        test("a lag is forgotten after some rounds without one") {
            val lag = LoopLag(0)
            lag.onTick(1_200)
            listOf(1_300L, 1_400L, 1_500L).forEach(lag::onTick)
            lag.sinceMs(1_550) shouldBe 0
        }

        test("a connection may have waited since the backlog of the listening socket was last empty") {
            val clock = manualClock()
            val backlog = AcceptBacklog(maxAccepts = 2, LoopLag(0), clock)
            backlog.onRound(accepted = 1)
            backlog.sinceMs shouldBe null
            clock.advance(50)
            backlog.onRound(accepted = 2)
            clock.advance(500)
            backlog.onRound(accepted = 2)
            backlog.sinceMs shouldBe 50
            backlog.onRound(accepted = 0)
            backlog.sinceMs shouldBe null
        }
    })
