/*
 * Property tests of the request coordinator over generated histories of arrivals, answers, failures of every kind,
 * probes, target deaths, cancellations and passing time. A simulation of callers and targets records which requests may
 * have run and which result each caller received.
 */
package org.sesamerouter.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.api.Refusal
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RefusalReason
import org.sesamerouter.api.RunCall
import org.sesamerouter.configuration.Catalogue
import org.sesamerouter.configuration.OrganisationSpec
import org.sesamerouter.configuration.PipelineSpec
import org.sesamerouter.configuration.PoolSpec
import org.sesamerouter.configuration.PriorityClassSpec
import org.sesamerouter.configuration.StageKind
import org.sesamerouter.configuration.StageSpec
import org.sesamerouter.configuration.TargetSpec
import org.sesamerouter.histories
import org.sesamerouter.ledger.Holder
import org.sesamerouter.ledger.Ledger
import org.sesamerouter.ledger.Ticket
import org.sesamerouter.routing.TargetKey
import org.sesamerouter.routing.defaultTargetChooser
import org.sesamerouter.target.LoadReport
import java.util.Random

private val self = Holder("h0", 1)
private val pipeline = CallTarget.PipelineCall("plan")
private val booking = CallTarget.ServiceCall("booking", "reserve")

private fun pool(name: String, stage: StageKind, targets: Int, slots: Int = 2) = PoolSpec(
    stage,
    List(targets) { TargetSpec("$name-$it", "127.0.0.1:${9_000 + name.length * 10 + it}", slots = slots) },
    nonIdempotent = listOf("reserve"),
    serviceMs = 20,
    deadlineMs = 500,
)

private fun catalogue() = Catalogue(
    0,
    persistentMapOf(
        "encoders" to pool("encoders", StageKind.ENCODE, 2),
        "engines" to pool("engines", StageKind.GENERATE, 3),
        "booking" to pool("booking", StageKind.SERVICE, 2),
    ),
    persistentMapOf(
        "plan" to
            PipelineSpec(listOf(StageSpec("encode", "encoders"), StageSpec("generate", "engines")), deadlineMs = 800),
    ),
    persistentMapOf("a" to OrganisationSpec(), "b" to OrganisationSpec(weight = 3, maxInProgress = 4)),
    persistentMapOf("high" to PriorityClassSpec(1)),
    persistentMapOf(),
)

/**
 * A coordinator with simulated callers and targets. When [reportsSends] is false, attempts whose connection was cut are
 * wrongly reported as never sent.
 */
private class Simulation(policy: ServingPolicy = ServingPolicy(), private val reportsSends: Boolean = true) {
    val state = ServingState(Ledger(self)).also { it.catalogue = catalogue() }
    val coordinator = RequestCoordinator(state, defaultTargetChooser("h0", Random(1)), policy) { it == self }
    val openAttempts = LinkedHashMap<AttemptId, RequestEffect.StartAttempt>()
    val violations = ArrayList<String>()
    val results = HashMap<String, Refusal?>()
    private val probes = ArrayList<RequestEffect.Probe>()
    private val mayHaveRun = HashMap<String, Int>()
    private val keyRuns = HashMap<String, Int>()
    private val keyOf = HashMap<String, String>()
    private val nonIdempotentIds = HashSet<String>()
    private var sent = 0
    private val incarnations = HashMap<String, Int>()
    var now = 0L

    init {
        state.targets.apply(catalogue(), liveHosts = 1)
    }

    fun handle(event: RequestEvent) = coordinator.handle(event, now).forEach(::carryOut)

    fun arrive(step: Int) {
        val id = "r${sent++}"
        val isNonIdempotent = step % 3 == 0
        val key = if (isNonIdempotent) Ticket("h0", 1, 0, "n").toString() + "/${step / 3 % 6}" else ""
        if (isNonIdempotent) {
            nonIdempotentIds += id
            keyOf[id] = key
        }
        val input = JsonPrimitive(if (isNonIdempotent) "booking ${step / 3 % 6}" else "input ${step / 3 % 12}")
        val call = RunCall(
            if (step % 2 == 0) {
                "a"
            } else {
                "b"
            },
            input,
            priority = if (step % 5 == 0) "high" else "",
            key = key,
        )
        val callOfSender = if (isNonIdempotent) call.copy(organisation = "a") else call
        handle(RequestEvent.Arrived(id, if (isNonIdempotent) booking else pipeline, callOfSender))
    }

    fun answer(step: Int) {
        val attempt = openAttempts.values.elementAtOrNull(step % maxOf(1, openAttempts.size)) ?: return
        openAttempts.remove(attempt.attempt)
        handle(RequestEvent.Succeeded(attempt.attempt, JsonPrimitive(1), "text", 3, null))
    }

