/*
 * Fixtures of the specs of forwarded requests, and a model that checks generated event histories.
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
import org.sesamerouter.retry.AllowanceUse
import org.sesamerouter.retry.RepeatAllowance
import org.sesamerouter.retry.RepeatReason
import org.sesamerouter.retry.SendGate
import org.sesamerouter.routing.ServiceTargets
import org.sesamerouter.web.RequestLimits
import kotlin.random.Random

internal fun target(id: String, service: String) =
    TargetEntry(id, service, "10.0.0.${id.last()}:80", "a", 4, isDraining = false, startTimeMs = 1)

internal val STAGES = listOf(
    StageSpec("stock", emptyList(), 800_000),
    StageSpec("stock", emptyList(), 8_000),
    StageSpec("rank", listOf(1), 60_000),
)

internal fun route(
    kind: RouteKind,
    resumable: Boolean = false,
    attempts: Int = 2,
    stages: List<StageSpec> = emptyList(),
) = Route(
    "r", "shop.example", "/a/", kind, resumable, timeoutMs = 10_000, objectiveMs = 2_000, rank = 1,
    shares = listOf(
        ServiceShare("model", 1),
    ),
    maxAttempts = attempts, stages = stages, isPublic = false, gapObjectiveMs = 400,
)

internal class FixedFlowContext : FlowContext {
    var queueMs = 0.0
    var targets = listOf(target("m1", "model"), target("m2", "model"), target("m3", "model"))
    override var config = ServingConfig(
        1,
        emptyList(),
        mapOf("model" to ServiceSpec("model", "/health", 64, null, EngineSpec(8, 100_000))),
        emptyList(),
        RequestLimits(),
    )

    override var hasOtherHosts = true

    override fun targets(service: String) = targets

    var pauseLeftMs: Long? = null

    override fun pauseLeftMs(service: String) = pauseLeftMs

    override fun dataCentreOf(address: String): String? = "a"

    override fun maxConnectionsPerTarget(service: String) = 8

    override fun mayTryPart(part: String, overdueMs: Long) = true

    override fun expectedStageMs(service: String, rank: Int, dueMs: Long) = 300.0 + queueMs

    override fun unloadedStageMs(service: String) = 300.0
}

/** A token bucket of one host for each service. */
internal class BucketAllowance(private val newBucket: () -> RetryBudget) : RepeatAllowance {
    private val buckets = HashMap<String, RetryBudget>()
    private val givenBack = HashMap<String, Int>()

    private fun bucketOf(service: String) = buckets.getOrPut(service, newBucket)

    override fun onRequest(service: String, now: Long) = bucketOf(service).deposit()

    override fun left(service: String, now: Long) =
        (givenBack[service] ?: 0) + if (bucketOf(service).canWithdraw) 1 else 0

    override fun tryTake(service: String, reason: RepeatReason, now: Long): Boolean {
        val back = givenBack[service] ?: 0
        if (back > 0) givenBack[service] = back - 1
        return back > 0 || bucketOf(service).tryWithdraw()
    }

    override fun giveBack(service: String, reason: RepeatReason, takenMs: Long) {
        givenBack.merge(service, 1, Int::plus)
    }

    override fun slackShare(now: Long) = 0.0

    override fun uses(now: Long) = emptyMap<String, AllowanceUse>()
}

internal class Host(
    pieceMemory: PieceMemory = UnboundedPieceMemory,
    budget: () -> RetryBudget = { RetryBudget(1.0, 100.0) },
) {
    val context = FixedFlowContext()
    private val engines = EngineTable().also { it.update(context.targets) }
    val quarantine = Quarantine(deathsToQuarantine = 3)
    val flows = RequestFlows(
        context,
        engines,
        ServiceTargets(),
        quarantine,
        "a",
        SendGate(BucketAllowance(budget)),
        pieceMemory,
    )
    var now = 0L

    fun handle(event: FlowEvent) = flows.handle(event, now)

    fun arrive(
        route: Route,
        pieces: List<Int> = emptyList(),
        flow: Long = 1,
        deadlineMs: Long = 10_000,
        callerTimeoutMs: Long = deadlineMs,
    ) = handle(
        FlowEvent.Arrived(
            ForwardRequest(
                flow, "id$flow", route, "model", route.rank, now, now + deadlineMs, callerTimeoutMs, pieces, "key",
                fingerprint = "f$flow",
            ),
        ),
    )
}

/** Whether the target of [send] is given up when it is reported as silent. */
internal fun Host.givesUpSilent(send: SendId): Boolean =
    handle(FlowEvent.SendSilent(send)).filterIsInstance<FlowEffect.GiveUpSend>().any { it.send == send }

internal fun List<FlowEffect>.stageJobs() = filterIsInstance<FlowEffect.RunStage>().map { it.job }

internal fun List<FlowEffect>.sends() = filterIsInstance<FlowEffect.Send>()

internal fun List<FlowEffect>.rejects() = filterIsInstance<FlowEffect.Reject>()

/**
 * Generates random events for a few requests. The model tracks which requests may have run, where they are sent and
 * which stage results exist.
 */
internal class FlowHistory(private val random: Random) {
    private val host = Host { RetryBudget(0.5, 3.0) }
    private val routes = HashMap<Long, Route>()
    private val jobs = HashMap<String, Pair<Long, Int>>()
    private val sends = HashMap<SendId, FlowEffect.Send>()
    private val flowsWithResponse = HashSet<Long>()
    private val mayHaveRun = HashSet<Long>()
    private val runs = HashMap<Long, Int>()
    private val results = HashMap<String, Long>()
    private val endedFlows = HashSet<Long>()
    private var sequence = 0

