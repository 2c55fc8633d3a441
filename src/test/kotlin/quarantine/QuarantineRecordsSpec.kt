/*
 * Tests that what is held back outlives the hosts that know of it, by records in the platform's log.
 */
package org.sesamerouter.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private const val LATER_MS = 1_000L
private const val DAY_MS = 4 * 3_600_000L
private const val TRIALS_ALLOWED = 3 // by the users' rule, over the whole time after the fifth crash
private const val RESULT_MS = 200L

/** A log of one key-value topic and the hosts of a fleet that use it. */
private class Fleet(private val hosts: Int) {
    val log = LinkedHashMap<String, ByteArray>()
    var quarantines = List(hosts) { Quarantine(60_000, 4_096, 3) }
    var records = quarantines.map(::QuarantineRecords)

    fun replace(now: Long) {
        quarantines = List(hosts) { Quarantine(60_000, 4_096, 3) }
        records = quarantines.map(::QuarantineRecords)
        records.forEach { it.onRead(log.values.mapNotNull(::decodeQuarantineRecord), now) }
    }

    fun crash(number: Int, now: Long) {
        val notice = DeathNotice("f$number", "t$number", "$now", listOf("first", "bad"), isFresh = true)
        quarantines.forEachIndexed { host, quarantine -> quarantine.onDeath(notice, now, isOwn = host == 0) }
    }

    /** Returns the number of writes. */
    fun write(now: Long): Int = records.indices.sumOf { host ->
        quarantines[host].parts.stateOf("bad", now)
        val writes = records[host].takeWrites(now) { it.hashCode().mod(hosts) == host }
        for (write in writes) {
            val value = write.record?.let(::encodeQuarantineRecord)
            if (value == null) log.remove(write.key) else log[write.key] = value
            records[host].onWritten(write)
        }
        writes.size
    }
}

class QuarantineRecordsSpec :
    FunSpec({
        // Guards against BUDGET: a part was learned anew, by three more crashes, whenever a whole fleet was replaced.
        test("a fleet that replaces another one holds back what that did, with one write in all") {
            val fleet = Fleet(hosts = 5)
            repeat(CRASHES_TO_HOLD_PART) { fleet.crash(it, now = 0) }
            fleet.write(LATER_MS) shouldBe 1
            fleet.write(2 * LATER_MS) shouldBe 0
            fleet.replace(3 * LATER_MS)
            fleet.quarantines.forEach { it.parts.stateOf("bad", 3 * LATER_MS) shouldBe PartState.HELD_BACK }
            fleet.write(4 * LATER_MS) shouldBe 0
        }

        test("a quarantined request outlives the fleet that saw it, until it expires") {
            val fleet = Fleet(hosts = 3)
            repeat(3) { number ->
                val notice = DeathNotice("same", "t$number", "1", emptyList())
                fleet.quarantines.forEach { it.onDeath(notice, now = 0) }
            }
            fleet.write(LATER_MS) shouldBe 1
            fleet.replace(2 * LATER_MS)
            fleet.quarantines[1].stateOf("same", 2 * LATER_MS) shouldBe QuarantineState.QUARANTINED
            fleet.write(70 * LATER_MS) shouldBe 1
            fleet.log.keys.shouldBeEmpty()
        }

        // Guards against BUDGET: a request with a long path crashes three more targets after each fleet.
        test(
            "requests with long paths have keys that the log takes, one each, and shorter ones keep theirs",
        ) {
            val texts =
                listOf("a".repeat(400) + "1", "a".repeat(400) + "2", "\u00e9".repeat(300), "short", "b".repeat(247))
            val keys = texts.map { QuarantineRecord(request = QuarantinedRequest(it, emptyList())).key }
            keys.forEach { it.toByteArray().size shouldBeLessThanOrEqual 255 }
            keys.toSet() shouldHaveSize texts.size
            keys.takeLast(2) shouldBe listOf("request short", "request " + "b".repeat(247))
            QuarantineRecord(
                part = HeldPart("p".repeat(300), 0, emptyList(), 0, 0),
            ).key.toByteArray().size shouldBeLessThanOrEqual
                255
        }

        test("the record of a part that was cleared is removed") {
            val fleet = Fleet(hosts = 4)
            repeat(CRASHES_TO_HOLD_PART) { fleet.crash(it, now = 0) }
            fleet.write(LATER_MS)
            fleet.log.keys shouldHaveSize 1
            fleet.quarantines.forEach { it.parts.onSound(listOf("bad"), isOwn = true) }
            fleet.write(2 * LATER_MS) shouldBe 1
            fleet.log.keys.shouldBeEmpty()
        }

        test("a write that fails is tried again, and after a restored log all records are written again") {
            val quarantine = Quarantine(60_000, 4_096, 3)
            val records = QuarantineRecords(quarantine)
            repeat(CRASHES_TO_HOLD_PART) {
                quarantine.onDeath(DeathNotice("f$it", "t$it", "1", listOf("bad"), true), now = 0, isOwn = true)
            }
            quarantine.parts.stateOf("bad", LATER_MS)
            val write = records.takeWrites(LATER_MS) { true }.single()
            records.takeWrites(LATER_MS) { true }.shouldBeEmpty()
            records.onFailed(write, LATER_MS)
            records.takeWrites(2 * LATER_MS, { true }).shouldHaveSize(1).forEach(records::onWritten)
            records.takeWrites(3 * LATER_MS) { true }.shouldBeEmpty()
            records.onLogRestored()
            records.takeWrites(4 * LATER_MS) { true } shouldHaveSize 1
        }

        test("bytes of another writer are no record, and a host knows what was held back only after a read") {
            decodeQuarantineRecord("{}".toByteArray()).shouldBeNull()
            decodeQuarantineRecord(ByteArray(0)).shouldBeNull()
            val records = QuarantineRecords(Quarantine())
            records.areKnown.shouldBeFalse()
            records.onRead(emptyList(), now = 0)
            records.areKnown.shouldBeTrue()
        }

        // Guards against BUDGET: with intervals that only double, a part had its fourth trial within eight minutes.
        test("a part that crashes a target at each trial is tried no more often than the users allow in an hour") {
            val parts = PartQuarantine()
            repeat(CRASHES_TO_HOLD_PART + 2) { parts.onCrash(listOf("bad"), "t$it", true, isOwn = true, now = 0) }
            parts.stateOf("bad", LATER_MS)
            val trials = ArrayList<Long>()
            for (now in LATER_MS..DAY_MS step LATER_MS) {
                if (parts.trialOverdueMs("bad", now) < 0) continue
                trials += now
                parts.onTrial("bad", now)
                parts.onCrash(listOf("bad"), "trial$now", true, isOwn = true, now + RESULT_MS)
            }
            println("trials at $trials ms")
            trials.first() shouldBeGreaterThanOrEqual 30_000L
            trials.count { it <= 3_600_000L } shouldBeLessThanOrEqual TRIALS_ALLOWED
        }
    })