    fun fail(step: Int) {
        val attempt = openAttempts.values.elementAtOrNull(step % maxOf(1, openAttempts.size)) ?: return
        openAttempts.remove(attempt.attempt)
        val actual = AttemptFailure.entries[step / 16 % AttemptFailure.entries.size]
        val notRun = actual in setOf(AttemptFailure.NEVER_SENT, AttemptFailure.REFUSED, AttemptFailure.REFUSED_LEAVING)
        if (notRun) {
            mayHaveRun.merge(attempt.attempt.request, -1, Int::plus)
            keyOf[attempt.attempt.request]?.let { keyRuns.merge(it, -1, Int::plus) }
        }
        val reported = if (!reportsSends && actual == AttemptFailure.CUT) AttemptFailure.NEVER_SENT else actual
        if (actual == AttemptFailure.CUT && step % 2 == 0) incarnations.merge(attempt.address, 1, Int::plus)
        handle(RequestEvent.Failed(attempt.attempt, reported, step % 3, "t".repeat(step % 3)))
    }

    fun probe(step: Int) {
        val probe = probes.removeFirstOrNull() ?: return
        val report = LoadReport("i${incarnations[probe.address] ?: 0}", slots = 2, leaving = step % 20 == 0)
        handle(RequestEvent.Probed(probe.target, probe.address, report.takeIf { step % 3 != 0 }))
    }

    fun token(step: Int) = openAttempts.keys.elementAtOrNull(step % maxOf(1, openAttempts.size))?.let {
        handle(RequestEvent.FirstToken(it))
    }

    fun cancel(step: Int) = handle(RequestEvent.Cancelled("r${step % maxOf(1, sent)}"))

    fun advance(ms: Long) {
        now += ms
        handle(RequestEvent.Tick)
    }

    fun drain() {
        repeat(200) {
            while (probes.isNotEmpty()) probe(1)
            repeat(openAttempts.size) { answer(0) }
            advance(50)
        }
        repeat(sent) { if ("r$it" !in results && "r$it" !in cancelled) violations += "r$it was never answered" }
        if (coordinator.inProgress != 0) violations += "${coordinator.inProgress} requests are still in progress"
        val pools = state.targets.all()
        pools.forEach { if (state.gate.committedMs(it.name) != 0L) violations += "work still committed in ${it.name}" }
        pools.flatMap { it.targets }.forEach {
            if (it.inProgress != 0) {
                violations += "${it.key} still has ${it.inProgress} requests in progress"
            }
        }
    }

    private val cancelled = HashSet<String>()

    private fun carryOut(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.StartAttempt -> started(effect)
            is RequestEffect.CancelAttempt -> openAttempts.remove(effect.attempt)
            is RequestEffect.Probe -> probes += effect
            is RequestEffect.Complete -> recordResult(effect.request, null)
            is RequestEffect.Refuse -> refused(effect)
            is RequestEffect.Forward, is RequestEffect.AppendClaim -> violations += "unexpected $effect"
            is RequestEffect.BroadcastDeath -> Unit
        }
    }

    private fun started(effect: RequestEffect.StartAttempt) {
        openAttempts[effect.attempt] = effect
        mayHaveRun.merge(effect.attempt.request, 1, Int::plus)
        val key = keyOf[effect.attempt.request] ?: return
        val runs = keyRuns.merge(key, 1, Int::plus)
        if (runs != 1) violations += "$key may have run $runs times"
    }

    private fun refused(effect: RequestEffect.Refuse) {
        recordResult(effect.request, effect.refusal)
        if (effect.refusal.kind != RefusalKind.NOT_RUN) return
        val runs = (mayHaveRun[effect.request] ?: 0) + (keyOf[effect.request]?.let { keyRuns[it] } ?: 0)
        if (runs > 0) violations += "${effect.request} was refused as 'not run' but may have run"
    }

    private fun recordResult(request: String, refusal: Refusal?) {
        if (request in results) violations += "$request was answered twice"
        results[request] = refusal
    }

    fun recordCancellation(step: Int) {
        cancelled += "r${step % maxOf(1, sent)}"
    }
}

private fun simulate(steps: List<Int>, simulation: Simulation = Simulation()): Simulation {
    for (step in steps) {
        val rest = step / 16
        when (step % 16) {
            in 0..4 -> simulation.arrive(rest)

            in 5..8 -> simulation.answer(rest)

            9, 10 -> simulation.fail(rest)

            11 -> simulation.probe(rest)

            12 -> simulation.token(rest)

            13 -> if (rest % 4 == 0) {
                simulation.recordCancellation(rest)
                simulation.cancel(rest)
            }

            else -> simulation.advance((rest % 60).toLong())
        }
    }
    simulation.drain()
    return simulation
}

