/*
 * Which engine a prompt should go to. For each engine this host keeps the parts of prompts that it probably caches and
 * the tokens that are still to be read there, from its own sends and from what the other hosts tell. A state machine
 * without I/O.
 */
package org.sesamerouter.engine

import kotlinx.serialization.Serializable
import org.sesamerouter.discovery.TargetEntry

/** How fast an engine reads a prompt; of the engines seen. */
const val READ_TOKENS_PER_MS = 80.0
private const val STREAM_MS = 6.0 // what one more running stream delays a prompt
private const val CROSSING_MS_PER_MB = 16.0 // what a result that crosses data centres may cost in waiting
private const val SHARED_WEIGHT = 3.0 // a shared part that is read twice also takes cache from others
private const val NEWS_LIFE_MS = 2_000L
private const val REST_BASE_MS = 1_000L
private const val REST_LONGEST_MS = 8_000L
private const val FAILURES_TO_REST = 2

/** A part of a prompt, in the order of the prompt. */
@Serializable
data class PromptPart(val id: String, val tokens: Int)

/** What one host has at an engine, and which parts it sent there lately. */
@Serializable
data class EngineNews(val target: String, val unreadTokens: Long, val streams: Int, val parts: List<PromptPart>)

/** A prompt that needs an engine; [inputs] are the bytes that it takes from each data centre. */
data class Prompt(val parts: List<PromptPart>, val inputs: Map<String, Long>) {
    val tokens: Int = parts.sumOf { it.tokens }
}

/** The engines that one host knows. Not thread-safe. */
class EngineTable {
    private class Engine(var entry: TargetEntry) {
        val cache = LinkedHashMap<String, Int>(16, 0.75f, true)
        var cachedTokens = 0L
        var unreadTokens = 0L
        var streams = 0
        val others = HashMap<String, Pair<EngineNews, Long>>()
        val recent = LinkedHashMap<String, PromptPart>()
        var failures = 0
        var rests = 0
        var restUntilMs = 0L
        var changed = false
        var toldMs = 0L
        var cacheLimit = Long.MAX_VALUE
    }

    private val engines = HashMap<String, Engine>()

    /** Takes over the engines that exist. */
    fun update(entries: List<TargetEntry>) {
        val ids = entries.mapTo(HashSet()) { it.id }
        engines.keys.retainAll(ids)
        for (entry in entries) {
            val known = engines[entry.id]
            if (known == null || known.entry.bornMs != entry.bornMs) {
                engines[entry.id] = Engine(entry)
            } else {
                known.entry = entry
            }
        }
    }

    /** Returns the engine of [candidates] that will probably begin [prompt] first. */
    fun choose(candidates: List<TargetEntry>, prompt: Prompt, now: Long): TargetEntry? {
        val usable = candidates.filter { (engines[it.id]?.restUntilMs ?: 0) <= now }.ifEmpty { candidates }
        return usable.minByOrNull { cost(it, prompt, now) }
    }

    /** Expected time until [prompt] begins at [entry], with what its inputs cost on the way. */
    fun cost(entry: TargetEntry, prompt: Prompt, now: Long): Double {
        val engine = engines[entry.id] ?: return Double.MAX_VALUE
        val others = engine.others.values.filter { now - it.second < NEWS_LIFE_MS }.map { it.first }
        val rereads = uncached(engine, prompt) + (SHARED_WEIGHT - 1) * uncachedShared(engine, prompt)
        val unread = engine.unreadTokens + others.sumOf { it.unreadTokens } + rereads
        val streams = engine.streams + others.sumOf { it.streams }
        val crossing = prompt.inputs.filterKeys { it != entry.dataCentre }.values.sum() / BYTES_PER_MB
        return unread / READ_TOKENS_PER_MS + streams * STREAM_MS + crossing * CROSSING_MS_PER_MB
    }

    /** Counts a send of [prompt] to [target]; returns the tokens that are to be read for it. */
    fun onSend(target: String, prompt: Prompt, cacheTokens: Long): Long {
        val engine = engines[target] ?: return 0
        val unread = uncached(engine, prompt)
        engine.cacheLimit = cacheTokens
        remember(engine, prompt.parts)
        // The last part belongs to one request or session and is of use to that alone.
        prompt.parts.forEach { engine.recent[it.id] = it }
        engine.unreadTokens += unread
        engine.streams++
        engine.changed = true
        return unread
    }

    /** Counts that [unread] tokens of a send are no longer waiting to be read. */
    fun onRead(target: String, unread: Long) {
        val engine = engines[target] ?: return
        engine.unreadTokens = maxOf(0, engine.unreadTokens - unread)
        engine.changed = true
    }

    /** Counts that [target] began an answer. */
    fun onAnswer(target: String) {
        val engine = engines[target] ?: return
        engine.failures = 0
        engine.rests = 0
    }

    /** Counts the end of a stream. */
    fun onEnd(target: String) {
        val engine = engines[target] ?: return
        engine.streams = maxOf(0, engine.streams - 1)
        engine.changed = true
    }

    /** Counts a failed send; [isDown] when the engine could not be reached. */
    fun onFailure(target: String, isDown: Boolean, now: Long) {
        val engine = engines[target] ?: return
        engine.failures += if (isDown) FAILURES_TO_REST else 1
        if (engine.failures < FAILURES_TO_REST) return
        engine.failures = 0
        engine.restUntilMs = now + minOf(REST_LONGEST_MS, REST_BASE_MS shl minOf(engine.rests++, 3))
    }

    /** Returns what changed since the last call, for the other hosts; what goes on is told again before it lapses. */
    fun takeNews(now: Long): List<EngineNews> = engines.values.filter { isWorthTelling(it, now) }.map { engine ->
        engine.changed = false
        engine.toldMs = now
        val news = EngineNews(engine.entry.id, engine.unreadTokens, engine.streams, engine.recent.values.toList())
        engine.recent.clear()
        news
    }

    private fun isWorthTelling(engine: Engine, now: Long): Boolean =
        engine.changed || (engine.streams > 0 && now - engine.toldMs >= NEWS_LIFE_MS / 2)

    /** Takes in what the host [from] tells. */
    fun onNews(from: String, news: List<EngineNews>, now: Long) {
        for (item in news) {
            val engine = engines[item.target] ?: continue
            engine.others[from] = item to now
            remember(engine, item.parts)
        }
    }

    private fun uncached(engine: Engine, prompt: Prompt): Long {
        val cached = prompt.parts.takeWhile { it.id in engine.cache }.sumOf { it.tokens.toLong() }
        return prompt.tokens - cached
    }

    /** Tokens to be read of the parts that other prompts begin with as well; the last part is the prompt's own. */
    private fun uncachedShared(engine: Engine, prompt: Prompt): Long {
        val shared = prompt.parts.dropLast(1)
        return shared.dropWhile { it.id in engine.cache }.sumOf { it.tokens.toLong() }
    }

    private fun remember(engine: Engine, parts: List<PromptPart>) {
        for (part in parts) {
            if (engine.cache.put(part.id, part.tokens) == null) engine.cachedTokens += part.tokens
        }
        val oldest = engine.cache.entries.iterator()
        while (engine.cachedTokens > engine.cacheLimit && oldest.hasNext()) {
            engine.cachedTokens -= oldest.next().value
            oldest.remove()
        }
    }

    private companion object {
        const val BYTES_PER_MB = 1_000_000.0
    }
}
