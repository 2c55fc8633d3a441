/*
 * The request coordinator over generated histories of arrivals, answers, failures of every kind, probes, deaths,
 * cancels and time. A model of callers and targets counts what ran and what each caller was told.
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

/** One coordinator with callers and targets. [isSentTold] false hides that the bytes of a cut attempt had left. */
private class World(policy: ServingPolicy = ServingPolicy(), private val isSentTold: Boolean = true) {
    val state = ServingState(Ledger(self)).also { it.catalogue = catalogue() }
    val coordinator = RequestCoordinator(state, defaultTargetChooser("h0", Random(1)), policy) { it == self }
    val open = LinkedHashMap<AttemptId, RequestEffect.StartAttempt>()
    val violations = ArrayList<String>()
    val told = HashMap<String, Refusal?>()
    private val probes = ArrayList<RequestEffect.Probe>()
    private val mayHaveRun = HashMap<String, Int>()
    private val keyRuns = HashMap<String, Int>()
    private val keyOf = HashMap<String, String>()
    private val once = HashSet<String>()
    private var sent = 0
    private val incarnations = HashMap<String, Int>()
    var now = 0L

    init {
        state.targets.apply(catalogue(), liveHosts = 1)
    }

    fun handle(event: RequestEvent) = coordinator.handle(event, now).forEach(::carryOut)

    fun arrive(step: Int) {
        val id = "r${sent++}"
        val isOnce = step % 3 == 0
        val key = if (isOnce) Ticket("h0", 1, 0, "n").toString() + "/${step / 3 % 6}" else ""
        if (isOnce) {
            once += id
            keyOf[id] = key
        }
        val input = JsonPrimitive(if (isOnce) "booking ${step / 3 % 6}" else "input ${step / 3 % 12}")
        val call = RunCall(
            if (step % 2 ==
                0
            ) {
                "a"
            } else {
                "b"
            },
            input,
            priority = if (step % 5 == 0) "high" else "",
            key = key,
        )
        val sameSender = if (isOnce) call.copy(organisation = "a") else call
        handle(RequestEvent.Arrived(id, if (isOnce) booking else pipeline, sameSender))
    }

    fun answer(step: Int) {
        val attempt = open.values.elementAtOrNull(step % maxOf(1, open.size)) ?: return
        open.remove(attempt.attempt)
        handle(RequestEvent.Succeeded(attempt.attempt, JsonPrimitive(1), "text", 3, null))
    }

    fun fail(step: Int) {
        val attempt = open.values.elementAtOrNull(step % maxOf(1, open.size)) ?: return
        open.remove(attempt.attempt)
        val real = AttemptFailure.entries[step / 16 % AttemptFailure.entries.size]
        val unrun = real in setOf(AttemptFailure.NEVER_SENT, AttemptFailure.REFUSED, AttemptFailure.REFUSED_LEAVING)
        if (unrun) {
            mayHaveRun.merge(attempt.attempt.request, -1, Int::plus)
            keyOf[attempt.attempt.request]?.let { keyRuns.merge(it, -1, Int::plus) }
        }
        val told = if (!isSentTold && real == AttemptFailure.CUT) AttemptFailure.NEVER_SENT else real
        if (real == AttemptFailure.CUT && step % 2 == 0) incarnations.merge(attempt.address, 1, Int::plus)
        handle(RequestEvent.Failed(attempt.attempt, told, step % 3, "t".repeat(step % 3)))
    }

    fun probe(step: Int) {
        val probe = probes.removeFirstOrNull() ?: return
        val report = LoadReport("i${incarnations[probe.address] ?: 0}", slots = 2, leaving = step % 20 == 0)
        handle(RequestEvent.Probed(probe.target, probe.address, report.takeIf { step % 3 != 0 }))
    }

    fun token(step: Int) = open.keys.elementAtOrNull(step % maxOf(1, open.size))?.let {
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
            repeat(open.size) { answer(0) }
            advance(50)
        }
        repeat(sent) { if ("r$it" !in told && "r$it" !in cancelled) violations += "r$it was never answered" }
        if (coordinator.inProgress != 0) violations += "${coordinator.inProgress} requests stay in progress"
        val pools = state.targets.all()
        pools.forEach { if (state.gate.committedMs(it.name) != 0L) violations += "work stays committed in ${it.name}" }
        pools.flatMap { it.targets }.forEach {
            if (it.inProgress !=
                0
            ) {
                violations += "${it.key} counts ${it.inProgress}"
            }
        }
    }

    private val cancelled = HashSet<String>()

    private fun carryOut(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.StartAttempt -> started(effect)
            is RequestEffect.CancelAttempt -> open.remove(effect.attempt)
            is RequestEffect.Probe -> probes += effect
            is RequestEffect.Complete -> tell(effect.request, null)
            is RequestEffect.Refuse -> refused(effect)
            is RequestEffect.Forward, is RequestEffect.AppendClaim -> violations += "unexpected $effect"
            is RequestEffect.ShareDeath -> Unit
        }
    }

    private fun started(effect: RequestEffect.StartAttempt) {
        open[effect.attempt] = effect
        mayHaveRun.merge(effect.attempt.request, 1, Int::plus)
        val key = keyOf[effect.attempt.request] ?: return
        val runs = keyRuns.merge(key, 1, Int::plus)
        if (runs != 1) violations += "$key may have run $runs times"
    }

    private fun refused(effect: RequestEffect.Refuse) {
        tell(effect.request, effect.refusal)
        if (effect.refusal.kind != RefusalKind.NOT_RUN) return
        val runs = (mayHaveRun[effect.request] ?: 0) + (keyOf[effect.request]?.let { keyRuns[it] } ?: 0)
        if (runs > 0) violations += "${effect.request} was told 'not run' but may have run"
    }

    private fun tell(request: String, refusal: Refusal?) {
        if (request in told) violations += "$request was answered twice"
        told[request] = refusal
    }

    fun noteCancel(step: Int) {
        cancelled += "r${step % maxOf(1, sent)}"
    }
}

