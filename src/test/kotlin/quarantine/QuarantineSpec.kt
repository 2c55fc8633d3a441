/*
 * Tests the quarantine against a reference implementation that keeps all deaths forever, and its capacity limit.
 */
package org.sesamerouter.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.sesamerouter.histories

private const val EXPIRY_MS = 100L

private class ReferenceQuarantine {
    private class Event(val fingerprint: String, val death: String?, val atMs: Long)

    private val events = ArrayList<Event>()

    fun onDeath(fingerprint: String, death: String, now: Long) {
        events += Event(fingerprint, death, now)
    }

    fun onSuccess(fingerprint: String, now: Long) {
        if (stateOf(fingerprint, now) == QuarantineState.SUSPECT) events.removeIf { it.fingerprint == fingerprint }
    }

    fun stateOf(fingerprint: String, now: Long): QuarantineState {
        val counted = HashSet<String>()
        var last = Long.MIN_VALUE / 2
        for (event in events.filter { it.fingerprint == fingerprint }) {
            if (event.atMs - last >= EXPIRY_MS) counted.clear()
            if (counted.add(checkNotNull(event.death))) last = event.atMs
        }
        return when {
            counted.isEmpty() || now - last >= EXPIRY_MS -> QuarantineState.CLEAR
            counted.size >= DEATHS_TO_QUARANTINE -> QuarantineState.QUARANTINED
            else -> QuarantineState.SUSPECT
        }
    }
}

class QuarantineSpec :
    FunSpec({
        test("returns the states of the reference implementation over generated histories of deaths and successes") {
            checkAll(histories(seed = 31), Arb.list(Arb.int(0..99_999), 1..80)) { steps ->
                val quarantine = Quarantine(EXPIRY_MS)
                val reference = ReferenceQuarantine()
                var now = 0L
                for (step in steps) {
                    now += step % 30
                    val fingerprint = "f${step / 32 % 4}"
                    if (step % 3 == 0) {
                        quarantine.onSuccess(fingerprint, now)
                        reference.onSuccess(fingerprint, now)
                    } else {
                        quarantine.onDeath(DeathNotice(fingerprint, "t${step / 128 % 3}", "i${step / 512 % 2}"), now)
                        reference.onDeath(fingerprint, "t${step / 128 % 3}@i${step / 512 % 2}", now)
                    }
                    repeat(4) { quarantine.stateOf("f$it", now) shouldBe reference.stateOf("f$it", now) }
                }
            }
        }

        test("counts a death reported by two hosts once") {
            val quarantine = Quarantine(EXPIRY_MS)
            repeat(2) { quarantine.onDeath(DeathNotice("f", "t1", "i1"), 0) }
            quarantine.stateOf("f", 0) shouldBe QuarantineState.SUSPECT
        }

        test("keeps a bounded number of fingerprints and evicts the oldest first") {
            val quarantine = Quarantine(EXPIRY_MS, capacity = 10)
            repeat(100) { quarantine.onDeath(DeathNotice("f$it", "t", "i"), 0) }
            quarantine.size shouldBeLessThanOrEqual 10
            quarantine.stateOf("f99", 0) shouldBe QuarantineState.SUSPECT
        }

        test("the fingerprint depends on organisation, plan and content") {
            fingerprintOf("a", "p", "x") shouldBe fingerprintOf("a", "p", "x")
            fingerprintOf("a", "p", "x") shouldNotBe fingerprintOf("b", "p", "x")
        }
    })