    fun run() {
        repeat(50) {
            host.now += random.nextLong(200)
            step()
        }
        host.now += 100_000
        applyEffects(host.handle(FlowEvent.Tick))
        endedFlows shouldBe routes.keys
        host.flows.inProgress shouldBe 0
        results.keys.shouldBeEmpty()
    }

    private fun step() {
        when (random.nextInt(6)) {
            0 -> arrive()
            1, 2 -> jobs.keys.randomOrNull(random)?.let(::endJob)
            3, 4 -> sends.keys.randomOrNull(random)?.let(::endSend)
            else -> if (random.nextInt(5) == 0) disconnect() else host.context.queueMs = random.nextDouble(0.0, 2_500.0)
        }
        applyEffects(host.handle(FlowEvent.Tick))
    }

    private fun arrive() {
        val flow = routes.size + 1L
        val kind = RouteKind.entries.random(random)
        val stages = if (random.nextBoolean()) STAGES else emptyList()
        routes[flow] = route(kind, kind == RouteKind.STREAM && random.nextBoolean(), random.nextInt(1, 4), stages)
        val pieces = stages.map { random.nextInt(0, 4) }
        applyEffects(host.arrive(routes.getValue(flow), pieces, flow, random.nextLong(100, 9_000)))
    }

    private fun disconnect() {
        val flow = routes.keys.filter { it !in endedFlows }.randomOrNull(random) ?: return
        applyEffects(host.handle(FlowEvent.CallerDisconnected(flow)))
    }

    private fun endJob(job: String) {
        val (flow, count) = jobs.remove(job) ?: return
        val outcome = when (random.nextInt(8)) {
            0 -> JobOutcome(failure = JobFailure.INPUT_GONE)
            1 -> JobOutcome(failure = JobFailure.FAILED)
            else -> JobOutcome(List(count) { "10.0.0.9:80/${sequence++}" })
        }
        outcome.handles.forEach { results[it] = flow }
        applyEffects(host.handle(FlowEvent.StageEnded(job, outcome)))
    }

    private fun endSend(id: SendId) {
        val isResponding =
            id.flow in flowsWithResponse && sends.keys.count { it.flow == id.flow } == 1 &&
                respondingSends[id.flow] == id
        if (!isResponding && random.nextInt(3) == 0) {
            flowsWithResponse += id.flow
            respondingSends[id.flow] = id
            recordRun(id.flow)
            applyEffects(host.handle(FlowEvent.ResponseStarted(id, null)))
            return
        }
        sends.remove(id)
        if (isResponding) {
            val event = if (random.nextInt(3) == 0) {
                FlowEvent.SendFailed(id, SendFailure.Broken(random.nextBoolean(), "3", "reset"))
            } else {
                FlowEvent.ResponseCompleted(id, 200)
            }
            applyEffects(host.handle(event))
            return
        }
        val failure = when (random.nextInt(6)) {
            5 -> SendFailure.NotAttempted("connection limit")
            0 -> SendFailure.NotSent("refused")
            1 -> SendFailure.NotRun(503)
            2 -> SendFailure.NotRun(409)
            3 -> SendFailure.FailedAnswer(500).also { recordRun(id.flow) }
            else -> SendFailure.Lost("reset").also { recordRun(id.flow) }
        }
        applyEffects(host.handle(FlowEvent.SendFailed(id, failure)))
    }

    private val respondingSends = HashMap<Long, SendId>()

    private fun recordRun(flow: Long) {
        mayHaveRun += flow
        val count = runs.merge(flow, 1, Int::plus)!!
        val route = routes.getValue(flow)
        if (!route.isIdempotent) count shouldBe 1
        check(count <= route.maxAttempts) { "request $flow ran at $count targets" }
    }

    private fun applyEffects(effects: List<FlowEffect>) {
        for (effect in effects) {
            when (effect) {
                is FlowEffect.RunStage -> jobs[effect.job.job] =
                    effect.job.request.drop(2).toLong() to effect.job.pieces.size

                is FlowEffect.CancelStage -> jobs.remove(effect.job)

                is FlowEffect.FreeResults -> effect.handles.forEach {
                    check(results.remove(it) != null) { "$it freed twice" }
                }

                is FlowEffect.Send -> onSend(effect)

                is FlowEffect.CancelSend -> sends.remove(effect.send)

                is FlowEffect.Reject -> onReject(effect)

                is FlowEffect.Ended -> check(endedFlows.add(effect.flow)) { "request ${effect.flow} ended twice" }

                else -> Unit
            }
        }
    }

    private fun onSend(send: FlowEffect.Send) {
        check(sends.keys.none { it.flow == send.send.flow }) { "two concurrent sends of one request" }
        send.inputs.forEach { results.getValue(it) shouldBe send.send.flow }
        sends[send.send] = send
    }

    private fun onReject(reject: FlowEffect.Reject) {
        val isSent = sends.keys.any { it.flow == reject.flow }
        if (reject.status == 503) check(reject.flow !in mayHaveRun && !isSent) { "rejected as not run, may have run" }
        check(reject.flow !in flowsWithResponse) { "rejected after the response had started" }
    }
}