class RequestCoordinatorSpec :
    FunSpec({
        val histories = Arb.list(Arb.int(0..9_999_999), 20..150)

        test("answers each request once, runs each key at most once and releases all resources") {
            checkAll(histories(seed = 51), histories) { steps -> simulate(steps).violations.shouldBeEmpty() }
        }

        // Without deadlines a request would wait forever while all targets of its pool are leaving.
        test("the naive policy has the same properties when deadlines are enabled") {
            checkAll(histories(seed = 52), histories) { steps ->
                simulate(steps, Simulation(ServingPolicy.NAIVE.copy(deadlines = true))).violations.shouldBeEmpty()
            }
        }

        test("the properties detect keys that run twice because cut connections are reported as never sent") {
            val violations = ArrayList<String>()
            checkAll(histories(seed = 51), histories) { steps ->
                violations += simulate(steps, Simulation(reportsSends = false)).violations
            }
            violations.shouldNotBeEmpty()
        }

        test("refuses a request on arrival when its deadline cannot be met, with a retry delay") {
            val simulation = Simulation()
            val call = RunCall("a", JsonPrimitive("x"), deadlineMs = 5)
            simulation.handle(RequestEvent.Arrived("late", pipeline, call))
            val refusal = checkNotNull(simulation.results["late"])
            refusal.kind shouldBe RefusalKind.NOT_RUN
            refusal.reason shouldBe RefusalReason.DEADLINE_UNREACHABLE
            (refusal.retryAfterMs > 0) shouldBe true
        }

        test("a refusal reports 'not run' only when this host knows that no request with its key ran") {
            val simulation = Simulation()
            val shortCall = { key: String -> RunCall("a", JsonPrimitive("x"), deadlineMs = 5, key = key) }
            val ownTicket = Ticket("h0", 1, 0, "n").toString()
            simulation.handle(RequestEvent.Arrived("fresh", pipeline, shortCall("$ownTicket/1")))
            simulation.results["fresh"]?.kind shouldBe RefusalKind.NOT_RUN
            simulation.handle(
                RequestEvent.Arrived("foreign", pipeline, shortCall(Ticket("h0", 0, 0, "n").toString() + "/1")),
            )
            simulation.results["foreign"]?.kind shouldBe RefusalKind.OUTCOME_UNKNOWN
            simulation.handle(
                RequestEvent.Arrived("runs", pipeline, RunCall("a", JsonPrimitive("x"), key = "$ownTicket/2")),
            )
            simulation.handle(RequestEvent.Arrived("again", pipeline, shortCall("$ownTicket/2")))
            simulation.results["again"]?.kind shouldBe RefusalKind.OUTCOME_UNKNOWN
        }

        test("a request that crashes two targets is quarantined and not sent to a third") {
            val simulation = Simulation()
            val call = RunCall("a", JsonPrimitive("poison"))
            simulation.handle(RequestEvent.Arrived("p1", booking.copy(operation = "look"), call))
            repeat(2) {
                val attempt = simulation.openAttempts.values.single()
                simulation.openAttempts.clear()
                simulation.handle(RequestEvent.Failed(attempt.attempt, AttemptFailure.CUT))
                simulation.handle(RequestEvent.Probed(TargetKey("booking", attempt.address), attempt.address, null))
                val key = simulation.state.targets.pool("booking")!!.targets.first { it.address == attempt.address }.key
                simulation.handle(RequestEvent.Probed(key, attempt.address, null))
            }
            simulation.results["p1"]?.reason shouldBe RefusalReason.QUARANTINED
            simulation.handle(RequestEvent.Arrived("p2", booking.copy(operation = "look"), call))
            simulation.results["p2"]?.kind shouldBe RefusalKind.NOT_RUN
            simulation.openAttempts.size shouldBe 0
        }

        test("an interrupted stream resumes at the position that the caller has reached") {
            val simulation = Simulation()
            simulation.handle(
                RequestEvent.Arrived("s", pipeline, RunCall("a", JsonPrimitive("x"), stream = true, maxTokens = 8)),
            )
            simulation.answer(0)
            val first = simulation.openAttempts.values.single()
            simulation.handle(RequestEvent.FirstToken(first.attempt))
            simulation.openAttempts.clear()
            simulation.handle(RequestEvent.Failed(first.attempt, AttemptFailure.CUT, position = 3, text = "abc"))
            val engine = simulation.state.targets.pool("engines")!!.targets.first { it.address == first.address }.key
            simulation.handle(RequestEvent.Probed(engine, first.address, LoadReport("i0")))
            val second = simulation.openAttempts.values.single()
            second.run.resumeFrom shouldBe 3
            second.run.resumeText shouldBe "abc"
            (second.address != first.address) shouldBe true
        }
    })
