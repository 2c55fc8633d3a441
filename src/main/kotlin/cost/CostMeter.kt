/*
 * Cost accounting: the target time used by each stage, split by the result of the attempt, so that the cost of hedges,
 * retries and abandoned work can be compared with that of answers.
 */
package org.sesamerouter.cost

import kotlinx.serialization.Serializable
import org.sesamerouter.admission.StageId

/** How the target time of an attempt is accounted. */
enum class CostCategory { ANSWER, HEDGE_LOST, FAILED, ABANDONED }

/** Target time of one stage in milliseconds, with its numbers of attempts and tokens. */
@Serializable
data class StageCost(
    val plan: String,
    val stage: String,
    val attempts: Long = 0,
    val answerMs: Long = 0,
    val hedgeLostMs: Long = 0,
    val failedMs: Long = 0,
    val abandonedMs: Long = 0,
    val tokens: Long = 0,
)

/** Accumulates target time by stage. Not thread-safe. */
class CostMeter {
    private val stages = HashMap<StageId, StageCost>()

    /** Adds one attempt that took [ms] of target time and returned [tokens] to the cost of [stage]. */
    fun charge(stage: StageId, category: CostCategory, ms: Long, tokens: Int) {
        val old = stages[stage] ?: StageCost(stage.plan, stage.stage)
        val next = when (category) {
            CostCategory.ANSWER -> old.copy(answerMs = old.answerMs + ms)
            CostCategory.HEDGE_LOST -> old.copy(hedgeLostMs = old.hedgeLostMs + ms)
            CostCategory.FAILED -> old.copy(failedMs = old.failedMs + ms)
            CostCategory.ABANDONED -> old.copy(abandonedMs = old.abandonedMs + ms)
        }
        stages[stage] = next.copy(attempts = next.attempts + 1, tokens = next.tokens + tokens)
    }

    /** Returns the cost of each stage, ordered by plan and stage. */
    fun report(): List<StageCost> = stages.values.sortedWith(compareBy({ it.plan }, { it.stage }))
}
