/*
 * At most once over generated histories: keys are sent again to any host, hosts die and come back under their name,
 * claims are refused, applied with a lost reply or folded late, epochs pass. The model counts what ran.
 */
package org.sesamerouter.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.api.RefusalKind
import org.sesamerouter.api.RunAnswer
import org.sesamerouter.api.WireJson
import org.sesamerouter.histories

/** Hosts with ledgers and one claims stream. [isIncarnated] false makes a restarted host look like the old one. */
private class World(private val isIncarnated: Boolean) {
    val claims = ArrayList<String>()
    val runs = HashMap<String, Int>()
    val violations = ArrayList<String>()
    private val tickets = ArrayList<String>()
    private val hosts = MutableList(3) { Ledger(Holder("h$it", 0)) }
    private val incarnations = MutableList(3) { 0L }
    private val admitted = List(3) { LinkedHashSet<String>() }
    private val waiting = List(3) { HashMap<String, String>() }

    fun isLive(holder: Holder) = incarnations[holder.host.drop(1).toInt()] == holder.incarnation

    fun issueTicket(host: Int) {
        tickets += Ticket("h$host", incarnations[host], hosts[host].epoch, "n${tickets.size}").toString()
    }

    fun send(step: Int) {
        val ticket = tickets.getOrNull(step / 8 % maxOf(1, tickets.size))
        val key = if (ticket != null && step % 3 != 0) "$ticket/${step / 128 % 2}" else "own-${step / 8 % 3}"
        deliver(step / 512 % 3, key, forwarded = false)
    }

    private fun deliver(host: Int, key: String, forwarded: Boolean) {
        when (val decision = hosts[host].begin(key, "content", ::isLive)) {
            LedgerDecision.Run -> admitted[host] += key

            is LedgerDecision.Claim -> {
                waiting[host][decision.claim.id] = key
                pending += decision.claim
            }

            is LedgerDecision.Forward -> if (!forwarded) deliver(decision.holder.host.drop(1).toInt(), key, true)

            is LedgerDecision.Replay -> if (runs[key] != 1) violations += "replayed $key, which ran ${runs[key]} times"

            is LedgerDecision.Refuse -> {
                val ran = runs[key] ?: 0
                if (decision.refusal.kind == RefusalKind.NOT_RUN && ran > 0) violations += "untrue not run of $key"
            }
        }
    }

    private val pending = ArrayList<ClaimRecord>()

    fun append(step: Int) {
        val claim = pending.removeFirstOrNull() ?: return
        val host = claim.holder.host.drop(1).toInt()
        if (step % 3 != 0) claims += WireJson.encodeToString(ClaimRecord.serializer(), claim)
        if (step % 3 != 1 && waiting[host].remove(claim.id) != null) hosts[host].notRun(claim.key)
    }

    fun fold(step: Int) {
        val host = step % 3
        val ledger = hosts[host]
        repeat(1 + step / 3 % 4) {
            val offset = ledger.claimsRevision + 1
            val payload = claims.getOrNull(offset.toInt()) ?: return
            val result = ledger.foldClaim(offset, payload) ?: return@repeat
            val key = waiting[host].remove(result.id) ?: return@repeat
            if (result.holder == Holder("h$host", incarnations[host])) admitted[host] += key
        }
    }

    fun run(step: Int) {
        val host = step % 3
        val key = admitted[host].firstOrNull() ?: return
        admitted[host].remove(key)
        if (!hosts[host].dispatch(key)) return
        if (step % 5 == 0) {
            hosts[host].neverSent(key)
            hosts[host].notRun(key)
            return
        }
        val count = runs.merge(key, 1, Int::plus)
        if (count != 1) violations += "$key ran $count times"
        if (step % 2 == 0) hosts[host].done(key, RunAnswer("r", JsonPrimitive(1)))
    }

