/*
 * Tests when a host requests a configuration, and from which host.
 */
package org.sesamerouter.propagation

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.sesamerouter.discovery.StreamPosition
import java.util.Random

private const val HOSTS = 111

/** A host in a large fleet that does not read the store by duty. */
private class Follower : FleetView {
    val sync = ConfigurationSync(this, Random(1))
    var nowMs = 0L
    override var version = 3L
    override val checksum = 7L
    override val liveHosts = HOSTS
    override var readOrder = 50
    override val others = listOf("a", "b", "c").map { OtherHost(it, isNear = it != "c") }

    override fun reachesStore(now: Long) = false

    init {
        sync.onStart()
        sync.onStoreRead(1, StoreRead.Done(StreamPosition(0, 4)), 0)
    }

    /** Lets the time pass until a request is sent; returns it. */
    fun nextFetch(limitMs: Long = 2_000): SyncEffect.Fetch? {
        val endMs = nowMs + limitMs
        while (nowMs < endMs) {
            nowMs += 10
            sync.onTick(nowMs).filterIsInstance<SyncEffect.Fetch>().firstOrNull()?.let { return it }
        }
        return null
    }

    fun part(from: SyncEffect.Fetch, offset: Int, size: Int, bytes: Int, id: Long = 1): List<SyncEffect> {
        val part = ConfigurationReply.Part(TransferId(9, id), 3, size, offset, ByteArray(bytes))
        return sync.onFetched(from.number, part, nowMs)
    }
}

class ConfigurationSyncSpec :
    FunSpec({
        // A host that knew that it was behind tried again after 5 to 14 s, or not until the next message.
        test("a host that is behind asks another host within 200 ms after a try that failed, in any fleet") {
            val host = Follower()
            host.sync.onAnnounced("a", 9, 0)
            host.sync.onAnnounced("b", 9, 0)
            val first = checkNotNull(host.nextFetch())
            host.sync.onFetched(first.number, null, host.nowMs)
            val failedMs = host.nowMs
            val second = checkNotNull(host.nextFetch())
            second.host shouldNotBe first.host
            host.nowMs - failedMs shouldBeLessThanOrEqual 200
        }

        test("a transfer continues at another host where the one before it stopped") {
            val host = Follower()
            host.sync.onAnnounced("a", 9, 0)
            host.sync.onAnnounced("b", 9, 0)
            val first = checkNotNull(host.nextFetch())
            val second = host.part(first, 0, size = 30, bytes = 20).filterIsInstance<SyncEffect.Fetch>().single()
            host.sync.onFetched(second.number, null, host.nowMs)
            val third = checkNotNull(host.nextFetch())
            third.request shouldBe ConfigurationRequest(3, 7, TransferId(9, 1), 20)
            host.part(
                third,
                20,
                size = 30,
                bytes = 10,
            ).filterIsInstance<SyncEffect.Apply>().single().bytes.size shouldBe
                30
        }

        test("parts of another transfer or of a version that is no longer in force are not joined") {
            val host = Follower()
            host.sync.onAnnounced("a", 9, 0)
            val first = checkNotNull(host.nextFetch())
            val second = host.part(first, 0, size = 30, bytes = 20).filterIsInstance<SyncEffect.Fetch>().single()
            host.part(second, 20, size = 30, bytes = 10, id = 2).filterIsInstance<SyncEffect.Apply>().shouldBeEmpty()
            host.version = 5
            host.sync.onInForce()
            checkNotNull(host.nextFetch()).request.transfer shouldBe null
        }

        test("a host does not read the store while others give it the configuration, and does when they do not") {
            val host = Follower()
            host.sync.onAnnounced("a", 9, 0)
            val effects = ArrayList<SyncEffect>()
            repeat(4) {
                val fetch = checkNotNull(host.nextFetch())
                effects.filterIsInstance<SyncEffect.ReadStore>().shouldBeEmpty()
                effects += host.sync.onFetched(fetch.number, ConfigurationReply.Busy(10), host.nowMs)
            }
            effects.filterIsInstance<SyncEffect.ReadStore>().size shouldBe 1
        }

        test("a host whose version cannot be the base of a transfer asks for the whole configuration") {
            val host = Follower()
            host.sync.onAnnounced("a", 9, 0)
            val first = checkNotNull(host.nextFetch())
            host.part(first, 0, size = 10, bytes = 10)
            host.sync.onUnusableTransfer("a", host.nowMs)
            checkNotNull(host.nextFetch()).request.checksum shouldBe 0
        }

        test("a host that has the version that it was told of asks nobody") {
            val host = Follower()
            host.sync.onAnnounced("a", 9, 0)
            host.version = 9
            host.nextFetch() shouldBe null
        }

        test("after a read that left records unread, the newest configuration is read") {
            val host = Follower()
            host.sync.onAnnounced("a", 9, 0)
            repeat(4) { host.sync.onFetched(checkNotNull(host.nextFetch()).number, null, host.nowMs) }
            host.sync.onStoreRead(2, StoreRead.Done(null), host.nowMs)
            host.sync.onTick(host.nowMs) shouldContain SyncEffect.ReadStore(3, null)
        }

        test("an old record of a host does not hide that it has a newer version") {
            val host = Follower()
            host.sync.onAnnounced("a", 9, 0)
            host.sync.onAnnounced("a", 2, 10)
            checkNotNull(host.nextFetch()).host shouldBe "a"
        }

        test("only the hosts that the others depend on wait at the store") {
            val host = Follower()
            host.sync.onTick(10_000).shouldBeEmpty()
            host.readOrder = 2
            host.sync.onTick(10_000) shouldContain SyncEffect.ReadStore(2, StreamPosition(0, 4))
        }
    })
