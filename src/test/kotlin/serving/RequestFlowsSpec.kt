/*
 * Tests the lifecycle of forwarded requests: stages run in order with their own inputs, requests are repeated only
 * where that is allowed, each gets one correct final response, and all stage results are freed. Named cases come first,
 * then generated histories checked against a model of what ran.
 */
package org.sesamerouter.serving

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.batching.JobFailure
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.histories
import org.sesamerouter.pipeline.RetryBudget
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.retry.RepeatReason
import org.sesamerouter.routing.ServiceTargets
import org.sesamerouter.web.RequestLimits
import kotlin.random.Random

class RequestFlowsSpec :
    FunSpec({
        test("stages run in order, each piece with all results of the stages before it") {
            val host = Host()
            val first = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(0, 2, 3)).stageJobs().single()
            first.stage shouldBe 1
            first.pieces.map { it.key } shouldContainExactly listOf("key", "key")
            val second = host.handle(
                FlowEvent.StageEnded(first.job, JobOutcome(listOf("x:1/a", "x:1/b"))),
            ).stageJobs().single()
            second.stage shouldBe 2
            second.pieces.forEach { it.inputs shouldContainExactly listOf("x:1/a", "x:1/b") }
            second.pieces.forEach { it.key shouldBe null }
            val effects = host.handle(FlowEvent.StageEnded(second.job, JobOutcome(listOf("y:1/a", "y:1/b", "y:1/c"))))
            effects.filterIsInstance<FlowEffect.FreeResults>().single().handles shouldContainExactly
                listOf("x:1/a", "x:1/b")
            effects.sends().single().inputs shouldContainExactly listOf("y:1/a", "y:1/b", "y:1/c")
        }

        test("a stage whose large results only the engine reads starts so that it ends with the other branch") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES)
            val first = host.arrive(route, listOf(2, 1, 1)).stageJobs()
            first.map { it.stage } shouldContainExactly listOf(1)
            host.now = 300
            val next = host.handle(FlowEvent.StageEnded(first.single().job, JobOutcome(listOf("x:1/a")))).stageJobs()
            next.map { it.stage } shouldContainExactlyInAnyOrder listOf(0, 2)
        }

        test("the objective of a retried request counts from the first attempt of its caller") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES)
            val expected = host.arrive(route, listOf(0, 1, 1), flow = 1).stageJobs().single().objectiveLeftMs
            repeat(40) { host.arrive(route, listOf(0, 1, 1), flow = 2L + it, deadlineMs = 10_000L - 20 * it) }
            host.now += 600
            val firstAttempt = host.arrive(
                route,
                listOf(0, 1, 1),
                flow = 50,
                deadlineMs = 9_400,
            ).stageJobs().single().objectiveLeftMs
            firstAttempt shouldBe expected
            val retry = host.arrive(
                route,
                listOf(0, 1, 1),
                flow = 51,
                deadlineMs = 8_000,
            ).stageJobs().single().objectiveLeftMs
            retry shouldBeLessThan expected - 500
        }

        test("requests are not taken for retries when the timeout of their route was shortened") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES)
            repeat(40) { host.arrive(route, listOf(0, 1, 1), flow = 2L + it) }
            host.now += 600
            val withShorterDeadline = host.arrive(
                route,
                listOf(0, 1, 1),
                flow = 50,
                deadlineMs = 5_000,
                callerTimeoutMs = 10_000,
            ).stageJobs().single()
            withShorterDeadline.objectiveLeftMs shouldBe
                host.arrive(route, listOf(0, 1, 1), flow = 51).stageJobs().single().objectiveLeftMs
        }

        test("caller timeouts are kept for a bounded number of routes") {
            val estimator = FirstAttemptEstimator(maxRoutes = 8)
            repeat(100) {
                val route = route(RouteKind.STREAM, stages = STAGES).copy(name = "r$it")
                estimator.sinceFirstAttemptMs(
                    ForwardRequest(1, "id", route, "model", 0, 0, 9_000, callerTimeoutMs = 9_000),
                    0,
                )
            }
            estimator.trackedRoutes shouldBe 8
        }

        test("the objective of a stage leaves the measured time that engines take to the first event") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES)
            val before = host.arrive(route, listOf(0, 1, 1), flow = 1).stageJobs().single().objectiveLeftMs
            repeat(30) {
                val flow = 2L + it
                val send = host.arrive(route(RouteKind.STREAM), flow = flow).sends().single()
                host.now += 500
                host.handle(FlowEvent.ResponseStarted(send.send, null))
            }
            val after = host.arrive(route, listOf(0, 1, 1), flow = 40).stageJobs().single().objectiveLeftMs
            after shouldBeLessThan before - 200
        }

        test("an unsafe request that may have run is neither sent again nor rejected as not run") {
            val host = Host()
            val send = host.arrive(route(RouteKind.UNSAFE)).sends().single()
            val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Lost("reset")))
            effects.sends().shouldBeEmpty()
            effects.rejects().single().status shouldBe 502
            effects.rejects().single().retryAfterMs shouldBe null
        }

        test("an unsafe request of which no byte was sent is sent to another target") {
            val host = Host()
            val send = host.arrive(route(RouteKind.UNSAFE)).sends().single()
            val again = host.handle(FlowEvent.SendFailed(send.send, SendFailure.NotSent("refused"))).sends().single()
            again.target.id shouldNotBe send.target.id
        }

        test("at the deadline an unsafe request that was sent gets 504, one that still waits gets 503") {
            val host = Host()
            host.arrive(route(RouteKind.UNSAFE), flow = 1)
            host.arrive(route(RouteKind.UNSAFE, stages = STAGES), listOf(0, 1, 1), flow = 2)
            host.now = 10_000
            host.handle(FlowEvent.Tick).rejects().associate { it.flow to it.status } shouldBe
                mapOf(1L to 504, 2L to 503)
        }

        test("an error response is delivered when the request may not run at another target") {
            val host = Host()
            val send = host.arrive(route(RouteKind.UNSAFE)).sends().single()
            val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.FailedAnswer(500)))
            effects.filterIsInstance<FlowEffect.DeliverFailure>().single().flow shouldBe 1
        }

        test("an interrupted stream resumes after its last event at another target, where the route allows it") {
            val host = Host()
            val send = host.arrive(route(RouteKind.STREAM, resumable = true)).sends().single()
            host.handle(FlowEvent.ResponseStarted(send.send, null))
            val again = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Broken(true, "7", "reset"))).sends()
            again.single().lastEventId shouldBe "7"
            again.single().target.id shouldNotBe send.target.id
        }

        test("the stages of a resumed stream still get time when its objective has long passed") {
            val host = Host()
            val route = route(RouteKind.STREAM, resumable = true, stages = STAGES)
            val job = host.arrive(route, listOf(1, 0, 0)).stageJobs().single()
            val send = host.handle(FlowEvent.StageEnded(job.job, JobOutcome(listOf("x:1/a")))).sends().single()
            host.handle(FlowEvent.ResponseStarted(send.send, null))
            host.now = 5_000
            val again = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Broken(true, "7", "reset"))).stageJobs()
            (again.single().objectiveLeftMs > 0) shouldBe true
        }

        test("an interrupted stream that may not be resumed is aborted, not ended as if it were complete") {
            val host = Host()
            val send = host.arrive(route(RouteKind.STREAM)).sends().single()
            host.handle(FlowEvent.ResponseStarted(send.send, null))
            val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Broken(true, "7", "reset")))
            effects.filterIsInstance<FlowEffect.AbortResponse>().single().flow shouldBe 1
        }

        test("results that were lost before the engine read them are made again") {
            val host = Host()
            val job = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(1, 0, 0)).stageJobs().single()
            val send = host.handle(FlowEvent.StageEnded(job.job, JobOutcome(listOf("x:1/a")))).sends().single()
            val again = host.handle(FlowEvent.SendFailed(send.send, SendFailure.NotRun(409))).stageJobs().single()
            again.stage shouldBe 0
        }

        test("lost inputs of a stage are made again before the stage is repeated") {
            val host = Host()
            val first = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(0, 1, 1)).stageJobs().single()
            val second = host.handle(FlowEvent.StageEnded(first.job, JobOutcome(listOf("x:1/a")))).stageJobs().single()
            val again = host.handle(
                FlowEvent.StageEnded(second.job, JobOutcome(failure = JobFailure.INPUT_GONE)),
            ).stageJobs()
            again.single().stage shouldBe 1
        }

        // Guards against a sound answer that is given up for the silence of its target, though no other may run it.
        test("the last send that a route allows is not given up while its target is silent") {
            val host = Host()
            val first = host.arrive(route(RouteKind.SAFE, attempts = 2)).sends().single().send
            host.givesUpSilent(first) shouldBe true
            val last = host.handle(FlowEvent.SendFailed(first, SendFailure.Lost("silent"))).sends().single().send
            host.givesUpSilent(last) shouldBe false
            val unsafe = host.arrive(route(RouteKind.UNSAFE, attempts = 2), flow = 2).sends().single().send
            host.givesUpSilent(unsafe) shouldBe false
            val stream = host.arrive(route(RouteKind.STREAM, resumable = true, attempts = 2), flow = 3).sends().single()
            host.givesUpSilent(stream.send) shouldBe true
        }

        // Guards against LOST at a stop: a target is given up for its silence though no other may run the request.
        // Guards against 502 for sends that were given up without a pass for another one.
        test("no more silent targets are given up than the allowance pays for") {
            val host = Host { RetryBudget(0.0, 1.0) }
            val sends = (1L..3L).map { host.arrive(route(RouteKind.SAFE), flow = it).sends().single().send }
            val givenUp = sends.filter { host.givesUpSilent(it) }
            givenUp.size shouldBe 1
            val failed = host.handle(FlowEvent.SendFailed(givenUp.single(), SendFailure.Lost("silent")))
            failed.sends().single().pass.reason shouldBe RepeatReason.SILENT
        }

        test("a silent target is not given up when the request could not run again by now") {
            val stopping = Host()
            val send = stopping.arrive(route(RouteKind.SAFE, attempts = 2), deadlineMs = 20_000).sends().single().send
            stopping.handle(FlowEvent.ShutdownStarted(earliestEndMs = 500, endMs = 7_000))
            stopping.now = 1_000
            stopping.givesUpSilent(send) shouldBe true
            stopping.now = 4_000
            stopping.givesUpSilent(send) shouldBe false

            val withoutBudget = Host { RetryBudget(0.0, 0.0) }
            withoutBudget.givesUpSilent(
                withoutBudget.arrive(route(RouteKind.SAFE, attempts = 2)).sends().single().send,
            ) shouldBe
                false
        }

        // Guards against BUDGET: requests whose stage results are gone were sent again without being counted.
        test("requests with lost inputs are rejected as not run when the allowance is used up") {
            val atTarget = Host { RetryBudget(0.0, 0.0) }
            val send = atTarget.arrive(route(RouteKind.STREAM)).sends().single().send
            val afterSend = atTarget.handle(FlowEvent.SendFailed(send, SendFailure.NotRun(409)))
            afterSend.sends().shouldBeEmpty()
            afterSend.rejects().single().status shouldBe 503
        }

        test("stages that are made again before the request has reached its service cost no repeat") {
            val host = Host { RetryBudget(0.0, 0.0) }
            val gone = JobOutcome(failure = JobFailure.INPUT_GONE)
            var jobs = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(0, 1, 1)).stageJobs()
            repeat(2) { jobs = host.handle(FlowEvent.StageEnded(jobs.single().job, gone)).stageJobs() }
            val afterThird = host.handle(FlowEvent.StageEnded(jobs.single().job, gone))
            afterThird.stageJobs().shouldBeEmpty()
            afterThird.rejects().single().status shouldBe 503
        }

        test("a send that reached no target is no repeat") {
            val host = Host { RetryBudget(0.0, 0.0) }
            val refused = host.arrive(route(RouteKind.UNSAFE)).sends().single().send
            val again = host.handle(FlowEvent.SendFailed(refused, SendFailure.NotSent("refused"))).sends().single()
            again.pass.reason shouldBe null
            again.isRepeat shouldBe false
            host.handle(FlowEvent.SendFailed(again.send, SendFailure.NotRun(503))).sends().shouldBeEmpty()
        }

        test("requests are not repeated beyond the retry budget") {
            val host = Host { RetryBudget(0.0, 1.0) }
            val one = host.arrive(route(RouteKind.SAFE, attempts = 5)).sends().single()
            val two = host.handle(FlowEvent.SendFailed(one.send, SendFailure.Lost("reset"))).sends().single()
            host.handle(FlowEvent.SendFailed(two.send, SendFailure.Lost("reset"))).sends().shouldBeEmpty()
        }

        test("surge: a request that would miss its objective waits for a short backlog and starts once it is gone") {
            val host = Host()
            host.context.queueMs = 110.0
            val route = route(RouteKind.STREAM, stages = STAGES.take(1)).copy(objectiveMs = 500)
            host.arrive(route, listOf(1)).stageJobs().shouldBeEmpty()
            host.now = 20
            host.handle(FlowEvent.Tick).stageJobs().shouldBeEmpty()
            host.context.queueMs = 0.0
            host.now = 50
            host.handle(FlowEvent.Tick).stageJobs().single().stage shouldBe 0
        }

        test("surge: a deferred request is rejected with a retry time after a short wait") {
            val host = Host()
            host.context.queueMs = 110.0
            host.arrive(route(RouteKind.STREAM, stages = STAGES.take(1)).copy(objectiveMs = 500), listOf(1)).rejects()
                .shouldBeEmpty()
            host.now = 500 / 8 + 1
            val reject = host.handle(FlowEvent.Tick).rejects().single()
            reject.status shouldBe 503
            reject.retryAfterMs.shouldNotBeNull()
        }

        test("a request too large to ever meet its objective starts at once when the pools have no queues") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES.take(1)).copy(objectiveMs = 200)
            host.arrive(route, listOf(1)).stageJobs().single().stage shouldBe 0
        }

        test("surge: a request behind a long backlog is rejected at once, with a retry time that covers the backlog") {
            val host = Host()
            host.context.queueMs = 2_500.0
            val reject = host.arrive(route(RouteKind.STREAM, stages = STAGES.take(1)), listOf(1)).rejects().single()
            reject.status shouldBe 503
            reject.retryAfterMs shouldBe 2_900L
        }

        test("stages are cancelled and results freed when the caller disconnects") {
            val host = Host()
            val job = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(2, 1, 1)).stageJobs().single()
            host.handle(FlowEvent.StageEnded(job.job, JobOutcome(listOf("x:1/a"))))
            val effects = host.handle(FlowEvent.CallerDisconnected(1))
            effects.filterIsInstance<FlowEffect.CancelStage>().size shouldBe 2
            effects.filterIsInstance<FlowEffect.FreeResults>().single().handles shouldContainExactly listOf("x:1/a")
            host.flows.inProgress shouldBe 0
        }

        test(
            "a request is quarantined after it crashed three targets; a lost response alone does not count as a crash",
        ) {
            val host = Host()
            val route = route(RouteKind.SAFE, attempts = 5)
            var send = host.arrive(route).sends().single()
            host.handle(FlowEvent.TargetDied("other", 1)).shouldBeEmpty()
            repeat(3) { death ->
                val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Lost("reset")))
                val died = host.handle(FlowEvent.TargetDied(send.target.id, 1))
                died.filterIsInstance<FlowEffect.BroadcastDeath>().single().notice.fingerprint shouldBe "f1"
                if (death < 2) send = effects.sends().single()
            }
            val again = host.handle(
                FlowEvent.Arrived(ForwardRequest(2, "id2", route, "model", 1, 0, 9_000, fingerprint = "f1")),
            )
            again.rejects().single().reason shouldBe RejectReason.QUARANTINED
            again.sends().shouldBeEmpty()
        }

        // Responses without a frame counted as lost, so that crashes of their targets quarantined sound requests.
        test("a complete response without a frame is not counted against its request when its target crashes later") {
            val host = Host()
            val send = host.arrive(route(RouteKind.SAFE)).sends().single()
            host.handle(FlowEvent.ResponseStarted(send.send, null))
            val ended = host.handle(FlowEvent.ResponseCompleted(send.send, 200, isEndCertain = false))
            ended.filterIsInstance<FlowEffect.ResponseLost>().shouldBeEmpty()
            val died = host.handle(FlowEvent.TargetDied(send.target.id, 1))
            died.filterIsInstance<FlowEffect.BroadcastDeath>().shouldBeEmpty()
        }

        test("without a usable target a request is rejected at once, before its stages, and told when one returns") {
            val host = Host()
            host.context.targets = emptyList()
            host.context.pauseLeftMs = 1_700
            val effects = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(1, 1, 1))
            effects.stageJobs().shouldBeEmpty()
            effects.rejects().single() shouldBe
                FlowEffect.Reject(1, 503, 1_700, RejectReason.NO_TARGET, listOf(300, 300, 300))
        }

        test("when the last target asks for a pause, the refused request is told when that ends") {
            val host = Host()
            val send = host.arrive(route(RouteKind.UNSAFE)).sends().single()
            host.context.targets = emptyList()
            host.context.pauseLeftMs = 2_500
            val reject = host.handle(FlowEvent.SendFailed(send.send, SendFailure.NotRun(503))).rejects().single()
            reject.status shouldBe 503
            reject.retryAfterMs shouldBe 2_500
        }

        test("a request that arrives after its deadline is rejected without stages") {
            val host = Host()
            val effects = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(1, 1, 1), deadlineMs = 0)
            effects.stageJobs().shouldBeEmpty()
            effects.rejects().single().reason shouldBe RejectReason.DEADLINE
        }

        test("a send that this host did not attempt is not held against the target") {
            val host = Host()
            val send = host.arrive(route(RouteKind.UNSAFE)).sends().single()
            val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.NotAttempted("connection limit")))
            effects.sends().single().target.id shouldNotBe send.target.id
            effects.filterIsInstance<FlowEffect.BroadcastDeath>().shouldBeEmpty()
            val next = host.arrive(route(RouteKind.UNSAFE), flow = 2).sends().single()
            next.target.id shouldBe send.target.id
        }

        test("generated histories: one correct final response, no repeated unsafe request, no result left") {
            checkAll(histories(seed = 31), Arb.long()) { seed -> FlowHistory(Random(seed)).run() }
        }
    })
