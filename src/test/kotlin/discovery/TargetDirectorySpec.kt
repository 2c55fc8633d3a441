/*
 * Tests of target discovery: order by offset, reads with gaps, entries that expire during an outage of the store, and
 * changes passed on between hosts. The last test compares the directory with a model that keeps the whole stream.
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

private fun full(end: Long, vararg changes: EntryChange) = EntryRead(0, end, full = true, changes.toList())

private fun delta(from: Long, end: Long, vararg changes: EntryChange) = EntryRead(from, end, false, changes.toList())

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
