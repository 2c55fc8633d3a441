/*
 * Tests on modelled fleets that repeats at a service stay within what all hosts together may send in any window.
 */
package org.sesamerouter.serving

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.pipeline.RetryBudget
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.retry.RepeatAllowance
import org.sesamerouter.retry.RepeatReason
import org.sesamerouter.retry.RepeatTerms
import org.sesamerouter.retry.SendGate
import org.sesamerouter.retry.fleetAllowance
import org.sesamerouter.routing.ServiceTargets
import kotlin.random.Random

private const val RUNS = 30
private const val CONTROL_RUNS = 8

private val FAILURES = listOf(Answer.ERROR, Answer.REJECTED, Answer.RESET, Answer.SILENT)

private fun termsOf(spec: RepeatSpec) = RepeatTerms(spec.ratio, spec.slack, RETRY_WINDOW_MS)

private fun factoryOf(newAllowance: (RepeatSpec, HostBeliefs) -> RepeatAllowance) =
    FlowsFactory { spec, beliefs, context ->
        val gate = SendGate(newAllowance(spec, beliefs))
        RequestFlows(context, EngineTable(), ServiceTargets(), Quarantine(60_000, 4_096, 3), "a", gate)
    }

private val hostFlows = factoryOf { spec, beliefs ->
    fleetAllowance({ termsOf(spec) }, beliefs.startedMs) { beliefs.knownHosts }
}

/** An allowance like that of the hosts, except that what [isFree] holds for is not counted. */
private class LeakyAllowance(private val counted: RepeatAllowance, private val isFree: (RepeatReason) -> Boolean) :
    RepeatAllowance by counted {
    override fun tryTake(service: String, reason: RepeatReason, now: Long) =
        isFree(reason) || counted.tryTake(service, reason, now)

    override fun giveBack(service: String, reason: RepeatReason, takenMs: Long) {
        if (!isFree(reason)) counted.giveBack(service, reason, takenMs)
    }
}

/** Broken variants of the allowance, by the fault that each has. */
private val BROKEN = mapOf(
    "repeats for lost inputs are free" to factoryOf { spec, beliefs ->
        val counted = fleetAllowance({ termsOf(spec) }, beliefs.startedMs) { beliefs.knownHosts }
        LeakyAllowance(counted) { it == RepeatReason.INPUTS_GONE }
    },
    "a started process has slack at once" to factoryOf { spec, beliefs ->
        fleetAllowance({ termsOf(spec) }, startedMs = -60_000) { beliefs.knownHosts }
    },
    "hosts that have just died leave their slack to others" to factoryOf { spec, beliefs ->
        fleetAllowance({ termsOf(spec) }, beliefs.startedMs) { beliefs.liveHosts }
    },
    "the share is that of the first request" to factoryOf { spec, beliefs ->
        var hosts = 0
        fleetAllowance({ termsOf(spec) }, beliefs.startedMs) {
            if (hosts == 0) hosts = beliefs.liveHosts
            hosts
        }
    },
    "a token bucket that starts full" to factoryOf { spec, beliefs ->
        BucketAllowance { RetryBudget(spec.ratio, 0.6 * spec.slack / beliefs.liveHosts) }
    },
)

/** Plays fleets of 3 to 40 hosts; returns those in which a window had more repeats than allowed. */
private fun overspent(
    first: Int,
    factory: FlowsFactory = hostFlows,
    runs: Int = RUNS,
    spec: (Long, Int, Random) -> RepeatSpec,
) = (first until first + runs).mapNotNull { seed ->
    val random = Random(seed)
    val played = spec(seed.toLong(), random.nextInt(3, 41), random)
    val fleet = RepeatFleet(played, factory)
    val worst = fleet.play()
    val repeats = "${worst.repeats} repeats from ${worst.fromMs} ms on, ${worst.allowed} allowed"
    println("fleet $seed: $repeats, served ${fleet.servedShare}")
    "seed $seed: $worst, $played".takeIf { worst.share > 1 }
}

/** Everything fails all the time, while all hosts are killed in series, others join, and half are cut off. */
private fun worstCase(seed: Long, hosts: Int, random: Random): RepeatSpec {
    val first = random.nextLong(12_000, 20_000)
    return RepeatSpec(
        seed,
        hosts,
        requestsPerS = 4.0 * hosts,
        ratio = 0.05,
        troubles = listOf(Trouble(0, 45_000, 1.0, FAILURES + Answer.INPUTS_GONE)),
        killsAtMs = List(4) { first + it * 2_500L },
        cutFromMs = 2_000,
        cutHosts = hosts / 2,
        joinsAtMs = List(hosts / 2) { 3_000 + it * 200L },
    )
}

