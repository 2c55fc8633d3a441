/*
 * The scenarios that our promises are measured by. Bounds are the promises themselves.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import org.sesamerouter.standin.TargetStandin
import java.util.Random

private const val LOAD = 0.6
private const val SURGE = 3.0
private const val SURGE_SECONDS = 10.0
private const val SECONDS = 12.0
private const val FAULT_AT_MS = 3_000L
private const val RESTART_MS = 1_000L
private const val POLL_MS = 20L
private const val POISON_EVERY = 25
private const val DISTINCT_POISON = 3
private const val OVERUSE = 5.0
private const val PREFIXES = 24
private const val STRAGGLER_FACTOR = 10.0
private const val LOG_DOWN_MS = 7_000L

/** One judged figure: [value] has to be at least (or, for a ceiling, at most) [bound]. */
@Serializable
data class Judgement(val name: String, val value: Double, val bound: Double, val isCeiling: Boolean = false) {
    val holds: Boolean get() = if (isCeiling) value <= bound else value >= bound
}

/** What a run of a scenario left to judge. */
class ScenarioOutcome(val deployment: Deployment, val calls: List<CallRecord>, val phases: List<LoadPhase>)

/**
 * One scenario.
 *
 * @property phases the load, given the capacity of the deployment.
 * @property faults what is broken meanwhile, on a thread of its own.
 * @property judge the figures that the promises bound.
 */
class Scenario(
    val name: String,
    val phases: (Double, Deployment) -> List<LoadPhase>,
    val faults: (Deployment) -> Unit = {},
    val judge: (ScenarioOutcome) -> List<Judgement>,
)

/** All scenarios. */
val SCENARIOS: List<Scenario> = listOf(
    surge(),
    steady("straggler", ::slowOneEngine) { listOf(Judgement("attainment", attainment(it.calls), 0.97)) },
    steady("crash", ::crashOneEngine) { outcome ->
        val idempotent = outcome.calls.filter { !it.entry.once }
        listOf(Judgement("attainment of idempotent requests", attainment(idempotent), 0.99))
    },
    poison(),
    steady("log-outage", ::stopLog) { listOf(Judgement("attainment", attainment(it.calls), 0.99)) },
    steady("rolling-restart", ::restartHosts) { listOf(Judgement("attainment", attainment(it.calls), 0.99)) },
    organisationSurge(),
    prefix(),
)

/** Returns the share of [calls] that were answered whole within the deadline. */
fun attainment(calls: List<CallRecord>): Double =
    if (calls.isEmpty()) 1.0 else calls.count { it.ending == Ending.ATTAINED }.toDouble() / calls.size

private fun steady(name: String, faults: (Deployment) -> Unit, judge: (ScenarioOutcome) -> List<Judgement>) =
    Scenario(name, { capacity, _ -> listOf(LoadPhase(SECONDS, capacity * LOAD)) }, faults, judge)

private fun surge() = Scenario(
    "surge",
    { capacity, _ -> listOf(LoadPhase(SURGE_SECONDS, capacity * SURGE)) },
    judge = { outcome ->
        val allowed = allowedShare(outcome.deployment, SURGE)
        listOf(
            Judgement(
                "attainment / what capacity allows (%.3f)".format(allowed),
                attainment(outcome.calls) / allowed,
                0.9,
            ),
            Judgement("attainment of status checks", attainment(outcome.calls.filter { it.entry.status }), 0.98),
        )
    },
)

/** A poisoned request crashes each engine that runs it; its caller sends it again and again under new keys. */
private fun poison() = Scenario(
    "poison",
    { capacity, deployment ->
        val entry = deployment.example.traffic.mix.first { it.tokens > 0 && !it.stream }
        val tweak = { call: PlannedCall, place: Int ->
            if (place % POISON_EVERY != POISON_EVERY - 1) {
                call
            } else {
                val which = place / POISON_EVERY % DISTINCT_POISON
                val organisation = deployment.example.traffic.organisations.keys.first()
                call.copy(uid = "poison-$which", entry = entry, organisation = organisation, poison = true)
            }
        }
        listOf(LoadPhase(SECONDS, capacity * LOAD, tweak))
    },
    faults = ::restartCrashed,
    judge = { outcome ->
        val deaths = outcome.deployment.targets.values.flatten().sumOf { it.crashes.get() }
        val others = outcome.calls.filter { !it.poison }
        listOf(
            Judgement(
                "target deaths for each poison request",
                deaths.toDouble() / DISTINCT_POISON,
                2.0,
                isCeiling = true,
            ),
            Judgement("attainment of the others", attainment(others), 0.97),
        )
    },
)

