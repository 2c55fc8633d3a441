/*
 * Engine selection for prompts. For each engine this host tracks the prompt parts that are probably in the engine's
 * prefix cache and the tokens that are still waiting for prefill, from its own sends, from the reports of other hosts
 * and from what those are expected to have sent since. Among engines of about equal cost the choice is random, since
 * other hosts choose at the same moment. This is a state machine without I/O.
 */
package org.sesamerouter.engine

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.sesamerouter.balancing.KnownWork
import org.sesamerouter.balancing.TimeRatio
import org.sesamerouter.balancing.chooseNear
import org.sesamerouter.balancing.forecastWork
import org.sesamerouter.discovery.TargetEntry
import java.util.Random

private const val CROSS_DATA_CENTRE_MS_PER_MB = 16.0 // wait accepted to keep a result in its data centre
private const val SHARED_PREFIX_WEIGHT = 3.0 // a shared part cached twice also takes cache space from others
private const val PEER_REPORT_TTL_MS = 2_000L
private const val MAX_CACHED_PARTS = 8_192 // parts may have no tokens; 561,220 tokens are 560 parts of 1,000
private const val BACKOFF_BASE_MS = 1_000L
private const val BACKOFF_MAX_MS = 8_000L
private const val FAILURES_BEFORE_BACKOFF = 2

/** A part of a prompt. The parts of a prompt are listed in the order of the prompt. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PromptPart(@CborLabel(1) val id: String, @CborLabel(2) val tokens: Int)

/** A host's load on one engine, and the prompt parts that it sent there since its last report. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class EngineReport(
    @CborLabel(1) val target: String,
    @CborLabel(2) @SerialName("unreadTokens") val pendingPrefillTokens: Long,
    @CborLabel(3) val streams: Int,
    @CborLabel(4) val parts: List<PromptPart>,
)

/** A prompt that needs an engine; [inputs] holds the input bytes to be fetched from each data centre. */
data class Prompt(val parts: List<PromptPart>, val inputs: Map<String, Long>) {
    val tokens: Int = parts.sumOf { it.tokens }
}

/** The state of all engines as known to one host; [random] decides among engines of equal cost. Not thread-safe. */
class EngineTable(private val random: Random = Random()) {
    private class Engine(var entry: TargetEntry) {
        val cache = LinkedHashMap<String, Int>(16, 0.75f, true)
        var cachedTokens = 0L
        var pendingPrefillTokens = 0L
        var streams = 0
        val peerReports = HashMap<String, Pair<EngineReport, Long>>()
        val unreportedParts = LinkedHashMap<String, PromptPart>()
        var failures = 0
        var backoffs = 0
        var backoffUntilMs = 0L
        var hasUnreportedChange = false
        var reportedAtMs = 0L
        var cacheLimitTokens = Long.MAX_VALUE

        /** Times to first events, relative to those of the pool; also what the engine reports of its time of work. */
        val prefillRatio = TimeRatio()

        /** Times of responses from their first events, likewise. */
        val tokenRatio = TimeRatio()
    }

    /** The load of one engine: of this host, of others as reported, and of others as expected by now. */
    private class Load(val engine: Engine) {
        var peerPrefillTokens = 0.0
        var peerStreams = 0
        var tokenAgeMs = 0.0
        var streamAgeMs = 0.0
        var prefillRatio = 1.0
        var tokenRatio = 1.0
        var waitMs = 0.0
        val streams get() = engine.streams + peerStreams
    }

    /** The load of the engines of a pool at one time; [ageMs] and [unseenSends] are those of other hosts. */
    private class PoolLoad(
        val service: String,
        val atMs: Long,
        val pool: EnginePool,
        val loads: Map<String, Load>,
        val ageMs: Double,
        val unseenSends: Double,
    )

    private val engines = HashMap<String, Engine>()
    private val pools = HashMap<String, EnginePool>()
    private val heardAtMs = HashMap<String, Long>()

    /** The load that was computed last; null after a change. */
    private var lastLoad: PoolLoad? = null

    /** The longest expected wait for prefill at any engine as of the last choice, and the age of others' load then. */
    @Volatile
    var lastWait = ExpectedWait(0.0, 0.0)
        private set

