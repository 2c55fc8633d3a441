/*
 * Compares the sliding windows of an allowance with plain lists of times: no window of all hosts together has more
 * repeats than the users' rule allows, and each host counts as a recount of all its events does.
 */
package org.sesamerouter.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.math.floor
import kotlin.random.Random

private const val HISTORIES = 1_000
private const val WINDOW_MS = 10_000L
private const val SLOT_MS = 250L
private const val SLOTS = 40
private const val READ_DELAY_MS = 250L // between a caller's send and the reading of a request
private const val ARRIVAL_DELAY_MS = 1_000L // between a pass and the arrival at the target

private class Times {
    val all = ArrayList<Long>()

    fun inWindow(from: Long) = all.count { it >= from && it < from + WINDOW_MS }
}

/** One host: its window and all of its events, by which [recount] decides without a ring of slots. */
private class CountedHost(share: Double, val slack: Double) {
    val window = RepeatWindow(WINDOW_MS, share)
    private val share = share
    private val requestSlots = ArrayList<Long>()
    private val repeatSlots = ArrayList<Long>()

    fun request(now: Long) {
        window.onRequest(now)
        requestSlots += now / SLOT_MS
    }

    fun repeat(now: Long) {
        window.onRepeat(now)
        repeatSlots += now / SLOT_MS
    }

    fun recount(now: Long): Int {
        val current = now / SLOT_MS
        return (current - SLOTS..current + 4).minOf { first ->
            val known = requestSlots.count { it >= first - SLOTS / 2 + 2 && it <= first + SLOTS / 2 - 1 }
            floor(share * known + slack - repeatSlots.count { it >= first - 4 }).toInt()
        }
    }
}

/** Plays random requests and repeats on a few hosts; returns what was wrong. */
private fun play(seed: Int, maxArrivalDelayMs: Long = ARRIVAL_DELAY_MS): List<String> {
    val random = Random(seed)
    val share = random.nextDouble(0.0, 0.5)
    val totalSlack = random.nextDouble(0.0, 20.0)
    val hosts = List(random.nextInt(1, 5)) { CountedHost(share, 0.0) }
        .let { hosts -> hosts.map { CountedHost(share, totalSlack / hosts.size) } }
    val requests = Times()
    val repeats = Times()
    val wrong = ArrayList<String>()
    var now = random.nextLong(1_000_000)
    val end = now + 60_000
    var rate = 50L
    var repeatShare = 0.5
    while (now < end) {
        if (random.nextInt(60) == 0) {
            rate = listOf(2L, 20L, 200L, 3_000L).random(random)
            repeatShare = listOf(0.05, 0.5, 0.95).random(random)
        }
        now += random.nextLong(rate + 1)
        val host = hosts.random(random)
        if (random.nextDouble() < repeatShare) {
            val left = host.window.left(host.slack, now)
            val recounted = host.recount(now)
            if (left != recounted) wrong += "seed $seed at $now: $left left, $recounted by a recount"
            if (left >= 1) {
                host.repeat(now)
                repeats.all += now + random.nextLong(maxArrivalDelayMs)
            }
        } else {
            host.request(now)
            requests.all += now - random.nextLong(READ_DELAY_MS)
        }
    }
    // A window with most repeats begins with one of them.
    for (from in repeats.all.distinct()) {
        val allowed = share * listOf(0, WINDOW_MS / 2, WINDOW_MS).maxOf { requests.inWindow(from - it) } + totalSlack
        val count = repeats.inWindow(from)
        if (count > allowed + 1e-9) wrong += "seed $seed: $count repeats from $from on, $allowed allowed"
    }
    return wrong
}

class RepeatWindowSpec :
    FunSpec({
        test("no window of several hosts has more repeats than allowed, and each host counts like a plain list") {
            println("seeds 1 to $HISTORIES")
            (1..HISTORIES).flatMap(::play).take(5).shouldBeEmpty()
        }

        test("repeats that arrive seconds after they are counted are found") {
            (1..100).flatMap { play(it, maxArrivalDelayMs = 6_000) }.shouldNotBeEmpty()
        }

        test("all of the slack is left a window after the last repeat") {
            val window = RepeatWindow(WINDOW_MS, share = 0.1)
            repeat(7) { window.onRepeat(100_000) }
            window.left(slack = 7.0, now = 105_000) shouldBe 0
            window.left(slack = 7.0, now = 100_000 + WINDOW_MS + ARRIVAL_DELAY_MS + SLOT_MS) shouldBe 7
        }
    })
