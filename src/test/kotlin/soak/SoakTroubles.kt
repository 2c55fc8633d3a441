/*
 * What is wrong with the targets of a soak: which of them misbehave how, when and for how long, as a function of its
 * seed.
 */
package org.sesamerouter.soak

import java.util.Random

private const val SPANS = 3 // of each target
private const val MIN_SPAN_MS = 2_000L
private const val SPAN_SPREAD_MS = 12_000
private const val MIN_SHARE = 0.1
private const val SHARE_SPREAD = 0.5
private const val MIN_COMMON_SHARE = 0.4
private const val COMMON_SHARE_SPREAD = 0.5
private const val MAX_BEFORE_KILLS_MS = 6_000
private const val AT_KILLS_MS = 18_000L // from before the first of the two kills until after the second
private const val TROUBLES_SALT = 7_919L // a draw of its own, which does not disturb the others of a seed

/** How a target misbehaves. */
internal enum class Trouble {
    /** It sends second copies of answers. */
    COPIES,

    /** It rejects requests. */
    REJECTIONS,

    /** It answers with errors. */
    ERRORS,

    /** It sends bytes that are no answer, cuts bodies, or sends bytes after an answer. */
    SPOILED,

    /** It loses results of stages. */
    LOST_RESULTS,
}

/** During [span], counted from the start of the load, [target] does [trouble] to [share] of its requests. */
internal data class TroubleSpan(val target: String, val trouble: Trouble, val span: Span, val share: Double)

/**
 * Plans the troubles of the targets of each of [services] and of the stage targets [stages] for [durationMs] from
 * [seed]. Once in the run, all targets of a service have the same trouble; with half of the services, while all hosts
 * are killed.
 */
internal fun planTroubles(
    seed: Long,
    services: List<List<String>>,
    stages: List<String>,
    durationMs: Long,
): List<TroubleSpan> {
    val random = Random(seed * TROUBLES_SALT)
    fun span(): Span {
        val fromMs = random.nextInt(durationMs.toInt()).toLong()
        return Span(fromMs, fromMs + MIN_SPAN_MS + random.nextInt(SPAN_SPREAD_MS))
    }
    return (services + listOf(stages)).flatMap { targets ->
        val kinds = Trouble.entries.filter { it != Trouble.LOST_RESULTS || targets == stages }
        val own = targets.flatMap { target ->
            List(SPANS) { number ->
                // The first of a target is one of copies, which only shows where something else goes wrong too.
                val trouble = if (number == 0) Trouble.COPIES else kinds[random.nextInt(kinds.size)]
                TroubleSpan(target, trouble, span(), MIN_SHARE + SHARE_SPREAD * random.nextDouble())
            }
        }
        val common = kinds[1 + random.nextInt(kinds.size - 1)]
        val isAtKills = random.nextBoolean()
        val fromMs = killsOfAllMs(seed, durationMs).first() - random.nextInt(MAX_BEFORE_KILLS_MS)
        val commonSpan = if (isAtKills) Span(fromMs, fromMs + AT_KILLS_MS) else span()
        val commonShare = MIN_COMMON_SHARE + COMMON_SHARE_SPREAD * random.nextDouble()
        own + targets.map { TroubleSpan(it, common, commonSpan, commonShare) }
    }
}