    /** Smoothed error of the expected times to first events, the largest of any pool. */
    @Volatile
    var expectedErrorMs = 0.0
        private set

    /** Replaces the set of existing engines. */
    fun update(entries: List<TargetEntry>) {
        lastLoad = null
        val ids = entries.mapTo(HashSet()) { it.id }
        engines.keys.retainAll(ids)
        for (entry in entries) {
            val known = engines[entry.id]
            if (known == null || known.entry.startTimeMs != entry.startTimeMs) {
                engines[entry.id] = Engine(entry)
            } else {
                known.entry = entry
            }
        }
    }

    /** Returns an engine of [candidates] that is expected to start [prompt] about as early as any. */
    fun choose(candidates: List<TargetEntry>, prompt: Prompt, now: Long): TargetEntry? {
        val available = candidates.filter { (engines[it.id]?.backoffUntilMs ?: 0) <= now }.ifEmpty { candidates }
        val service = available.firstOrNull()?.service ?: return null
        val load = poolLoad(service, now)
        lastWait = ExpectedWait(load.loads.values.maxOfOrNull { it.waitMs } ?: 0.0, load.ageMs)
        val costs = available.map { cost(it, prompt, load) }
        val capacities = available.map { 1 / (load.loads[it.id]?.prefillRatio ?: 1.0) }
        return available[chooseNear(costs, capacities, load.pool.nearMs(load.ageMs, load.unseenSends), random)]
    }

    /** Returns the engine of [candidates] with the fewest streams, where a crash would cut the fewest responses. */
    fun leastBusy(candidates: List<TargetEntry>, now: Long): TargetEntry? = candidates.minByOrNull { candidate ->
        val engine = engines[candidate.id] ?: return@minByOrNull Int.MAX_VALUE
        val peers = engine.peerReports.values.filter { now - it.second < PEER_REPORT_TTL_MS }
        engine.streams + peers.sumOf { it.first.streams }
    }

    /** Returns the expected time in ms until [prompt] starts at [entry], including the transfer cost of its inputs. */
    fun cost(entry: TargetEntry, prompt: Prompt, now: Long): Double = cost(entry, prompt, poolLoad(entry.service, now))

    private fun cost(entry: TargetEntry, prompt: Prompt, pool: PoolLoad): Double {
        val load = pool.loads[entry.id] ?: return Double.MAX_VALUE
        val weightedPrefillTokens = uncachedTokens(load.engine, prompt) +
            (SHARED_PREFIX_WEIGHT - 1) * uncachedSharedTokens(load.engine, prompt)
        val remoteInputMb = prompt.inputs.filterKeys { it != entry.dataCentre }.values.sum() / BYTES_PER_MB
        return load.waitMs + weightedPrefillTokens * pool.pool.msPerToken * load.prefillRatio +
            load.streams * pool.pool.msPerStream * load.tokenRatio + remoteInputMb * CROSS_DATA_CENTRE_MS_PER_MB
    }

    /** Returns what is expected of [prompt] at [entry] before it is sent; null if the engine is unknown. */
    fun forecast(entry: TargetEntry, prompt: Prompt, now: Long): EngineForecast? {
        val pool = poolLoad(entry.service, now)
        val load = pool.loads[entry.id] ?: return null
        val ownTokens = uncachedTokens(load.engine, prompt)
        val streamsMs = load.streams * pool.pool.msPerStream * load.tokenRatio
        val startMs = pool.pool.overheadMs + load.waitMs + streamsMs
        val expectedMs = startMs + ownTokens * pool.pool.msPerToken * load.prefillRatio
        return EngineForecast(expectedMs, load.waitMs, ownTokens, load.streams, pool.ageMs)
    }

    /** Returns the learned prefill speed of the engines of [service]. */
    fun prefillTokensPerMs(service: String): Double = 1 / poolOf(service).msPerToken

    private fun poolOf(service: String) = pools.getOrPut(service) { EnginePool() }

