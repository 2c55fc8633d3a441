/*
 * The scenarios that check the guarantees of the router under load and faults. Each figure of a scenario is compared
 * with the bound that the router guarantees for it.
 */
package org.sesamerouter.experiment

import kotlinx.serialization.Serializable
import org.sesamerouter.standin.TargetStandin
import java.util.Random

private const val BASE_LOAD_FACTOR = 0.6
private const val SURGE_LOAD_FACTOR = 3.0
private const val SURGE_SECONDS = 10.0
private const val RUN_SECONDS = 12.0
private const val FAULT_DELAY_MS = 3_000L
private const val RESTART_DELAY_MS = 1_000L
private const val RESTART_POLL_MS = 20L
private const val POISON_INTERVAL = 25
private const val DISTINCT_POISON_REQUESTS = 3
private const val ORGANISATION_SURGE_FACTOR = 5.0
private const val DISTINCT_PREFIXES = 24
private const val STRAGGLER_SLOWDOWN = 10.0
private const val LOG_OUTAGE_MS = 7_000L

/** A measured figure and its [bound]: [value] must be at least the bound or, for a ceiling, at most the bound. */
@Serializable
data class BoundedFigure(val name: String, val value: Double, val bound: Double, val isCeiling: Boolean = false) {
    val isWithinBound: Boolean get() = if (isCeiling) value <= bound else value >= bound
}

/** The data of one scenario run that its figures are computed from. */
class ScenarioOutcome(val deployment: Deployment, val calls: List<CallRecord>, val phases: List<LoadPhase>)

/**
 * A load, the faults injected under it and the figures to check.
 *
 * @property phases returns the load phases for a capacity in requests per second and a deployment.
 * @property faults injects faults while the load runs; called on a separate thread.
 * @property figures returns the figures of the run with their bounds.
 */
class Scenario(
    val name: String,
    val phases: (Double, Deployment) -> List<LoadPhase>,
    val faults: (Deployment) -> Unit = {},
    val figures: (ScenarioOutcome) -> List<BoundedFigure>,
)

val SCENARIOS: List<Scenario> = listOf(
    surgeScenario(),
    steadyLoad("straggler", ::slowOneEngine) { listOf(BoundedFigure("attainment", attainment(it.calls), 0.97)) },
    steadyLoad("crash", ::crashOneEngine) { outcome ->
        val idempotent = outcome.calls.filter { !it.entry.once }
        listOf(BoundedFigure("attainment of idempotent requests", attainment(idempotent), 0.99))
    },
    poisonScenario(),
    steadyLoad("log-outage", ::interruptLog) { listOf(BoundedFigure("attainment", attainment(it.calls), 0.99)) },
    steadyLoad("rolling-restart", ::restartHosts) { listOf(BoundedFigure("attainment", attainment(it.calls), 0.99)) },
    organisationSurgeScenario(),
    prefixScenario(),
)

/** Returns the fraction of [calls] that received a complete answer within their deadline; 1 if there are none. */
fun attainment(calls: List<CallRecord>): Double =
    if (calls.isEmpty()) 1.0 else calls.count { it.ending == CallResult.ATTAINED }.toDouble() / calls.size

private fun steadyLoad(name: String, faults: (Deployment) -> Unit, figures: (ScenarioOutcome) -> List<BoundedFigure>) =
    Scenario(name, { capacity, _ -> listOf(LoadPhase(RUN_SECONDS, capacity * BASE_LOAD_FACTOR)) }, faults, figures)

private fun surgeScenario() = Scenario(
    "surge",
    { capacity, _ -> listOf(LoadPhase(SURGE_SECONDS, capacity * SURGE_LOAD_FACTOR)) },
    figures = { outcome ->
        val servable = servableFraction(outcome.deployment, SURGE_LOAD_FACTOR)
        listOf(
            BoundedFigure(
                "attainment / what capacity allows (%.3f)".format(servable),
                attainment(outcome.calls) / servable,
                0.9,
            ),
            BoundedFigure("attainment of status checks", attainment(outcome.calls.filter { it.entry.status }), 0.98),
        )
    },
)

/** A poison request crashes every engine that runs it. Its caller keeps sending it again under new keys. */
private fun poisonScenario() = Scenario(
    "poison",
    { capacity, deployment ->
        val entry = deployment.example.traffic.mix.first { it.tokens > 0 && !it.stream }
        val transform = { call: PlannedCall, index: Int ->
            if (index % POISON_INTERVAL != POISON_INTERVAL - 1) {
                call
            } else {
                val variant = index / POISON_INTERVAL % DISTINCT_POISON_REQUESTS
                val organisation = deployment.example.traffic.organisations.keys.first()
                call.copy(uid = "poison-$variant", entry = entry, organisation = organisation, poison = true)
            }
        }
        listOf(LoadPhase(RUN_SECONDS, capacity * BASE_LOAD_FACTOR, transform))
    },
    faults = ::restartCrashedEngines,
    figures = { outcome ->
        val crashes = outcome.deployment.targets.values.flatten().sumOf { it.crashes.get() }
        val others = outcome.calls.filter { !it.poison }
        listOf(
            BoundedFigure(
                "target deaths for each poison request",
                crashes.toDouble() / DISTINCT_POISON_REQUESTS,
                2.0,
                isCeiling = true,
            ),
            BoundedFigure("attainment of the others", attainment(others), 0.97),
        )
    },
)