class RepeatFleetSpec :
    FunSpec({
        test("failing targets: requests are repeated within the allowance of any window") {
            overspent(1) { seed, hosts, random ->
                RepeatSpec(
                    seed,
                    hosts,
                    troubles = listOf(Trouble(2_000, 40_000, random.nextDouble(0.2, 1.0), FAILURES)),
                )
            }.shouldBeEmpty()
        }

        test("bursts before and after failing targets: repeats stay within the allowance of any window") {
            overspent(101) { seed, hosts, random ->
                val from = random.nextLong(8_000, 25_000)
                RepeatSpec(
                    seed,
                    hosts,
                    troubles = listOf(Trouble(from, from + random.nextLong(2_000, 12_000), 0.9, FAILURES)),
                    bursts = listOf(Burst(from - 6_000, from, 4.0), Burst(from + 9_000, from + 12_000, 3.0)),
                )
            }.shouldBeEmpty()
        }

        // Guards against BUDGET: requests whose stage results are gone were sent again without being counted.
        test("lost stage results: requests are repeated within the allowance of any window") {
            overspent(201) { seed, hosts, random ->
                val from = random.nextLong(2_000, 20_000)
                val trouble = Trouble(from, from + 12_000, random.nextDouble(0.5, 1.0), listOf(Answer.INPUTS_GONE))
                RepeatSpec(seed, hosts, troubles = listOf(trouble))
            }.shouldBeEmpty()
        }

        // Guards against BUDGET: each start of a process was a full allowance, of a fleet that it did not know yet.
        test("all hosts are killed in series: repeats stay within the allowance of any window") {
            overspent(301) { seed, hosts, random ->
                val first = random.nextLong(3_000, 12_000)
                RepeatSpec(
                    seed,
                    hosts,
                    troubles = listOf(Trouble(0, 45_000, random.nextDouble(0.5, 1.0), FAILURES + Answer.INPUTS_GONE)),
                    killsAtMs = listOf(first, first + 3_000, first + 6_500, first + 20_000),
                )
            }.shouldBeEmpty()
        }

        test("hosts that join, leave and are cut off: repeats stay within the allowance of any window") {
            overspent(401) { seed, hosts, random ->
                RepeatSpec(
                    seed,
                    hosts,
                    troubles = listOf(Trouble(0, 45_000, random.nextDouble(0.5, 1.0), FAILURES)),
                    cutFromMs = random.nextLong(2_000, 20_000),
                    cutHosts = random.nextInt(1, hosts),
                    joinsAtMs = List(hosts / 2) { 5_000 + it * 700L },
                    leavesAtMs = List(hosts / 2) { 20_000 + it * 500L },
                )
            }.shouldBeEmpty()
        }

        test("requests move to another service: each service pays for its own repeats") {
            overspent(501) { seed, hosts, random ->
                val movesAt = random.nextLong(8_000, 25_000)
                RepeatSpec(
                    seed,
                    hosts,
                    troubles = listOf(Trouble(movesAt - 3_000, movesAt + 10_000, 1.0, FAILURES + Answer.INPUTS_GONE)),
                    movesAtMs = movesAt,
                )
            }.shouldBeEmpty()
        }

        // Guards against BUDGET: passes were counted when taken, seconds before their requests arrived.
        test("stages take seconds to be made again: repeats stay within the allowance of any window") {
            overspent(701) { seed, hosts, random ->
                val fastFrom = random.nextLong(12_000, 20_000)
                RepeatSpec(
                    seed,
                    hosts,
                    slack = 0.5 * hosts,
                    troubles = listOf(Trouble(0, 40_000, 1.0, listOf(Answer.INPUTS_UNREACHABLE))),
                    slowStagesToMs = fastFrom,
                )
            }.shouldBeEmpty()
        }

        test("each broken variant of the allowance sends more repeats than allowed in some fleet") {
            for ((fault, factory) in BROKEN) {
                withClue(fault) {
                    overspent(601, factory, CONTROL_RUNS, ::worstCase).shouldNotBeEmpty()
                }
            }
            overspent(601, hostFlows, CONTROL_RUNS, ::worstCase).shouldBeEmpty()
        }
    })