    /** Returns the load of the engines of [service]; the choice and the forecast of one send share it. */
    private fun poolLoad(service: String, now: Long): PoolLoad {
        val known = lastLoad?.takeIf { it.service == service && it.atMs == now }
        return known ?: newPoolLoad(service, now).also { lastLoad = it }
    }

    private fun newPoolLoad(service: String, now: Long): PoolLoad {
        val pool = poolOf(service)
        val loads = engines.values.filter { it.entry.service == service }.map { loadOf(it, now) }
        val peerStreams = loads.sumOf { it.peerStreams }
        val ageMs = if (peerStreams == 0) 0.0 else loads.sumOf { it.streamAgeMs } / peerStreams
        val unseenSends = pool.sends.sendsPerMs(peerStreams) * ageMs
        val known = loads.map { load ->
            // While the reports of others are on their way, the engine works on.
            val msPerToken = pool.msPerToken * load.prefillRatio
            val doneMs = if (load.peerPrefillTokens > 0) load.tokenAgeMs / load.peerPrefillTokens else 0.0
            val peersMs = maxOf(0.0, load.peerPrefillTokens * msPerToken - doneMs)
            KnownWork(load.engine.pendingPrefillTokens * msPerToken + peersMs, 1 / load.prefillRatio)
        }
        val waits = forecastWork(known, unseenSends * pool.tokensPerSend * pool.msPerToken)
        loads.forEachIndexed { i, load -> load.waitMs = waits[i] }
        return PoolLoad(service, now, pool, loads.associateBy { it.engine.entry.id }, ageMs, unseenSends)
    }

    private fun loadOf(engine: Engine, now: Long): Load {
        val load = Load(engine)
        for ((host, reported) in engine.peerReports) {
            val (report, reportedAtMs) = reported
            if (now - reportedAtMs >= PEER_REPORT_TTL_MS) continue
            // A host that reports other engines since has nothing new to report of this one.
            val ageMs = (now - maxOf(reportedAtMs, heardAtMs[host] ?: 0)).toDouble()
            load.peerPrefillTokens += report.pendingPrefillTokens
            load.peerStreams += report.streams
            load.tokenAgeMs += ageMs * report.pendingPrefillTokens
            load.streamAgeMs += ageMs * report.streams
        }
        load.prefillRatio = engine.prefillRatio.at(now)
        load.tokenRatio = engine.tokenRatio.at(now)
        return load
    }

    /** Records that [target] started a response [ms] after a send of which [forecast] was expected. */
    fun onFirstEvent(target: String, forecast: EngineForecast, ms: Long, now: Long) {
        lastLoad = null
        val engine = engines[target] ?: return
        val ratio = engine.prefillRatio.at(now)
        engine.prefillRatio.onCompletion(forecast.expectedMs / ratio, ms.toDouble(), now)
        poolOf(engine.entry.service).onFirstEvent(forecast, ms.toDouble(), ratio)
        expectedErrorMs = pools.values.maxOf { it.errorMs }
    }

    /** Records that a response of [target] ended [ms] after its first event. */
    fun onResponseEnd(target: String, ms: Long, now: Long) {
        lastLoad = null
        val engine = engines[target] ?: return
        val expectedMs = poolOf(engine.entry.service).onResponseEnd(ms.toDouble())
        engine.tokenRatio.onCompletion(expectedMs, ms.toDouble(), now)
    }

    /** Records that [target] reports that its work takes [percent] of the normal time. */
    fun onTimeReport(target: String, percent: Int, now: Long) {
        lastLoad = null
        val engine = engines[target] ?: return
        engine.prefillRatio.onReport(percent, now)
        engine.tokenRatio.onReport(percent, now)
    }

    /** Records that [prompt] was sent to [target]; returns the number of its tokens that need prefill. */
    fun onSend(target: String, prompt: Prompt, cacheTokens: Long): Long {
        lastLoad = null
        val engine = engines[target] ?: return 0
        val prefillTokens = uncachedTokens(engine, prompt)
        engine.cacheLimitTokens = cacheTokens
        recordCached(engine, prompt.parts)
        // The last part belongs to one request or session and cannot be reused by others.
        prompt.parts.forEach { engine.unreportedParts[it.id] = it }
        engine.pendingPrefillTokens += prefillTokens
        engine.streams++
        engine.hasUnreportedChange = true
        poolOf(engine.entry.service).sends.onSend(prefillTokens.toDouble())
        return prefillTokens
    }

