/*
 * Tests of when an owner reports the expected times of its queue to the other hosts.
 */
package org.sesamerouter.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.sesamerouter.batching.PieceQueue
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.serving.BatchSpec

private val SPEC = BatchSpec(1, 8, 240.0, 20.0, 8_000_000)

class PoolTimesSpec :
    FunSpec({
        test("an owner reports an idle queue at once and then each second, so that its last backlog is forgotten") {
            val times = PoolTimes()
            val queue = PieceQueue("stock", SPEC)
            queue.update(
                listOf(TargetEntry("t", "stock", "10.0.0.1:80", "a", 1, isDraining = false, startTimeMs = 1)),
                0,
            )
            val reportedMs = (0L..2_500L step 100).filter { times.takeReport(queue, it) != null }
            reportedMs shouldBe listOf(0L, 1_000L, 2_000L)
        }
    })