    fun restart(host: Int) {
        if (isIncarnated) incarnations[host]++
        hosts[host] = Ledger(Holder("h$host", incarnations[host]))
        admitted[host].clear()
        waiting[host].clear()
    }

    fun advance(host: Int) = hosts[host].advanceEpoch()
}

private fun play(steps: List<Int>, isIncarnated: Boolean = true): World {
    val world = World(isIncarnated)
    world.issueTicket(0)
    for (step in steps) {
        val rest = step / 16
        when (step % 16) {
            0 -> world.issueTicket(rest % 3)
            in 1..5 -> world.send(rest)
            6, 7 -> world.append(rest)
            8, 9, 10 -> world.fold(rest)
            in 11..13 -> world.run(rest)
            14 -> if (rest % 3 == 0) world.restart(rest / 3 % 3) else world.run(rest)
            else -> world.advance(rest % 3)
        }
    }
    return world
}

class LedgerSpec :
    FunSpec({
        val histories = Arb.list(Arb.int(0..999_999), 20..160)

        test("no key runs twice and no refusal says 'not run' of one that ran") {
            checkAll(histories(seed = 21), histories) { steps -> play(steps).violations.shouldBeEmpty() }
        }

        test("the check can fail: a ledger without incarnations runs keys twice after restarts") {
            val violations = ArrayList<String>()
            checkAll(histories(seed = 21), histories) { steps ->
                violations += play(steps, isIncarnated = false).violations
            }
            violations.shouldNotBeEmpty()
        }

        test("a key of a ticket that is too old is 'outcome unknown', never 'not run'") {
            val self = Holder("h0", 7)
            val ledger = Ledger(self)
            val key = Ticket("h0", 7, 0, "n").toString() + "/1"
            ledger.begin(key, "c") { true }
            ledger.dispatch(key)
            ledger.done(key, RunAnswer("r"))
            repeat(ACCEPTED_EPOCHS + 1) { ledger.advanceEpoch() }
            val decision = ledger.begin(key, "c") { true }.shouldBeInstanceOf<LedgerDecision.Refuse>()
            decision.refusal.kind shouldBe RefusalKind.OUTCOME_UNKNOWN
        }

        test("a key that served other content is refused") {
            val ledger = Ledger(Holder("h0", 7))
            val key = Ticket("h0", 7, 0, "n").toString() + "/1"
            ledger.begin(key, "one") { true }
            val decision = ledger.begin(key, "two") { true }.shouldBeInstanceOf<LedgerDecision.Refuse>()
            decision.refusal.kind shouldBe RefusalKind.FAILED
        }

        test("what a stopped host handed over is replayed elsewhere, and its other keys are unknown") {
            val stopped = Ledger(Holder("h0", 7))
            val ticket = Ticket("h0", 7, 0, "n").toString()
            stopped.begin("$ticket/1", "c") { true }
            stopped.dispatch("$ticket/1")
            stopped.done("$ticket/1", RunAnswer("r", JsonPrimitive(5)))
            val other = Ledger(Holder("h1", 9))
            other.inherit(stopped.export())
            val replay = other.begin("$ticket/1", "c") { false }.shouldBeInstanceOf<LedgerDecision.Replay>()
            replay.answer.output shouldBe JsonPrimitive(5)
            val refused = other.begin("$ticket/2", "c") { false }.shouldBeInstanceOf<LedgerDecision.Refuse>()
            refused.refusal.kind shouldBe RefusalKind.OUTCOME_UNKNOWN
        }

        test("a full ledger refuses new keys instead of forgetting old ones") {
            val ledger = Ledger(Holder("h0", 7), capacity = 1)
            val ticket = Ticket("h0", 7, 0, "n").toString()
            ledger.begin("$ticket/1", "c") { true }
            val decision = ledger.begin("$ticket/2", "c") { true }.shouldBeInstanceOf<LedgerDecision.Refuse>()
            decision.refusal.kind shouldBe RefusalKind.NOT_RUN
            ledger.size shouldBe 1
        }
    })
