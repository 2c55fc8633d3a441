/*
 * Tests that the control thread goes on after a task that failed.
 */
package org.sesamerouter.host

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val TIMEOUT_S = 20L

class ControlLoopSpec :
    FunSpec({
        // Guards against RECOVER: a repeated task that raises an Error once ends for good, without a line in the log.
        test("a repeated task goes on after an Error, as after an Exception") {
            for (raised in listOf(IllegalStateException("broken"), StackOverflowError("deep"))) {
                val loop = ControlLoop("test")
                val runs = AtomicInteger()
                val hasRunAgain = CountDownLatch(2)
                loop.every(1) {
                    hasRunAgain.countDown()
                    if (runs.incrementAndGet() == 1) throw raised
                }
                hasRunAgain.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
                loop.close()
            }
        }
    })