private fun organisationSurgeScenario() = Scenario(
    "organisation-surge",
    { capacity, deployment ->
        val weights = deployment.example.traffic.organisations
        val surging = weights.keys.first()
        val fraction = weights.getValue(surging).toDouble() / weights.values.sum()
        val surgingRate = fraction * ORGANISATION_SURGE_FACTOR * capacity
        val otherRate = (1 - fraction) * capacity * BASE_LOAD_FACTOR
        val surgingFraction = surgingRate / (surgingRate + otherRate)
        val otherWeights = weights.filterKeys { it != surging }
        val random = Random(1)
        val transform = { call: PlannedCall, _: Int ->
            val isSurging = random.nextDouble() < surgingFraction
            call.copy(organisation = if (isSurging) surging else pickWeighted(otherWeights, random))
        }
        listOf(LoadPhase(RUN_SECONDS, surgingRate + otherRate, transform))
    },
    figures = { outcome ->
        val surging = outcome.deployment.example.traffic.organisations.keys.first()
        val others = outcome.calls.filter { it.organisation != surging }
        listOf(BoundedFigure("attainment of the other organisations", attainment(others), 0.97))
    },
)

private fun pickWeighted(weights: Map<String, Int>, random: Random): String {
    var remaining = random.nextInt(weights.values.sum())
    return weights.entries.first { (_, weight) ->
        remaining -= weight
        remaining < 0
    }.key
}

private fun prefixScenario() = Scenario(
    "prefix",
    { capacity, _ ->
        val random = Random(2)
        val transform = { call: PlannedCall, _: Int ->
            // The product of two uniform values makes prefixes with low numbers more frequent.
            val variant = (DISTINCT_PREFIXES * random.nextDouble() * random.nextDouble()).toInt()
            call.copy(prefix = "prompt prefix number $variant ".padEnd(80, 'x'))
        }
        listOf(LoadPhase(RUN_SECONDS, capacity * BASE_LOAD_FACTOR, transform))
    },
    figures = { outcome ->
        val engines = outcome.deployment.targets.values.flatten().filter { it.behaviour.generates }
        val hits = engines.sumOf { it.prefixHits.get() }
        val generatedAnswers = outcome.calls.count { it.entry.tokens > 0 && it.ending == CallResult.ATTAINED }
        listOf(
            BoundedFigure("attainment", attainment(outcome.calls), 0.97),
            BoundedFigure("prefix hits / generated answers", hits.toDouble() / maxOf(1, generatedAnswers), 0.5),
        )
    },
)

private fun slowOneEngine(deployment: Deployment) {
    Thread.sleep(FAULT_DELAY_MS)
    val engine = engines(deployment).last()
    engine.behaviour = engine.behaviour.copy(slowdown = STRAGGLER_SLOWDOWN)
}

private fun crashOneEngine(deployment: Deployment) {
    Thread.sleep(FAULT_DELAY_MS)
    engines(deployment).last().crash()
}

private fun interruptLog(deployment: Deployment) {
    Thread.sleep(FAULT_DELAY_MS)
    deployment.log.behaviour = deployment.log.behaviour.copy(down = true)
    Thread.sleep(LOG_OUTAGE_MS)
    deployment.log.behaviour = deployment.log.behaviour.copy(down = false)
}

private fun restartHosts(deployment: Deployment) {
    val initialHosts = deployment.hosts
    for ((i, host) in initialHosts.withIndex()) {
        deployment.startHost(initialHosts.size + i)
        deployment.stop(host)
    }
}

private fun restartCrashedEngines(deployment: Deployment) {
    val untilNanos = System.nanoTime() + (RUN_SECONDS * 1e9).toLong()
    val crashSeenAtNanos = HashMap<TargetStandin, Long>()
    while (System.nanoTime() < untilNanos) {
        for (engine in engines(deployment).filter { !it.isAlive }) {
            val crashSeenAt = crashSeenAtNanos.getOrPut(engine) { System.nanoTime() }
            if (System.nanoTime() - crashSeenAt < RESTART_DELAY_MS * 1_000_000) continue
            engine.restart()
            crashSeenAtNanos.remove(engine)
        }
        Thread.sleep(RESTART_POLL_MS)
    }
}

private fun engines(deployment: Deployment) = deployment.targets.values.flatten().filter { it.behaviour.generates }

/** Returns the fraction of the mix that the targets can answer at an offered load of [factor] times their capacity. */
fun servableFraction(deployment: Deployment, factor: Double): Double {
    val traffic = deployment.example.traffic
    val offered = saturationRate(deployment) * factor
    val utilisation = poolUtilisation(deployment, offered)
    val servable = traffic.mix.sumOf { entry ->
        val pools = deployment.pipelines[entry.pipeline]?.stages?.map { it.pool } ?: listOf(entry.service)
        entry.share * pools.minOf { pool -> minOf(1.0, 1.0 / utilisation.getValue(pool)) }
    }
    return servable / traffic.mix.sumOf { it.share }
}
