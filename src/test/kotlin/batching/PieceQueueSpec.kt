/*
 * Tests of the batching queue: batch assembly, space for results, priority under overload, and that results are never
 * lost, duplicated or assigned to another job, whatever the targets return.
 */
package org.sesamerouter.batching

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.histories
import org.sesamerouter.serving.BatchSpec
import java.util.PriorityQueue
import kotlin.random.Random

class PieceQueueSpec :
    FunSpec({
        fun queue(vararg ids: String, spec: BatchSpec = SPEC) =
            PieceQueue("stock", spec).also { it.update(ids.map { id -> target(id) }, 0) }

        test("pieces of several requests that wait for a target are combined in its next call") {
            val queue = queue("t1")
            val first = queue.submit(job("a", 1), 0).calls().single()
            queue.submit(job("b", 3), 10).calls().shouldBeEmpty()
            queue.submit(job("c", 4), 20).calls().shouldBeEmpty()
            val next = queue.onCallEnded(first.call, made(first), 260).calls().single()
            next.items.map { it.request }.toSet() shouldBe setOf("r-b", "r-c")
            next.items shouldHaveSize 7
        }

        test("the remaining pieces of a split job come first in the next call") {
            val queue = queue("t1")
            val first = queue.submit(job("a", 1), 0).calls().single()
            queue.submit(job("b", 7), 10)
            queue.submit(job("c", 3, rank = 2), 20)
            val next = queue.onCallEnded(first.call, made(first), 260).calls().single()
            next.items.map { it.request } shouldContainExactly List(7) { "r-b" } + "r-c"
            queue.submit(job("d", 8, rank = 0, objectiveLeftMs = 700), 270)
            val last = queue.onCallEnded(next.call, made(next), 600).calls().single()
            last.items.take(2).map { it.request } shouldContainExactly listOf("r-c", "r-c")
        }

        test("a job is not split for lack of space, so that a part of it does not use up the remaining space") {
            val queue = queue("t1", spec = SPEC.copy(resultSpaceBytes = 4_400_000))
            val first = queue.submit(job("a", 3, bytes = 800_000), 0).calls().single()
            queue.submit(job("b", 4, bytes = 800_000), 10)
            queue.onCallEnded(first.call, made(first), 330).calls().shouldBeEmpty()
        }

        test("results that their consumer has fetched are freed early only on a target that is short of space") {
            for ((resultSpaceBytes, isFreed) in listOf(4_400_000L to true, 44_000_000L to false)) {
                val queue = queue("t1", spec = SPEC.copy(resultSpaceBytes = resultSpaceBytes))
                val first = queue.submit(job("a", 5, bytes = 800_000), 0).calls().single()
                val handles = queue.onCallEnded(first.call, made(first), 350).done().single().outcome.handles
                val freed = queue.onFetched(handles, 360).freed()
                freed.flatMap { it.handles }.toSet() shouldBe if (isFreed) handles.toSet() else emptySet()
            }
        }

        test("inputs are reported as fetched only when every piece of the job has been running for a while") {
            val queue = queue("t1")
            val first = queue.submit(job("a", 9).withInput(), 0).calls().single()
            queue.onTick(200).filterIsInstance<PoolEffect.InputsFetched>().shouldBeEmpty()
            queue.onCallEnded(first.call, made(first), 400)
            queue.onTick(430).filterIsInstance<PoolEffect.InputsFetched>().shouldBeEmpty()
            queue.onTick(470).filterIsInstance<PoolEffect.InputsFetched>().single().inputs shouldContainExactly
                listOf("10.9.9.9:80/h")
        }

        test("inputs are not reported as fetched while the call may wait behind one of another owner") {
            val queue = queue("t1")
            val first = queue.submit(job("a", 8).withInput(), 0).calls().single()
            queue.submit(job("b", 8).withInput(), 10)
            queue.onTick(300).filterIsInstance<PoolEffect.InputsFetched>().shouldBeEmpty()
            val second = queue.onCallEnded(first.call, made(first), 900).calls().single()
            queue.onTick(1_100).filterIsInstance<PoolEffect.InputsFetched>().shouldBeEmpty()
            queue.submit(job("c", 8).withInput(), 1_110)
            queue.onCallEnded(second.call, made(second, from = 10), 1_300).calls().single()
            queue.onTick(1_400).filterIsInstance<PoolEffect.InputsFetched>().shouldHaveSize(1)
        }

        test("space counts as used until the target has confirmed that it freed the results") {
            val spec = SPEC.copy(resultSpaceBytes = 4_400_000)
            val queue = queue("t1", spec = spec)
            val first = queue.submit(job("a", 5, bytes = 800_000), 0).calls().single()
            val done = queue.onCallEnded(first.call, made(first), 400)
            queue.submit(job("b", 5, bytes = 800_000), 410).calls().shouldBeEmpty()
            val (effects, unknown) = queue.free(done.done().single().outcome.handles, 420)
            unknown.shouldBeEmpty()
            effects.calls().shouldBeEmpty()
            val after = queue.onFreed(effects.freed().single().release, 425)
            after.calls().single().items shouldHaveSize 5
        }

        test("under overload, jobs of the lower priority are left out and those of the higher one are in time") {
            val queue = queue("t1")
            val running = queue.submit(job("first", 8), 0).calls().single()
            repeat(8) { queue.submit(job("low$it", 4, rank = 2, objectiveLeftMs = 900), 1) }
            queue.submit(job("high1", 4, rank = 0, objectiveLeftMs = 1_000), 2)
            queue.submit(job("high2", 4, rank = 0, objectiveLeftMs = 1_000), 3)
            val next = queue.onCallEnded(running.call, made(running), 400).calls().single()
            next.items.map { it.request }.toSet() shouldBe setOf("r-high1", "r-high2")
        }

        test("a late job does not take the only free target, and fills a call with a job that is in time") {
            val queue = queue("t1")
            queue.submit(job("late", 2, objectiveLeftMs = -10), 0).calls().shouldBeEmpty()
            val call = queue.submit(job("timely", 2), 50).calls().single()
            call.items.map { it.request }.distinct() shouldContainExactly listOf("r-timely", "r-late")
        }

        test("a late job gets a call of its own after the start delay") {
            val queue = queue("t1")
            queue.submit(job("late", 2, objectiveLeftMs = -10), 0).calls().shouldBeEmpty()
            queue.onTick(300).calls().single().items shouldHaveSize 2
        }

        test("a result handle that belongs to one job is not assigned to another job") {
            val queue = queue("t1")
            val first = queue.submit(job("a", 1), 0).calls().single()
            val answer = made(first)
            queue.onCallEnded(first.call, answer, 260).done() shouldHaveSize 1
            val second = queue.submit(job("b", 1), 270).calls().single()
            val after = queue.onCallEnded(second.call, answer, 520)
            after.done().shouldBeEmpty()
            after.calls().single().items.single().request shouldBe "r-b"
        }

        test("a target that is no longer listed receives no further calls") {
            val queue = queue("t1", "t2")
            val first = queue.submit(job("a", 8), 0).calls().single()
            queue.update(listOf(target("t2")), 10)
            val second = queue.submit(job("b", 8), 20).calls().single()
            second.target.id shouldBe "t2"
            queue.submit(job("c", 1), 30).calls().shouldBeEmpty()
            val other = if (first.target.id == "t1") first else second
            queue.onCallEnded(other.call, made(other), 500).calls().map { it.target.id }.filter { it == "t1" }
                .shouldBeEmpty()
        }

        test("a target much slower than the others receives calls only when the others are full") {
            val queue = queue("t1", "t2")
            val calls = queue.submit(job("a", 8), 0).calls() + queue.submit(job("b", 8), 0).calls()
            val slow = calls.first { it.target.id == "t1" }
            val fast = calls.first { it.target.id == "t2" }
            queue.onCallEnded(fast.call, made(fast), 400)
            repeat(40) { queue.onTick(400 + it * 50L) }
            queue.onCallEnded(slow.call, made(slow), 2_400)
            queue.submit(job("c", 1), 2_500).calls().single().target.id shouldBe "t2"
            queue.submit(job("d", 1), 2_510).calls().shouldBeEmpty()
        }

        test("a call to an unresponsive target times out well before the deadline and is retried on another target") {
            val queue = queue("t1", "t2")
            val call = queue.submit(job("a", 8, deadlineLeftMs = 12_000), 0).calls().single()
            (call.timeoutMs < 2_000) shouldBe true
            val retried = queue.onCallEnded(call.call, CallOutcome.Failed("no reply"), call.timeoutMs).calls().single()
            (retried.target.id != call.target.id) shouldBe true
        }

        test("a late second copy of a reply is not taken for the results of the next call, also when they were freed") {
            val queue = queue("t1")
            val first = queue.submit(job("a", 2), 0).calls().single()
            queue.submit(job("b", 2), 10)
            val second = queue.onCallEnded(first.call, made(first), 260).calls().single()
            queue.free(made(first).items.map { (it as PieceOutcome.Made).handle }, 300)
            val effects = queue.onCallEnded(second.call, made(first), 520)
            effects.filterIsInstance<PoolEffect.Done>().shouldBeEmpty()
            effects.calls().single().items.map { it.request } shouldContainExactly List(2) { "r-b" }
        }

        test("a job does not fail because its targets were full, however often they refused its calls") {
            val queue = queue("t1")
            val job = job("a", 2, objectiveLeftMs = 9_000)
            var calls = queue.submit(job, 0).calls()
            repeat(8) { round ->
                val now = round * 500L
                queue.onCallEnded(calls.single().call, CallOutcome.Refused, now + 10).done().shouldBeEmpty()
                calls = queue.onTick(now + 500).calls()
            }
            val done = queue.onCallEnded(calls.single().call, made(calls.single()), 4_300).done().single()
            done.outcome.failure shouldBe null
        }

        test("a job fails after its calls broke off several times") {
            val queue = queue("t1")
            val calls =
                ArrayDeque(queue.submit(job("a", 2, objectiveLeftMs = 19_000, deadlineLeftMs = 19_000), 0).calls())
            val ended = (1L..4).flatMap { round ->
                val failed = queue.onCallEnded(calls.removeFirst().call, CallOutcome.Failed("reset"), round * 1_000)
                calls += queue.onTick(round * 1_000 + 900).calls()
                failed.done()
            }
            ended.single().outcome.failure shouldBe JobFailure.FAILED
        }

        test("a target that keeps refusing calls is called less and less often, but again within the time of a call") {
            val queue = queue("t1")
            var calls = queue.submit(job("a", 2, objectiveLeftMs = 9_000), 0).calls()
            val callTimes = ArrayList<Long>()
            for (now in 0L..3_000 step 10) {
                calls.singleOrNull()?.let {
                    callTimes += now
                    queue.onCallEnded(it.call, CallOutcome.Refused, now)
                }
                calls = queue.onTick(now + 10).calls()
            }
            val pauses = callTimes.zipWithNext { earlier, later -> later - earlier }
            pauses shouldBe pauses.sorted()
            pauses.last().toDouble() shouldBeGreaterThan 2.0 * pauses.first()
            pauses.last().toDouble() shouldBeLessThan SPEC.expectedMs(1)
        }

        test("after a target reported no space, its calls grow gradually until all pieces fit again") {
            val queue = queue("t1", spec = SPEC.copy(resultSpaceBytes = 8_000_000))
            val call = queue.submit(job("a", 8, bytes = 900_000), 0).calls().single()
            val answer = call.items.mapIndexed { i, _ ->
                if (i < 2) PieceOutcome.Made("${call.target.address}/$i") else PieceOutcome.NoRoom
            }
            queue.onCallEnded(call.call, CallOutcome.Answered(answer), 300).calls().shouldBeEmpty()
            queue.onTick(400).calls().shouldBeEmpty()
            val partial = queue.onTick(800).calls().single()
            partial.items.size shouldBeLessThanOrEqual 5
            val next = queue.onCallEnded(partial.call, made(partial, from = 10), 1_500).calls().single()
            partial.items.size + next.items.size shouldBe 6
        }

        test("the expected duration of a job includes jobs that are due before it, but no others") {
            val queue = queue("t1")
            queue.submit(job("running", 8), 0)
            queue.submit(job("soon", 8, rank = 1, objectiveLeftMs = 1_000), 0)
            queue.submit(job("later", 16, rank = 1, objectiveLeftMs = 4_000), 0)
            queue.submit(job("lower", 8, rank = 2, objectiveLeftMs = 3_000), 0)
            val times = queue.expectedMs(0)
            val full = SPEC.expectedMs(SPEC.maxPieces)
            checkNotNull(times.of(1, 900)) shouldBeLessThan 2 * full
            checkNotNull(times.of(1, 2_000)) shouldBeLessThan 3 * full
            checkNotNull(times.of(2, 3_500)) shouldBeGreaterThan checkNotNull(times.of(1, 3_500))
            checkNotNull(times.of(1, 9_000)) shouldBeGreaterThan 4 * full
        }

        test("an unstarted job that cannot be in time is dropped early, unless its request has completed work") {
            for ((hasCompleted, isKept) in listOf(false to false, true to true)) {
                val queue = queue("t1")
                queue.submit(job("running", 8), 0)
                (1..3).forEach { queue.submit(job("urgent$it", 8, rank = 0, objectiveLeftMs = 400 + 400L * it), 0) }
                val low = job("low", 8, rank = 2, objectiveLeftMs = 1_200).copy(hasCompletedStages = hasCompleted)
                queue.submit(low, 10)
                val ended = (1..8).flatMap { queue.onTick(10 + it * 40L).done() }
                ended.map { it.job } shouldContainExactly if (isKept) emptyList() else listOf("low")
                ended.forEach { it.outcome.failure shouldBe JobFailure.LATE }
            }
        }

        test("a job that was unschedulable only briefly is kept once the queue is short again") {
            val queue = queue("t1")
            queue.submit(job("running", 8), 0)
            (1..3).forEach { queue.submit(job("urgent$it", 8, rank = 0, objectiveLeftMs = 400 + 400L * it), 0) }
            queue.submit(job("low", 2, rank = 2, objectiveLeftMs = 1_200), 10)
            queue.onTick(50)
            (1..3).forEach { queue.cancel("urgent$it", 100) }
            (1..6).flatMap { queue.onTick(100 + it * 40L).done() }.shouldBeEmpty()
        }

        test("at a planned stop, jobs that were not started are returned and started ones are finished") {
            val queue = queue("t1")
            val running = queue.submit(job("a", 2), 0).calls().single()
            queue.submit(job("b", 2), 10)
            queue.returnWaitingJobs(20).done().single().outcome.failure shouldBe JobFailure.MOVED
            queue.onCallEnded(running.call, made(running), 300).done().single().outcome.failure shouldBe null
        }

        test("for random target behaviour, each job ends once with its own results and each result is freed once") {
            checkAll(histories(seed = 11), Arb.long()) { seed -> PieceQueueModel(Random(seed)).run() }
        }

        test("with normal load from six hosts, a shared queue finishes more jobs in time than one queue per host") {
            val shared = PoolSimulation(Random(7), hosts = 1).run()
            val perHost = PoolSimulation(Random(7), hosts = 6).run()
            println("pieces per call: shared queue ${shared.piecesPerCall}, queue per host ${perHost.piecesPerCall}")
            println("share of jobs in time: shared queue ${shared.inTime}, queue per host ${perHost.inTime}")
            shared.inTime shouldBeGreaterThan perHost.inTime
            shared.inTime shouldBeGreaterThan 0.95
        }
    })
