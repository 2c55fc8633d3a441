/*
 * Tests of the pauses that targets ask for.
 */
package org.sesamerouter.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.sesamerouter.discovery.TargetEntry

private fun target(startTimeMs: Long = 1) = TargetEntry("t1", "desk", "10.0.0.1:80", "a", 4, false, startTimeMs)

class TargetPausesSpec :
    FunSpec({
        test("a target is paused until the time that it named") {
            val pauses = TargetPauses()
            pauses.pause(target(), 2_000, now = 100) shouldBe true
            pauses.isPaused(target(), 2_099) shouldBe true
            pauses.leftMs(target(), 1_100) shouldBe 1_000
            pauses.onTick(2_099) shouldBe false
            pauses.isPaused(target(), 2_100) shouldBe false
            pauses.onTick(2_100) shouldBe true
        }

        test("a second, shorter request for a pause does not shorten the first") {
            val pauses = TargetPauses()
            pauses.pause(target(), 2_000, now = 0)
            pauses.pause(target(), 100, now = 10) shouldBe false
            pauses.leftMs(target(), 10) shouldBe 1_990
        }

        test("a target that started anew is not paused") {
            val pauses = TargetPauses()
            pauses.pause(target(startTimeMs = 1), 2_000, now = 0)
            pauses.isPaused(target(startTimeMs = 2), 10) shouldBe false
        }

        test("a pause is bounded, so that a faulty value does not take a target out of use for good") {
            val pauses = TargetPauses()
            pauses.pause(target(), Long.MAX_VALUE / 2, now = 0)
            pauses.leftMs(target(), 0) shouldBe 60_000
        }
    })
