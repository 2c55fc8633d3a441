/*
 * Cost by stage: the target time that each stage took, split by what became of it, so that the price of hedges,
 * retries and abandoned work is seen beside that of answers.
 */
package org.sesamerouter.cost

import kotlinx.serialization.Serializable
import org.sesamerouter.admission.StageId

/** What an attempt's target time was spent for. */
enum class Spending { ANSWER, HEDGE_LOST, FAILED, ABANDONED }

/** Target time of one stage in milliseconds and the attempts and tokens that it covers. */
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

/** Sums of target time. Not thread-safe. */
class CostMeter {
    private val stages = HashMap<StageId, StageCost>()

    /** Charges [ms] of target time and [tokens] to [stage]. */
    fun charge(stage: StageId, spending: Spending, ms: Long, tokens: Int) {
        val old = stages[stage] ?: StageCost(stage.plan, stage.stage)
        val next = when (spending) {
            Spending.ANSWER -> old.copy(answerMs = old.answerMs + ms)
            Spending.HEDGE_LOST -> old.copy(hedgeLostMs = old.hedgeLostMs + ms)
            Spending.FAILED -> old.copy(failedMs = old.failedMs + ms)
            Spending.ABANDONED -> old.copy(abandonedMs = old.abandonedMs + ms)
        }
        stages[stage] = next.copy(attempts = next.attempts + 1, tokens = next.tokens + tokens)
    }

    /** Returns the cost of every stage so far. */
    fun report(): List<StageCost> = stages.values.sortedWith(compareBy({ it.plan }, { it.stage }))
}
