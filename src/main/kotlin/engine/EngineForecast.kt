/*
 * What a host expects of an engine, and what it has learned of the engines of a pool: the time to prefill a token, the
 * delay by each running stream, and how many prompts other hosts send meanwhile.
 */
package org.sesamerouter.engine

import org.sesamerouter.balancing.PoolSpeed
import org.sesamerouter.balancing.SendRate
import org.sesamerouter.balancing.nearMs
import kotlin.math.abs

/** Prefill speed of an engine until completions were observed, as seen on the first engines in use. */
const val INITIAL_PREFILL_TOKENS_PER_MS = 80.0
private const val INITIAL_DELAY_PER_STREAM_MS = 6.0 // delay of a prompt per running stream
private const val INITIAL_OVERHEAD_MS = 40.0 // the network and the first step, before completions were observed
private const val PRIOR_PROMPT_TOKENS = 1_000.0 // uncached ones of a prompt, before this host sent some

/**
 * What was expected of an engine when a prompt was sent there.
 *
 * @property expectedMs time to the first event.
 * @property waitMs time until the prefill of the prompt starts.
 * @property prefillTokens tokens of the prompt to prefill.
 * @property ageMs age of what was known of other hosts' load.
 */
data class EngineForecast(
    val expectedMs: Double,
    val waitMs: Double,
    val prefillTokens: Long,
    val streams: Int,
    val ageMs: Double,
)

/** The longest expected [waitMs] at an engine, with other hosts' load known as of [ageMs] before. */
data class ExpectedWait(val waitMs: Double, val ageMs: Double)

/** What is known of the engines of one pool together. */
internal class EnginePool {
    private val prefill = PoolSpeed(1 / INITIAL_PREFILL_TOKENS_PER_MS, INITIAL_OVERHEAD_MS)
    private val streamDelay = PoolSpeed(INITIAL_DELAY_PER_STREAM_MS, 0.0)
    private var responseMs = 0.0
    private var responses = 0

    /** Smoothed error of the expected times to first events, which also grows with delays that no report shows. */
    var errorMs = 0.0
        private set

    val sends = SendRate()

    /** Expected time of the prefill of a token. */
    val msPerToken: Double get() = prefill.msPerUnit

    /** Expected delay of a prompt by each running stream. */
    val msPerStream: Double get() = streamDelay.msPerUnit

    /** Expected time to the first event that does not depend on the load. */
    val overheadMs: Double get() = prefill.overheadMs

    /** Expected uncached tokens of a prompt. */
    val tokensPerSend: Double get() = sends.unitsPerSend(PRIOR_PROMPT_TOKENS)

    /**
     * Records the time to a first event at an engine whose times are [ratio] times those of the pool. The speed is
     * learned from the tokens of the prompt, which are known for certain, unlike those that wait before it.
     */
    fun onFirstEvent(forecast: EngineForecast, ms: Double, ratio: Double) {
        val normalMs = (ms - forecast.waitMs) / ratio
        val prefillMs = forecast.prefillTokens * msPerToken
        val streamsMs = forecast.streams * msPerStream
        streamDelay.onCompletion(forecast.streams.toDouble(), normalMs - overheadMs - prefillMs)
        prefill.onCompletion(forecast.prefillTokens.toDouble(), normalMs - streamsMs)
        errorMs += ERROR_SMOOTHING * (abs(ms - forecast.expectedMs) - errorMs)
    }

    /** Returns up to how many ms apart costs count as about equal. */
    fun nearMs(ageMs: Double, unseenSends: Double): Double = nearMs(ageMs, errorMs, unseenSends)

    /** Records that a response took [ms] from its first event; returns the expected time. */
    fun onResponseEnd(ms: Double): Double {
        responses = minOf(responses + 1, MAX_RESPONSES)
        responseMs += (ms - responseMs) / responses
        return responseMs
    }

    private companion object {
        const val ERROR_SMOOTHING = 0.05 // follows a change within 20 responses, about 10 s of a host of a large fleet
        const val MAX_RESPONSES = 256 // after a change, the mean is that of the new times within some hundred responses
    }
}
