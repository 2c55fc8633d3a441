/*
 * Tests of target discovery: order by offset, reads with gaps, entries that expire during an outage of the store, a
 * store that was restored from a copy, targets that announce their leaving, and changes passed on between hosts. Two
 * tests compare directories with models that keep the whole stream.
 */
package org.sesamerouter.discovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.histories
import kotlin.random.Random

private fun entry(id: String, draining: Boolean = false, startTimeMs: Long = 1) =
    TargetEntry(id, "stock", "10.0.0.1:80", "a", 1, draining, startTimeMs)

private fun full(end: Long, vararg changes: EntryChange, era: Long = 0) =
    EntryRead(0, end, full = true, changes.toList(), era)

private fun delta(from: Long, end: Long, vararg changes: EntryChange, era: Long = 0) =
    EntryRead(from, end, false, changes.toList(), era)

private fun TargetDirectory.tickUntil(endMs: Long, fromMs: Long = 0) = (fromMs..endMs step 100).forEach { onTick(it) }

class TargetDirectorySpec :
    FunSpec({
        test("the draining state of a target is also applied by a host that learned of the target from a peer") {
            val peer = TargetDirectory()
            peer.onRead(full(5, EntryChange("t1", 3, entry("t1"))), 0, 0)
            val directory = TargetDirectory()
            directory.onRead(checkNotNull(peer.snapshot()), 0, 10)
            directory.onRead(delta(5, 6, EntryChange("t1", 5, entry("t1", draining = true))), 0, 20)
            directory.targets.getValue("t1").isDraining shouldBe true
        }

        test("a read that leaves a gap is applied without advancing the position, so that the gap is read") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 3, entry("t1"))), 0, 0)
            directory.onRead(delta(8, 9, EntryChange("t2", 8, entry("t2"))), 0, 1_000)
            directory.position shouldBe 5
            directory.lastContiguousReadMs shouldBe 0
            directory.targets.keys shouldBe setOf("t1", "t2")
        }

        // Each full read left a gap for all other hosts, which then fetched all targets from one host at the same time.
        test("a host that knew the stream up to its full read tells the others what came since, without a gap") {
            val entries = arrayOf(EntryChange("t1", 1, entry("t1")), EntryChange("t2", 2, entry("t2")))
            val reader = TargetDirectory().also { it.onRead(full(3, *entries), 0, 0) }
            val other = TargetDirectory().also { it.onRead(full(3, *entries), 0, 0) }
            reader.resetPosition()
            val result = reader.onRead(full(9, EntryChange("t1", 7, entry("t1", draining = true))), 0, 20_000)
            other.onRead(delta(result.knownFrom, 9, *result.forPeers.toTypedArray()), 0, 20_010)
            other.position shouldBe 9
            other.targets shouldBe reader.targets
        }

        test("an older record does not replace a newer one") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1", draining = true))), 0, 0)
            directory.onRead(delta(3, 5, EntryChange("t1", 3, entry("t1"))), 0, 10)
            directory.targets.getValue("t1").isDraining shouldBe true
        }

        test("an entry that expires while the store is reachable is removed immediately") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1"))), 0, 0)
            directory.onRead(delta(5, 6, EntryChange("t1", 5, null)), 0, 400)
            directory.targets.keys shouldBe emptySet()
        }

        test("an entry that expired during an outage of the store is kept for about 2 s after the store's recovery") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1")), EntryChange("t2", 3, entry("t2"))), 0, 0)
            (0L..5_000L step 100).forEach { directory.onTick(it) }
            directory.onRead(delta(5, 7, EntryChange("t1", 5, null), EntryChange("t2", 6, null)), 0, 5_000)
            directory.targets.keys shouldBe setOf("t1", "t2")
            directory.onRead(delta(7, 8, EntryChange("t2", 7, entry("t2"))), 0, 6_000)
            directory.onTick(7_000) shouldBe false
            directory.onTick(7_300) shouldBe true
            directory.targets.keys shouldBe setOf("t2")
        }

        // Guards against RECOVER: a host without a target answers 503 until it is started again.
        test("a host lists the targets itself once a service has had none for a second, less often while it has none") {
            val missing = MissingTargets()
            val desk = listOf(entry("t1").copy(service = "desk"))
            val due = (0L..70_000L step 100).filter { missing.isListDue(setOf("desk", "stock"), desk, it) }
            (due.first() in 1_000L..1_300L) shouldBe true
            due.zipWithNext { a, b -> b - a }.all { it in 1_000..30_300 } shouldBe true
            (due.size < 10) shouldBe true
            missing.isListDue(setOf("desk"), desk, 80_000) shouldBe false
            missing.isListDue(setOf("desk"), emptyList(), 81_000) shouldBe false
            missing.isListDue(setOf("desk"), emptyList(), 82_100) shouldBe true
        }

        test("a target that was draining when its entry expired is removed") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1", draining = true))), 0, 0)
            (0L..5_000L step 100).forEach { directory.onTick(it) }
            directory.onRead(delta(5, 6, EntryChange("t1", 5, null)), 0, 5_000)
            directory.targets.keys shouldBe emptySet()
        }

        test("a full read removes entries that it does not list; the host stays ready after its position was reset") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1")), EntryChange("t2", 3, entry("t2"))), 0, 0)
            directory.resetPosition()
            directory.isReady shouldBe true
            directory.onRead(full(9, EntryChange("t2", 8, entry("t2"))), 0, 100)
            directory.targets.keys shouldBe setOf("t2")
        }

        test(
            "after late, duplicate or incomplete reads, a host agrees with the stream once it has read all of it",
        ) {
            checkAll(histories(seed = 21), Arb.long()) { seed -> StreamModel(Random(seed)).run() }
        }

        test("after the store was restored, a lower offset of the new era replaces a higher one of the old era") {
            val directory = TargetDirectory()
            directory.onRead(full(9, EntryChange("t1", 8, entry("t1"))), 0, 0)
            directory.onRead(full(4, EntryChange("t1", 3, entry("t1")), era = 1), 0, 100)
            directory.position shouldBe 4
            directory.onRead(delta(4, 5, EntryChange("t1", 4, entry("t1", draining = true)), era = 1), 0, 200)
            directory.targets.getValue("t1").isDraining shouldBe true
        }

        test("the copy of a restored store does not bring back a target that was draining or removed") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 3, entry("t1")), EntryChange("t2", 4, entry("t2"))), 0, 0)
            val lost = arrayOf(EntryChange("t1", 5, entry("t1", draining = true)), EntryChange("t2", 6, null))
            directory.onRead(delta(5, 7, *lost), 0, 100)
            val copy = full(5, EntryChange("t1", 3, entry("t1")), EntryChange("t2", 4, entry("t2")), era = 1)
            directory.onRead(copy, 0, 200)
            directory.targets.getValue("t1").isDraining shouldBe true
            directory.targets.keys shouldBe setOf("t1")
        }

        test("a removed target that writes its entry to the restored store again is used again") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1"))), 0, 0)
            directory.onRead(delta(5, 6, EntryChange("t1", 5, null)), 0, 100)
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1")), era = 1), 0, 200)
            directory.targets.keys shouldBe emptySet()
            directory.onRead(delta(5, 6, EntryChange("t1", 5, entry("t1")), era = 1), 0, 1_000)
            directory.targets.keys shouldBe setOf("t1")
        }

        test("a target that the restored store lacks is kept until it had time to write its entry again") {
            val directory = TargetDirectory()
            directory.onRead(full(9, EntryChange("t1", 8, entry("t1")), EntryChange("t2", 7, entry("t2"))), 0, 0)
            directory.onRead(full(4, era = 1), 0, 100)
            directory.targets.keys shouldBe setOf("t1", "t2")
            directory.onRead(delta(4, 5, EntryChange("t2", 4, entry("t2")), era = 1), 0, 1_000)
            directory.tickUntil(2_200, fromMs = 1_000)
            directory.targets.keys shouldBe setOf("t1", "t2")
            directory.tickUntil(2_400, fromMs = 2_300)
            directory.targets.keys shouldBe setOf("t2")
        }

        test("a read of an older era that arrives late is ignored; one of a newer era asks for a full read") {
            val directory = TargetDirectory()
            directory.onRead(full(4, EntryChange("t1", 3, entry("t1")), era = 1), 0, 0)
            directory.onRead(delta(4, 9, EntryChange("t2", 8, entry("t2"))), 0, 10)
            directory.position shouldBe 4
            directory.targets.keys shouldBe setOf("t1")
            val newer = delta(5, 6, EntryChange("t1", 5, entry("t1", draining = true)), era = 2)
            directory.isBehind(newer) shouldBe true
            directory.onRead(newer, 0, 20)
            directory.position shouldBe -1
            directory.targets.getValue("t1").isDraining shouldBe true
        }

        test("an announcement to leave holds against entries of the same incarnation, not against the next one") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1", startTimeMs = 7))), 0, 0)
            directory.onLeaving(TargetIncarnation("t1", 6), 10) shouldBe false
            directory.targets.getValue("t1").isDraining shouldBe false
            directory.onLeaving(TargetIncarnation("t1", 7), 10) shouldBe true
            directory.onLeaving(TargetIncarnation("t1", 7), 20) shouldBe false
            directory.onRead(delta(5, 6, EntryChange("t1", 5, entry("t1", startTimeMs = 7))), 0, 30)
            directory.targets.getValue("t1").isDraining shouldBe true
            directory.onRead(delta(6, 7, EntryChange("t1", 6, entry("t1", startTimeMs = 8))), 0, 40)
            directory.targets.getValue("t1").isDraining shouldBe false
        }

        test("records that only renew an entry are not reported as changes") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1"))), 0, 0).altering.size shouldBe 1
            val renewal = delta(5, 6, EntryChange("t1", 5, entry("t1")))
            directory.onRead(renewal, 0, 10) shouldBe ReadResult(emptyList(), emptyList(), knownFrom = 5)
            directory.position shouldBe 6
        }

        test("a renewal is passed on if another host may lack the entry that it renews, or in a new era") {
            val directory = TargetDirectory()
            directory.onRead(full(5), 0, 0)
            directory.onRead(delta(6, 7, EntryChange("t1", 6, entry("t1"))), 0, 5)
            directory.onRead(delta(5, 8, EntryChange("t1", 7, entry("t1"))), 0, 10).forPeers.size shouldBe 1
            directory.onRead(delta(8, 9, EntryChange("t1", 8, entry("t1"))), 0, 20).forPeers.size shouldBe 0
            directory.onRead(full(4, EntryChange("t1", 3, entry("t1")), era = 1), 0, 100)
            val inNewEra = delta(4, 5, EntryChange("t1", 4, entry("t1")), era = 1)
            directory.onRead(inNewEra, 0, 200).forPeers.size shouldBe 1
            val later = delta(5, 6, EntryChange("t1", 5, entry("t1")), era = 1)
            directory.onRead(later, 0, 20_000).forPeers.size shouldBe 0
        }

        test("a host that does not believe the copy of the store reads it itself until the entry was renewed") {
            val directory = TargetDirectory()
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1"))), 0, 0)
            directory.onRead(delta(5, 6, EntryChange("t1", 5, null)), 0, 100)
            directory.onRead(full(5, EntryChange("t1", 4, entry("t1")), era = 1), 0, 200)
            directory.needsRenewals shouldBe true
            directory.onRead(delta(5, 6, EntryChange("t1", 5, entry("t1")), era = 1), 0, 1_000)
            directory.needsRenewals shouldBe false
        }

        test("a snapshot for another host leaves out entries that are kept only until they are renewed") {
            val directory = TargetDirectory()
            directory.onRead(full(9, EntryChange("t1", 8, entry("t1")), EntryChange("t2", 3, entry("t2"))), 0, 0)
            directory.onRead(full(4, EntryChange("t2", 3, entry("t2")), era = 1), 0, 100)
            directory.targets.keys shouldBe setOf("t1", "t2")
            checkNotNull(directory.snapshot()).changes.map { it.id } shouldBe listOf("t2")
        }

        test(
            "hosts that see restorations of the store at different times agree with the targets in the end and never " +
                "use a target again that they saw draining or removed",
        ) {
            checkAll(histories(seed = 22), Arb.long()) { seed -> RestoredStreamModel(Random(seed)).run() }
        }
    })