private fun play(steps: List<Int>, world: World = World()): World {
    for (step in steps) {
        val rest = step / 16
        when (step % 16) {
            in 0..4 -> world.arrive(rest)

            in 5..8 -> world.answer(rest)

            9, 10 -> world.fail(rest)

            11 -> world.probe(rest)

            12 -> world.token(rest)

            13 -> if (rest % 4 == 0) {
                world.noteCancel(rest)
                world.cancel(rest)
            }

            else -> world.advance((rest % 60).toLong())
        }
    }
    world.drain()
    return world
}

class RequestCoordinatorSpec :
    FunSpec({
        val histories = Arb.list(Arb.int(0..9_999_999), 20..150)

        test("answers each request once, runs keys at most once and frees all that it held") {
            checkAll(histories(seed = 51), histories) { steps -> play(steps).violations.shouldBeEmpty() }
        }

        // Without deadlines a request waits for ever while every target of its pool is leaving.
        test("the same holds under the naive policy, given deadlines") {
            checkAll(histories(seed = 52), histories) { steps ->
                play(steps, World(ServingPolicy.NAIVE.copy(deadlines = true))).violations.shouldBeEmpty()
            }
        }

        test("the check can fail: taking a cut connection for one never used runs keys twice") {
            val violations = ArrayList<String>()
            checkAll(histories(seed = 51), histories) { steps ->
                violations +=
                    play(steps, World(isSentTold = false)).violations
            }
            violations.shouldNotBeEmpty()
        }

        test("refuses at once what cannot be answered in time and says when to come back") {
            val world = World()
            val call = RunCall("a", JsonPrimitive("x"), deadlineMs = 5)
            world.handle(RequestEvent.Arrived("late", pipeline, call))
            val refusal = checkNotNull(world.told["late"])
            refusal.kind shouldBe RefusalKind.NOT_RUN
            refusal.reason shouldBe RefusalReason.DEADLINE_UNREACHABLE
            (refusal.retryAfterMs > 0) shouldBe true
        }

        test("a refusal speaks for all sends of its key: 'not run' only where this host knows") {
            val world = World()
            val hasty = { key: String -> RunCall("a", JsonPrimitive("x"), deadlineMs = 5, key = key) }
            val own = Ticket("h0", 1, 0, "n").toString()
            world.handle(RequestEvent.Arrived("fresh", pipeline, hasty("$own/1")))
            world.told["fresh"]?.kind shouldBe RefusalKind.NOT_RUN
            world.handle(RequestEvent.Arrived("foreign", pipeline, hasty(Ticket("h0", 0, 0, "n").toString() + "/1")))
            world.told["foreign"]?.kind shouldBe RefusalKind.OUTCOME_UNKNOWN
            world.handle(RequestEvent.Arrived("runs", pipeline, RunCall("a", JsonPrimitive("x"), key = "$own/2")))
            world.handle(RequestEvent.Arrived("again", pipeline, hasty("$own/2")))
            world.told["again"]?.kind shouldBe RefusalKind.OUTCOME_UNKNOWN
        }

        test("a request that kills two targets is quarantined and takes no third") {
            val world = World()
            val call = RunCall("a", JsonPrimitive("poison"))
            world.handle(RequestEvent.Arrived("p1", booking.copy(operation = "look"), call))
            repeat(2) {
                val attempt = world.open.values.single()
                world.open.clear()
                world.handle(RequestEvent.Failed(attempt.attempt, AttemptFailure.CUT))
                world.handle(RequestEvent.Probed(TargetKey("booking", attempt.address), attempt.address, null))
                val key = world.state.targets.pool("booking")!!.targets.first { it.address == attempt.address }.key
                world.handle(RequestEvent.Probed(key, attempt.address, null))
            }
            world.told["p1"]?.reason shouldBe RefusalReason.QUARANTINED
            world.handle(RequestEvent.Arrived("p2", booking.copy(operation = "look"), call))
            world.told["p2"]?.kind shouldBe RefusalKind.NOT_RUN
            world.open.size shouldBe 0
        }

        test("a stream that is cut resumes at the position that the caller has") {
            val world = World()
            world.handle(
                RequestEvent.Arrived("s", pipeline, RunCall("a", JsonPrimitive("x"), stream = true, maxTokens = 8)),
            )
            world.answer(0)
            val first = world.open.values.single()
            world.handle(RequestEvent.FirstToken(first.attempt))
            world.open.clear()
            world.handle(RequestEvent.Failed(first.attempt, AttemptFailure.CUT, position = 3, text = "abc"))
            val engine = world.state.targets.pool("engines")!!.targets.first { it.address == first.address }.key
            world.handle(RequestEvent.Probed(engine, first.address, LoadReport("i0")))
            val second = world.open.values.single()
            second.run.resumeFrom shouldBe 3
            second.run.resumeText shouldBe "abc"
            (second.address != first.address) shouldBe true
        }
    })
