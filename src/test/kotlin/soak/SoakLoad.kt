/*
 * The callers of a soak. Some keep their connections until the process is gone, also when they were told to close them;
 * others open a new one for each request, or rest between requests.
 */
package org.sesamerouter.soak

import org.sesamerouter.clock.Clock
import java.io.IOException
import java.util.Random
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

private const val CONNECT_RETRY_MS = 60L
private const val ADDRESS_LIFETIME_MS = 2_000L
private const val LONG_LIFETIME_FACTOR = 3 // some callers keep the addresses of hosts this many times as long
private const val SHORT_REST_MS = 40
private const val LONG_REST_MS = 3_000
private const val REFUSED_REST_MS = 200
private const val MIN_DEADLINE_MS = 300L
private const val MAX_PIECES = 3
private const val CRASHING = 25 // one in so many streams has the part that crashes engines
private const val MIX = 1_000_003L // a draw of its own, which does not disturb the others of a seed
private const val END_TIMEOUT_MS = 20_000L

/** How a caller uses its connections. */
private class CallerHabits(random: Random) {
    val opensNewConnections = random.nextInt(4) == 0
    val ignoresClose = random.nextInt(3) == 0
    val followsDirectory = random.nextInt(2) == 0
    val rests = random.nextInt(3) == 0
    val addressLifetimeMs = ADDRESS_LIFETIME_MS * if (random.nextInt(3) == 0) LONG_LIFETIME_FACTOR else 1
}

/** [callers] callers of [hosts], with the key [key]. */
internal class SoakLoad(
    private val hosts: List<HostProcess>,
    private val callers: Int,
    private val seed: Long,
    private val key: String,
    private val clock: Clock,
) {
    private val records = ConcurrentLinkedQueue<CallerRecord>()
    private var threads: List<Thread> = emptyList()

    @Volatile
    private var isRunning = true

    fun start() {
        threads = (0 until callers).map { number ->
            thread(name = "caller-$number", isDaemon = true) { Caller(number).run() }
        }
    }

    /** Ends the callers, each after its current request, and returns all requests. */
    fun end(): List<CallerRecord> {
        isRunning = false
        val untilMs = clock.nowMs() + END_TIMEOUT_MS
        threads.forEach { it.join(maxOf(1, untilMs - clock.nowMs())) }
        return records.toList()
    }

    private inner class Caller(private val number: Int) {
        private val random = Random(seed * callers + number)
        private val habits = CallerHabits(random)
        private var sent = 0
        private var connection: CallerConnection? = null
        private var known: List<Int> = emptyList()
        private var knownUntilMs = 0L

        fun run() {
            while (isRunning) {
                val current = connection ?: connect()
                if (current == null) {
                    Thread.sleep(CONNECT_RETRY_MS)
                    continue
                }
                connection = current
                val record = current.exchange(nextRequest(), key)
                records += record
                val isKept = record.ending == Ending.ANSWERED && !current.isEnded && !habits.opensNewConnections &&
                    (!current.isCloseAsked || habits.ignoresClose)
                if (!isKept) {
                    current.close()
                    connection = null
                }
                rest(record)
            }
            connection?.close()
        }

        private fun rest(record: CallerRecord) {
            var ms = random.nextInt(if (habits.rests) LONG_REST_MS else SHORT_REST_MS)
            if (!record.isServed) ms += random.nextInt(REFUSED_REST_MS)
            Thread.sleep(ms.toLong())
        }

        private fun connect(): CallerConnection? {
            val host = chooseHost()
            val life = hosts[host].life
            if (life.endedMs != null) return null
            return try {
                val opened = CallerConnection(hosts[host].addresses.requests, host, life.number, clock)
                if (hosts[host].life.number == life.number) opened else null.also { opened.close() }
            } catch (e: IOException) {
                null
            }
        }

        private fun chooseHost(): Int {
            if (!habits.followsDirectory) return random.nextInt(hosts.size)
            if (clock.nowMs() >= knownUntilMs) {
                val answer = get(
                    hosts[random.nextInt(hosts.size)].addresses.directory,
                    "/v1/resolve?name=shop.example&region=r&zone=west",
                )
                if (answer != null) {
                    known = hosts.indices.filter { "\"${hosts[it].addresses.requests}\"" in answer }
                    knownUntilMs = clock.nowMs() + habits.addressLifetimeMs
                }
            }
            return if (known.isEmpty()) random.nextInt(hosts.size) else known[random.nextInt(known.size)]
        }

        private fun nextRequest(): SoakRequest {
            val kind = RequestKind.entries[random.nextInt(RequestKind.entries.size)]
            // A safe request whose target is silent for long runs again elsewhere, so most of these are short.
            val totalMs = when (random.nextInt(if (kind == RequestKind.LOOK) 55 else 100)) {
                in 0 until 50 -> 100L + random.nextInt(500)
                in 50 until 85 -> 500L + random.nextInt(2_000)
                else -> 2_500L + random.nextInt(4_000)
            }
            val isShort = random.nextInt(12) == 0
            val steps = if (kind.isStream) 1 + random.nextInt(20) else 1
            return SoakRequest(
                id = "%02x%06x".format(number, ++sent),
                kind = kind,
                deadlineMs = if (isShort) MIN_DEADLINE_MS + random.nextInt(1_500) else 8_000L + random.nextInt(3_000),
                steps = steps,
                stepMs = totalMs / steps,
                pieces = if (kind == RequestKind.PIPELINE) 1 + random.nextInt(MAX_PIECES) else 0,
                hasCrashingPart = kind.isStream && Random(seed * callers + number + sent * MIX).nextInt(CRASHING) == 0,
            )
        }
    }
}