/** A stream of records, read in random segments by a host whose store is always reachable. */
private class StreamModel(private val random: Random) {
    private val stream = ArrayList<EntryChange>()

    fun run() {
        repeat(random.nextInt(1, 40)) { at ->
            val id = "t${random.nextInt(6)}"
            val value = if (random.nextInt(4) == 0) null else entry(id, random.nextBoolean(), random.nextLong(3))
            stream += EntryChange(id, at.toLong(), value)
        }
        val directory = TargetDirectory()
        var now = 0L
        repeat(random.nextInt(12)) {
            now += random.nextLong(100)
            val from = random.nextInt(stream.size)
            directory.onRead(deltaRead(from, random.nextInt(from, stream.size + 1)), random.nextLong(50), now)
        }
        if (directory.position < 0) directory.onRead(fullRead(random.nextInt(stream.size + 1)), 0, now)
        directory.onRead(deltaRead(directory.position.toInt(), stream.size), 0, now)
        val expected = stream.groupBy { it.id }.mapNotNull { (_, of) -> of.last().entry }.associateBy { it.id }
        directory.targets shouldBe expected
        directory.position shouldBe stream.size.toLong()
    }

    private fun deltaRead(from: Int, end: Int): EntryRead {
        val changes = stream.subList(from, end).associateBy { it.id }.values.toList()
        return EntryRead(from.toLong(), end.toLong(), false, changes)
    }

