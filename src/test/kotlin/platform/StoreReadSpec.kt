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
    })
