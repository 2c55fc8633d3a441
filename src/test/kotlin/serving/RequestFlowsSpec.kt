/*
 * The way of forwarded requests: stages in order and each with its own inputs, repeats only where they are allowed, one
 * final answer that is true, and no result that is kept. Named cases first, then generated histories against a model of
 * what ran.
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
import org.sesamerouter.pipeline.Budget
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.routing.PlainTargets
import org.sesamerouter.web.RequestLimits
import kotlin.random.Random

class RequestFlowsSpec :
    FunSpec({
        test("stages run in order, each piece with all results of the stages before it") {
            val host = Host()
            val first = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(0, 2, 3)).jobs().single()
            first.stage shouldBe 1
            first.pieces.map { it.key } shouldContainExactly listOf("key", "key")
            val second = host.handle(
                FlowEvent.StageEnded(first.job, JobOutcome(listOf("x:1/a", "x:1/b"))),
            ).jobs().single()
            second.stage shouldBe 2
            second.pieces.forEach { it.inputs shouldContainExactly listOf("x:1/a", "x:1/b") }
            second.pieces.forEach { it.key shouldBe null }
            val effects = host.handle(FlowEvent.StageEnded(second.job, JobOutcome(listOf("y:1/a", "y:1/b", "y:1/c"))))
            effects.filterIsInstance<FlowEffect.FreeResults>().single().handles shouldContainExactly
                listOf("x:1/a", "x:1/b")
            effects.sends().single().inputs shouldContainExactly listOf("y:1/a", "y:1/b", "y:1/c")
        }

        test("a stage whose large results only the engine reads begins when the other branch is about to end") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES)
            val first = host.arrive(route, listOf(2, 1, 1)).jobs()
            first.map { it.stage } shouldContainExactly listOf(1)
            host.now = 300
            val next = host.handle(FlowEvent.StageEnded(first.single().job, JobOutcome(listOf("x:1/a")))).jobs()
            next.map { it.stage } shouldContainExactlyInAnyOrder listOf(0, 2)
        }

        test("a caller that comes back has its objective counted from the time at which it first asked") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES)
            val fresh = host.arrive(route, listOf(0, 1, 1), flow = 1).jobs().single().aimLeftMs
            repeat(40) { host.arrive(route, listOf(0, 1, 1), flow = 2L + it, deadlineMs = 10_000L - 20 * it) }
            host.now += 600
            val usual = host.arrive(route, listOf(0, 1, 1), flow = 50, deadlineMs = 9_400).jobs().single().aimLeftMs
            usual shouldBe fresh
            val back = host.arrive(route, listOf(0, 1, 1), flow = 51, deadlineMs = 8_000).jobs().single().aimLeftMs
            back shouldBeLessThan fresh - 500
        }

        test("a route whose longest time was cut does not make its callers look as if they came back") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES)
            repeat(40) { host.arrive(route, listOf(0, 1, 1), flow = 2L + it) }
            host.now += 600
            val cut = host.arrive(
                route,
                listOf(0, 1, 1),
                flow = 50,
                deadlineMs = 5_000,
                waitMs = 10_000,
            ).jobs().single()
            cut.aimLeftMs shouldBe host.arrive(route, listOf(0, 1, 1), flow = 51).jobs().single().aimLeftMs
        }

        test("what callers bring is kept for a bounded number of routes") {
            val waits = CallerWaits(maxRoutes = 8)
            repeat(100) {
                val route = route(RouteKind.STREAM, stages = STAGES).copy(name = "r$it")
                waits.ageMs(ForwardRequest(1, "id", route, "model", 0, 0, 9_000, waitMs = 9_000), 0)
            }
            waits.size shouldBe 8
        }

        test("the time that engines take to the first event is measured and left for them at the end") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES)
            val before = host.arrive(route, listOf(0, 1, 1), flow = 1).jobs().single().aimLeftMs
            repeat(30) {
                val flow = 2L + it
                val send = host.arrive(route(RouteKind.STREAM), flow = flow).sends().single()
                host.now += 500
                host.handle(FlowEvent.AnswerBegan(send.send, null))
            }
            val after = host.arrive(route, listOf(0, 1, 1), flow = 40).jobs().single().aimLeftMs
            after shouldBeLessThan before - 200
        }

        test("an unsafe request that may have run is not sent again and not said to have not run") {
            val host = Host()
            val send = host.arrive(route(RouteKind.UNSAFE)).sends().single()
            val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Lost("reset")))
            effects.sends().shouldBeEmpty()
            effects.rejects().single().status shouldBe 502
            effects.rejects().single().retryAfterMs shouldBe null
        }

        test("an unsafe request that surely did not leave is sent to another target") {
            val host = Host()
            val send = host.arrive(route(RouteKind.UNSAFE)).sends().single()
            val again = host.handle(FlowEvent.SendFailed(send.send, SendFailure.NotSent("refused"))).sends().single()
            again.target.id shouldNotBe send.target.id
        }

        test("an unsafe request on its way when its time is up gets 504, a waiting one 503") {
            val host = Host()
            host.arrive(route(RouteKind.UNSAFE), flow = 1)
            host.arrive(route(RouteKind.UNSAFE, stages = STAGES), listOf(0, 1, 1), flow = 2)
            host.now = 10_000
            host.handle(FlowEvent.Tick).rejects().associate { it.flow to it.status } shouldBe
                mapOf(1L to 504, 2L to 503)
        }

        test("a failed answer is delivered when no other target may be asked") {
            val host = Host()
            val send = host.arrive(route(RouteKind.UNSAFE)).sends().single()
            val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.FailedAnswer(500)))
            effects.filterIsInstance<FlowEffect.DeliverFailure>().single().flow shouldBe 1
        }

        test("a stream that broke off goes on after its last event at another target, where the route allows it") {
            val host = Host()
            val send = host.arrive(route(RouteKind.STREAM, resumable = true)).sends().single()
            host.handle(FlowEvent.AnswerBegan(send.send, null))
            val again = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Broken(true, "7", "reset"))).sends()
            again.single().lastEventId shouldBe "7"
            again.single().target.id shouldNotBe send.target.id
        }

        test("a stream that is resumed long after its objective still has its stages done at once") {
            val host = Host()
            val route = route(RouteKind.STREAM, resumable = true, stages = STAGES)
            val job = host.arrive(route, listOf(1, 0, 0)).jobs().single()
            val send = host.handle(FlowEvent.StageEnded(job.job, JobOutcome(listOf("x:1/a")))).sends().single()
            host.handle(FlowEvent.AnswerBegan(send.send, null))
            host.now = 5_000
            val again = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Broken(true, "7", "reset"))).jobs()
            (again.single().aimLeftMs > 0) shouldBe true
        }

        test("a stream that may not be resumed is cut when it breaks off, never ended as if it were whole") {
            val host = Host()
            val send = host.arrive(route(RouteKind.STREAM)).sends().single()
            host.handle(FlowEvent.AnswerBegan(send.send, null))
            val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Broken(true, "7", "reset")))
            effects.filterIsInstance<FlowEffect.Cut>().single().flow shouldBe 1
        }

        test("results that went before the engine read them are made again") {
            val host = Host()
            val job = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(1, 0, 0)).jobs().single()
            val send = host.handle(FlowEvent.StageEnded(job.job, JobOutcome(listOf("x:1/a")))).sends().single()
            val again = host.handle(FlowEvent.SendFailed(send.send, SendFailure.NotRun(409))).jobs().single()
            again.stage shouldBe 0
        }

        test("when a stage finds its inputs gone, they are made again before it runs again") {
            val host = Host()
            val first = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(0, 1, 1)).jobs().single()
            val second = host.handle(FlowEvent.StageEnded(first.job, JobOutcome(listOf("x:1/a")))).jobs().single()
            val again = host.handle(
                FlowEvent.StageEnded(second.job, JobOutcome(failure = JobFailure.INPUT_GONE)),
            ).jobs()
            again.single().stage shouldBe 1
        }

        test("repeats beyond the shared budget do not happen") {
            val host = Host { Budget(0.0, 1.0) }
            val one = host.arrive(route(RouteKind.SAFE, attempts = 5)).sends().single()
            val two = host.handle(FlowEvent.SendFailed(one.send, SendFailure.Lost("reset"))).sends().single()
            host.handle(FlowEvent.SendFailed(two.send, SendFailure.Lost("reset"))).sends().shouldBeEmpty()
        }

        test("surge: a request that cannot be in time waits for a short backlog and starts once it is gone") {
            val host = Host()
            host.surroundings.busyMs = 110.0
            val route = route(RouteKind.STREAM, stages = STAGES.take(1)).copy(aimMs = 500)
            host.arrive(route, listOf(1)).jobs().shouldBeEmpty()
            host.now = 20
            host.handle(FlowEvent.Tick).jobs().shouldBeEmpty()
            host.surroundings.busyMs = 0.0
            host.now = 50
            host.handle(FlowEvent.Tick).jobs().single().stage shouldBe 0
        }

        test("surge: a request that waits beside the pools is told when to come back before it has waited for long") {
            val host = Host()
            host.surroundings.busyMs = 110.0
            host.arrive(route(RouteKind.STREAM, stages = STAGES.take(1)).copy(aimMs = 500), listOf(1)).rejects()
                .shouldBeEmpty()
            host.now = 500 / 8 + 1
            val reject = host.handle(FlowEvent.Tick).rejects().single()
            reject.status shouldBe 503
            reject.retryAfterMs.shouldNotBeNull()
        }

        test("a request too large to ever meet its objective starts at once when the pools are calm") {
            val host = Host()
            val route = route(RouteKind.STREAM, stages = STAGES.take(1)).copy(aimMs = 200)
            host.arrive(route, listOf(1)).jobs().single().stage shouldBe 0
        }

        test("surge: a request behind a long backlog is rejected at once, with the time that the backlog takes") {
            val host = Host()
            host.surroundings.busyMs = 2_500.0
            val reject = host.arrive(route(RouteKind.STREAM, stages = STAGES.take(1)), listOf(1)).rejects().single()
            reject.status shouldBe 503
            reject.retryAfterMs shouldBe 2_900L
        }

        test("when the caller leaves, the target's work and the stages are cancelled and results freed") {
            val host = Host()
            val job = host.arrive(route(RouteKind.STREAM, stages = STAGES), listOf(2, 1, 1)).jobs().single()
            host.handle(FlowEvent.StageEnded(job.job, JobOutcome(listOf("x:1/a"))))
            val effects = host.handle(FlowEvent.CallerLeft(1))
            effects.filterIsInstance<FlowEffect.CancelStage>().size shouldBe 2
            effects.filterIsInstance<FlowEffect.FreeResults>().single().handles shouldContainExactly listOf("x:1/a")
            host.flows.inProgress shouldBe 0
        }

        test(
            "a request that crashes its targets is refused after the third, an answer only lost is no crash",
        ) {
            val host = Host()
            val route = route(RouteKind.SAFE, attempts = 5)
            var send = host.arrive(route).sends().single()
            host.handle(FlowEvent.TargetDied("other", 1)).shouldBeEmpty()
            repeat(3) { death ->
                val effects = host.handle(FlowEvent.SendFailed(send.send, SendFailure.Lost("reset")))
                val died = host.handle(FlowEvent.TargetDied(send.target.id, 1))
                died.filterIsInstance<FlowEffect.ShareDeath>().single().notice.fingerprint shouldBe "f1"
                if (death < 2) send = effects.sends().single()
            }
            val again = host.handle(
                FlowEvent.Arrived(ForwardRequest(2, "id2", route, "model", 1, 0, 9_000, fingerprint = "f1")),
            )
            again.rejects().single().reason shouldBe RejectReason.QUARANTINED
            again.sends().shouldBeEmpty()
        }

        test("whatever happens: one true final answer, no unsafe repeat, no result kept") {
            checkAll(histories(seed = 31), Arb.long()) { seed -> FlowHistory(Random(seed)).run() }
        }
    })
