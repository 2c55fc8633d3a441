/*
 * Tests on modelled fleets that repeats at a service stay within what all hosts together may send in any window.
 */
package org.sesamerouter.serving

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import org.sesamerouter.engine.EngineTable
import org.sesamerouter.pipeline.RetryBudget
import org.sesamerouter.quarantine.Quarantine
import org.sesamerouter.routing.ServiceTargets
import kotlin.random.Random

private const val RUNS = 30
private const val SLACK_SHARE = 0.6

private val FAILURES = listOf(Answer.ERROR, Answer.REJECTED, Answer.RESET, Answer.SILENT)

private val hostFlows = FlowsFactory { spec, beliefs, context ->
    RequestFlows(context, EngineTable(), ServiceTargets(), Quarantine(60_000, 4_096, 3), "a") {
        RetryBudget(spec.ratio, SLACK_SHARE * spec.slack / beliefs.liveHosts)
    }
}

/** Plays fleets of 3 to 40 hosts; returns those in which a window had more repeats than allowed. */
private fun overspent(first: Int, factory: FlowsFactory = hostFlows, spec: (Long, Int, Random) -> RepeatSpec) =
    (first until first + RUNS).mapNotNull { seed ->
        val random = Random(seed)
        val played = spec(seed.toLong(), random.nextInt(3, 41), random)
        val worst = RepeatFleet(played, factory).play()
        println("seed $seed: ${worst.repeats} repeats from ${worst.fromMs} ms on, ${worst.allowed} allowed")
        "seed $seed: $worst, $played".takeIf { worst.share > 1 }
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

        // Guards against BUDGET: each start of a process was a full allowance again, of a fleet that it did not know yet.
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
                    joinsAtMs = List(hosts / 2) { 5_000 + it * 700L },
                    leavesAtMs = List(hosts / 2) { 20_000 + it * 500L },
                )
            }.shouldBeEmpty()
        }
    })
