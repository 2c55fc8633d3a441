/*
 * Tests reads of the store whose reply was cut.
 */
package org.sesamerouter.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.sesamerouter.clock.systemClock
import org.sesamerouter.front.PlatformStandin
import org.sesamerouter.web.ForwardClient
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val TIMEOUT_S = 20L

class StoreReadSpec :
    FunSpec({
        // Guards against records that are left out for good: a reply that ends after its head counts as a whole one.
        test("a reply without the records up to its end does not move the position past them") {
            val platform = PlatformStandin()
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            val loop = group.next() as EventLoop

            fun read(from: Long, end: Long): StoreOutcome<KeyedRecords> {
                val address = platform.listen {
                    it.reply(200, ByteBuffer.allocate(16).putLong(end).putLong(0).array())
                }
                val outcome = CompletableFuture<StoreOutcome<KeyedRecords>>()
                val store = StoreClient(address, ForwardClient(loop, systemClock()), loop)
                loop.execute { store.read(KeyedTopic.TARGETS, from, 0, outcome::complete) }
                return outcome.get(TIMEOUT_S, TimeUnit.SECONDS)
            }

            read(from = 10, end = 12) shouldBe StoreOutcome.HistoryTruncated
            read(from = 10, end = 10).shouldBeInstanceOf<StoreOutcome.Done<KeyedRecords>>().value.end shouldBe 10
            platform.close()
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }

        // Guards against DRAIN: a target that is removed between two pages is used until it ends.
        test("a list in two pages says that it knows what was there at its first page, not what came before its last") {
            val list = NewestList { KeyedRecord(it.key, it.value?.toByteArray(), it.offset) }
            list.onPage(NewestPage(listOf(NewestItem("a", "x", 4)), more = true, end = 9), era = 0) shouldBe
                ListStep.ReadNext
            list.after shouldBe "a"
            val step = list.onPage(NewestPage(listOf(NewestItem("b", "x", 9)), more = false, end = 11), era = 0)
            val records = step.shouldBeInstanceOf<ListStep.Complete>().records
            records.end shouldBe 9
            records.available shouldBe 11
            records.records.map { it.key } shouldBe listOf("a", "b")
        }

        // Guards against targets that are dropped since a list without them was taken for a whole one.
        test("a list that cannot go on is not taken for all that exists") {
            val empty = NewestList { KeyedRecord(it.key, it.value?.toByteArray(), it.offset) }
            empty.onPage(NewestPage(emptyList(), more = true, end = 9), era = 0).shouldBeInstanceOf<ListStep.Unusable>()
            val same = NewestList { KeyedRecord(it.key, it.value?.toByteArray(), it.offset) }
            val page = NewestPage(listOf(NewestItem("a", "x", 4)), more = true, end = 9)
            same.onPage(page, era = 0) shouldBe ListStep.ReadNext
            same.onPage(page, era = 0).shouldBeInstanceOf<ListStep.Unusable>()
        }

        // Guards against RECOVER: a host that keeps the values of all pages runs out of memory at each start.
        test("of records that are of no use, a list keeps the keys of a bounded number, and no values") {
            val list = NewestList { null }
            repeat(300) { page ->
                val items = List(500) { NewestItem("x-$page-$it", "v".repeat(100), 1L) }
                list.onPage(NewestPage(items, more = true, end = 1), era = 0) shouldBe ListStep.ReadNext
            }
            val step = list.onPage(NewestPage(emptyList(), more = false, end = 1), era = 0)
            val records = step.shouldBeInstanceOf<ListStep.Complete>().records.records
            records.size shouldBe 10_000
            records.sumOf { it.value?.size ?: 0 } shouldBe 0
        }

        test("a list whose store is restored between two pages begins again") {
            val list = NewestList { KeyedRecord(it.key, it.value?.toByteArray(), it.offset) }
            list.onPage(NewestPage(listOf(NewestItem("a", "x", 4)), more = true, end = 9), era = 0)
            list.onPage(NewestPage(listOf(NewestItem("b", "x", 5)), more = false, end = 9), era = 1) shouldBe
                ListStep.ReadNext
            list.after shouldBe null
            val step = list.onPage(NewestPage(listOf(NewestItem("c", "x", 2)), more = false, end = 3), era = 1)
            step.shouldBeInstanceOf<ListStep.Complete>().records.records.map { it.key } shouldBe listOf("c")
        }
    })