private fun organisationSurge() = Scenario(
    "organisation-surge",
    { capacity, deployment ->
        val shares = deployment.example.traffic.organisations
        val surging = shares.keys.first()
        val share = shares.getValue(surging).toDouble() / shares.values.sum()
        val own = share * OVERUSE * capacity
        val others = (1 - share) * capacity * LOAD
        val pickOwn = own / (own + others)
        val rest = shares.filterKeys { it != surging }
        val random = Random(1)
        val tweak = { call: PlannedCall, _: Int ->
            val isOwn = random.nextDouble() < pickOwn
            call.copy(organisation = if (isOwn) surging else pick(rest, random))
        }
        listOf(LoadPhase(SECONDS, own + others, tweak))
    },
    judge = { outcome ->
        val surging = outcome.deployment.example.traffic.organisations.keys.first()
        val others = outcome.calls.filter { it.organisation != surging }
        listOf(Judgement("attainment of the other organisations", attainment(others), 0.97))
    },
)

private fun pick(shares: Map<String, Int>, random: Random): String {
    var at = random.nextInt(shares.values.sum())
    return shares.entries.first { (_, share) ->
        at -= share
        at < 0
    }.key
}

private fun prefix() = Scenario(
    "prefix",
    { capacity, _ ->
        val random = Random(2)
        val tweak = { call: PlannedCall, _: Int ->
            val which = (PREFIXES * random.nextDouble() * random.nextDouble()).toInt()
            call.copy(prefix = "prompt prefix number $which ".padEnd(80, 'x'))
        }
        listOf(LoadPhase(SECONDS, capacity * LOAD, tweak))
    },
    judge = { outcome ->
        val engines = outcome.deployment.targets.values.flatten().filter { it.behaviour.generates }
        val hits = engines.sumOf { it.prefixHits.get() }
        val generated = outcome.calls.count { it.entry.tokens > 0 && it.ending == Ending.ATTAINED }
        listOf(
            Judgement("attainment", attainment(outcome.calls), 0.97),
            Judgement("prefix hits / generated answers", hits.toDouble() / maxOf(1, generated), 0.5),
        )
    },
)

private fun slowOneEngine(deployment: Deployment) {
    Thread.sleep(FAULT_AT_MS)
    val engine = engines(deployment).last()
    engine.behaviour = engine.behaviour.copy(slowdown = STRAGGLER_FACTOR)
}

private fun crashOneEngine(deployment: Deployment) {
    Thread.sleep(FAULT_AT_MS)
    engines(deployment).last().crash()
}

private fun stopLog(deployment: Deployment) {
    Thread.sleep(FAULT_AT_MS)
    deployment.log.behaviour = deployment.log.behaviour.copy(down = true)
    Thread.sleep(LOG_DOWN_MS)
    deployment.log.behaviour = deployment.log.behaviour.copy(down = false)
}

private fun restartHosts(deployment: Deployment) {
    val first = deployment.hosts
    for ((i, host) in first.withIndex()) {
        deployment.startHost(first.size + i)
        deployment.stop(host)
    }
}

private fun restartCrashed(deployment: Deployment) {
    val until = System.nanoTime() + (SECONDS * 1e9).toLong()
    val deadSince = HashMap<TargetStandin, Long>()
    while (System.nanoTime() < until) {
        for (engine in engines(deployment).filter { !it.isAlive }) {
            val since = deadSince.getOrPut(engine) { System.nanoTime() }
            if (System.nanoTime() - since < RESTART_MS * 1_000_000) continue
            engine.restart()
            deadSince.remove(engine)
        }
        Thread.sleep(POLL_MS)
    }
}

private fun engines(deployment: Deployment) = deployment.targets.values.flatten().filter { it.behaviour.generates }

/** Returns the share of the mix that the targets can answer when [factor] times their capacity is offered. */
fun allowedShare(deployment: Deployment, factor: Double): Double {
    val traffic = deployment.example.traffic
    val offered = capacityOf(deployment) * factor
    val use = poolUse(deployment, offered)
    val allowed = traffic.mix.sumOf { entry ->
        val pools = deployment.pipelines[entry.pipeline]?.stages?.map { it.pool } ?: listOf(entry.service)
        entry.share * pools.minOf { pool -> minOf(1.0, 1.0 / use.getValue(pool)) }
    }
    return allowed / traffic.mix.sumOf { it.share }
}