    private fun fullRead(end: Int): EntryRead {
        val listed = stream.take(end).associateBy { it.id }.values.filter { it.entry != null }
        return EntryRead(-1, end.toLong(), true, listed)
    }
}

/**
 * A store that loses its newest records now and then, targets that write their entries again, and two hosts that read
 * the store or get each other's reads late or not at all.
 */
private class RestoredStreamModel(private val random: Random) {
    private class Host {
        val directory = TargetDirectory()
        var lastTargets = emptyList<Pair<String, Long>>()
        val unusable = HashSet<Pair<String, Long>>()
    }

    private val hosts = List(2) { Host() }
    private val truth = HashMap<String, TargetEntry>()
    private val gone = HashSet<Pair<String, Long>>()
    private val stream = ArrayList<Pair<String, TargetEntry?>>()
    private var era = 0L
    private var now = 0L
    private var startTimes = 1L

    fun run() {
        repeat(random.nextInt(10, 80)) { step() }
        writeAllAgain()
        hosts.forEach { readFromStore(it) }
        truth.forEach { (id, entry) -> write(id, entry) } // targets renew their entries all the time
        hosts.forEach { readFromStore(it) }
        now += 10_000
        hosts.forEach { it.directory.onTick(now) }
        hosts.forEach { readFromStore(it) }
        hosts.forEach { it.directory.targets shouldBe truth }
    }

