/*
 * Tests the estimate of how long a request waited for an event loop that was held up.
 */
package org.sesamerouter.web

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class LoopLagSpec :
    FunSpec({
        test("timers that are a little late mean no lag") {
            val lag = LoopLag(0)
            listOf(110L, 240L, 400L).forEach(lag::onTick)
            lag.sinceMs(480) shouldBe 0
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
    })