    /** Records that [prefillTokens] tokens of a sent prompt no longer wait for prefill. */
    fun onPrefilled(target: String, prefillTokens: Long) {
        lastLoad = null
        val engine = engines[target] ?: return
        engine.pendingPrefillTokens = maxOf(0, engine.pendingPrefillTokens - prefillTokens)
        engine.hasUnreportedChange = true
    }

    /** Records that [target] started a response; resets its failures and back-off. */
    fun onResponse(target: String) {
        val engine = engines[target] ?: return
        engine.failures = 0
        engine.backoffs = 0
    }

    /** Records the end of a stream. */
    fun onEnd(target: String) {
        lastLoad = null
        val engine = engines[target] ?: return
        engine.streams = maxOf(0, engine.streams - 1)
        engine.hasUnreportedChange = true
    }

    /** Records a failed send; [isDown] if the engine was unreachable. */
    fun onFailure(target: String, isDown: Boolean, now: Long) {
        val engine = engines[target] ?: return
        engine.failures += if (isDown) FAILURES_BEFORE_BACKOFF else 1
        if (engine.failures < FAILURES_BEFORE_BACKOFF) return
        engine.failures = 0
        engine.backoffUntilMs = now + minOf(BACKOFF_MAX_MS, BACKOFF_BASE_MS shl minOf(engine.backoffs++, 3))
    }

    /** Returns the reports for other hosts: changes since the last call, and running load before its report expires. */
    fun takeReports(now: Long): List<EngineReport> {
        val streams = engines.values.groupingBy { it.entry.service }.fold(0) { sum, engine -> sum + engine.streams }
        streams.forEach { (service, inProgress) -> poolOf(service).sends.sample(inProgress, now) }
        return engines.values.filter { needsReport(it, now) }.map { takeReport(it, now) }
    }

    private fun takeReport(engine: Engine, now: Long): EngineReport {
        engine.hasUnreportedChange = false
        engine.reportedAtMs = now
        val report = EngineReport(
            engine.entry.id,
            engine.pendingPrefillTokens,
            engine.streams,
            engine.unreportedParts.values.toList(),
        )
        engine.unreportedParts.clear()
        return report
    }

    private fun needsReport(engine: Engine, now: Long): Boolean =
        engine.hasUnreportedChange || (engine.streams > 0 && now - engine.reportedAtMs >= PEER_REPORT_TTL_MS / 2)

    /** Handles reports of the host [from]. */
    fun onReports(from: String, reports: List<EngineReport>, now: Long) {
        lastLoad = null
        heardAtMs[from] = now
        for (report in reports) {
            val engine = engines[report.target] ?: continue
            engine.peerReports[from] = report to now
            recordCached(engine, report.parts)
        }
    }

    private fun uncachedTokens(engine: Engine, prompt: Prompt): Long {
        val cached = prompt.parts.takeWhile { it.id in engine.cache }.sumOf { it.tokens.toLong() }
        return prompt.tokens - cached
    }

    /** Returns the uncached tokens of the parts shared with other prompts; the last part is specific to the prompt. */
    private fun uncachedSharedTokens(engine: Engine, prompt: Prompt): Long {
        val shared = prompt.parts.dropLast(1)
        return shared.dropWhile { it.id in engine.cache }.sumOf { it.tokens.toLong() }
    }

    private fun recordCached(engine: Engine, parts: List<PromptPart>) {
        for (part in parts) {
            if (engine.cache.put(part.id, part.tokens) == null) engine.cachedTokens += part.tokens
        }
        val oldest = engine.cache.entries.iterator()
        while (isOverfull(engine) && oldest.hasNext()) {
            engine.cachedTokens -= oldest.next().value
            oldest.remove()
        }
    }

    private fun isOverfull(engine: Engine) =
        engine.cachedTokens > engine.cacheLimitTokens || engine.cache.size > MAX_CACHED_PARTS

    private companion object {
        const val BYTES_PER_MB = 1_000_000.0
    }
}