    private fun step() {
        now += random.nextLong(600)
        when (random.nextInt(10)) {
            0, 1, 2 -> changeTarget("t${random.nextInt(4)}")
            3 -> truth.keys.randomOrNull(random)?.let { write(it, truth[it]) }
            4 -> if (random.nextInt(3) == 0) restore()
            else -> readFromStore(hosts.random(random))
        }
        hosts.forEach {
            it.directory.onTick(now)
            recordUnusable(it)
            checkUnusable(it)
        }
    }

    private fun changeTarget(id: String) {
        val current = truth[id]
        val next = when {
            current == null -> entry(id, startTimeMs = startTimes++)
            current.isDraining || random.nextInt(3) == 0 -> null
            else -> current.copy(isDraining = true)
        }
        if (next == null) {
            truth.remove(id)
            gone += id to checkNotNull(current).startTimeMs
        } else {
            truth[id] = next
        }
        write(id, next)
    }

    private fun write(id: String, value: TargetEntry?) {
        stream += id to value
    }

    private fun restore() {
        val kept = random.nextInt(stream.size + 1)
        while (stream.size > kept) stream.removeLast()
        era++
        if (random.nextBoolean()) readFromStore(hosts.random(random))
        writeAllAgain()
    }

    private fun writeAllAgain() {
        val stored = stream.associate { it }
        for (id in (stored.keys + truth.keys).shuffled(random)) {
            if (truth[id] != null || stored[id] != null) write(id, truth[id])
        }
    }

    private fun readFromStore(host: Host) {
        val directory = host.directory
        val position = directory.position
        if (position > stream.size) directory.resetPosition()
        val read = if (directory.position < 0) {
            val listed = stream.withIndex().associateBy { it.value.first }.values.filter { it.value.second != null }
            EntryRead(-1, stream.size.toLong(), true, listed.map(::changeOf), era)
        } else {
            val records = stream.withIndex().drop(position.toInt()).associateBy { it.value.first }.values
            EntryRead(position, stream.size.toLong(), false, records.map(::changeOf), era)
        }
        val changes = directory.onRead(read, 0, now).forPeers
        // An offset that was given out again leaves a gap, which the next full read closes.
        if (directory.position < 0) readFromStore(host)
        val passedOn = read.copy(from = if (read.full) read.end else read.from, full = false, changes = changes)
        if (random.nextBoolean()) hosts.filter { it !== host }.forEach { it.directory.onRead(passedOn, 0, now) }
    }

    private fun changeOf(record: IndexedValue<Pair<String, TargetEntry?>>) =
        EntryChange(record.value.first, record.index.toLong(), record.value.second)

    private fun recordUnusable(host: Host) {
        val targets = host.directory.targets
        host.unusable += host.lastTargets.filter { it in gone && targets[it.first]?.startTimeMs != it.second }
        host.unusable += targets.values.filter { it.isDraining }.map { it.id to it.startTimeMs }
        host.lastTargets = targets.map { it.key to it.value.startTimeMs }
    }

    private fun checkUnusable(host: Host) = host.directory.targets.values.forEach {
        check(it.isDraining || (it.id to it.startTimeMs) !in host.unusable) { "$it is used again" }
    }
}
