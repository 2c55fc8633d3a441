/*
 * Tests the path of a forwarded request over real sockets, from the caller through two hosts to the targets. The store
 * and the targets are stand-ins of the platform in this process.
 */
package org.sesamerouter.front

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.jsonPrimitive
import org.sesamerouter.web.CollectedResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

// Requests that a stopping host takes have to end within its grace.
private const val LONG_GRACE_MS = 20_000L
private const val MAX_RECORD_BYTES = 262_144

private fun okResponse(body: String) = CollectedResponse(200, body, failure = null, sent = true)

/** Starts two hosts, two stage targets and one engine, and waits until the hosts are ready. */
private fun pipelineSite(graceMs: Long = 8_000) = Site(graceMs).apply {
    declare(1, "\"k1\"")
    repeat(2) { register("s$it", "stock", platform.stageTarget()) }
    register("m0", "model", platform.echoTarget())
    repeat(2) { startHost() }
    awaitReady(2)
}

class FrontHostSpec :
    FunSpec({
        test("requests of two hosts share stage calls, and each engine gets the results of its own request alone") {
            pipelineSite().use { site ->
                val responses = (0 until 40).map { it to site.send(it % 2, "/plan/x", "id$it", pieces = 2) }
                for ((number, response) in responses) {
                    response.get() shouldBe okResponse("answer to id$number: body of id$number")
                }
                val received = site.platform.receivedRequests.toList()
                received.map { it["request-id"] } shouldContainExactlyInAnyOrder (0 until 40).map { "id$it" }
                val handlesByRequest = site.platform.resultHandles.groupBy({ it.first }, { it.second })
                for (request in received) {
                    val ownHandles = handlesByRequest.getValue(checkNotNull(request["request-id"]))
                    request["inputs"].orEmpty().split(",") shouldContainExactlyInAnyOrder ownHandles
                    request["tenant"] shouldBe "choir"
                    request["authorization"].shouldBeNull()
                }
                val items = site.platform.stageCalls.flatten()
                items shouldHaveSize 80
                for (item in items) {
                    item.getValue("key").jsonPrimitive.content shouldBe
                        "key of ${item.getValue("id").jsonPrimitive.content}"
                }
                site.platform.stageCalls.size shouldBeLessThan 40
            }
        }

        // Guards against RECOVER: an entry that cannot be read keeps all others from being read.
        test("an entry of another writer that is nested deeply keeps no host from becoming ready") {
            Site().use { site ->
                site.declare(1, "\"k1\"")
                site.platform.store.put("keyed.servers", "foreign", "[".repeat(MAX_RECORD_BYTES))
                site.register("d0", "desk", site.platform.echoTarget())
                site.startHost()
                site.awaitReady(1)
                site.send(0, "/book/x", "a").get() shouldBe okResponse("answer to a: body of a")
                site.platform.store.put("keyed.servers", "foreign", "{\"a\":".repeat(MAX_RECORD_BYTES / 5))
                site.register("d1", "desk", site.platform.echoTarget())
                runBlocking { eventually(TIMEOUT) { site.targetCount(0) shouldBe 2 } }
            }
        }

        test(
            "requests get 503 before the first configuration; keys apply from their version on, also without the store",
        ) {
            Site().use { site ->
                site.register("d0", "desk", site.platform.echoTarget())
                site.startHost()
                runBlocking { eventually(TIMEOUT) { site.send(0, "/book/x", "early").get().status shouldBe 503 } }
                site.declare(1, "\"k1\"")
                site.awaitReady(1)
                site.send(0, "/book/x", "a").get() shouldBe okResponse("answer to a: body of a")
                site.send(0, "/book/x", "b", key = "k2").get().status shouldBe 401
                site.send(0, "/none/x", "c").get().status shouldBe 404
                site.declare(2, "\"k2\"")
                runBlocking {
                    eventually(TIMEOUT) { site.send(0, "/book/x", "d", key = "k2").get().status shouldBe 200 }
                }
                site.send(0, "/book/x", "e", key = "k1").get().status shouldBe 401
                site.platform.store.isDown = true
                site.send(0, "/book/x", "f", key = "k2").get().status shouldBe 200
                site.platform.receivedRequests.count { it["request-id"] == "e" } shouldBe 0
            }
        }

        test(
            "after the store was restored from a copy, hosts keep the configuration, follow offsets that are given " +
                "out again and register again",
        ) {
            Site().use { site ->
                val store = site.platform.store
                site.register("d0", "desk", site.platform.echoTarget())
                site.declare(1, "\"k1\"")
                site.startHost()
                site.awaitReady(1)
                runBlocking { eventually(TIMEOUT) { store.size("keyed.hosts") shouldBe 1 } }
                val copied = listOf("keyed.op", "keyed.servers").associateWith(store::size) + ("keyed.hosts" to 0)
                site.declare(2, "\"k1\",\"k2\"")
                site.register("d1", "desk", site.platform.echoTarget())
                runBlocking {
                    eventually(TIMEOUT) { site.send(0, "/book/x", "a", key = "k2").get().status shouldBe 200 }
                }
                store.restore(copied)
                site.declare(3, "\"k3\"")
                runBlocking {
                    eventually(TIMEOUT) { site.send(0, "/book/x", "b", key = "k3").get().status shouldBe 200 }
                    eventually(TIMEOUT) { store.size("keyed.hosts") shouldBe 1 }
                }
                site.send(0, "/book/x", "c", key = "k1").get().status shouldBe 401
            }
        }

        test("the copy of a restored store does not bring an older configuration into force") {
            Site().use { site ->
                val store = site.platform.store
                site.register("d0", "desk", site.platform.echoTarget())
                site.declare(1, "\"k1\"")
                site.startHost()
                site.awaitReady(1)
                site.declare(2, "\"k2\"")
                runBlocking {
                    eventually(TIMEOUT) { site.send(0, "/book/x", "a", key = "k2").get().status shouldBe 200 }
                }
                store.restore(mapOf("keyed.op" to 1, "keyed.hosts" to 0))
                // The host has seen the new era once it has registered again.
                runBlocking { eventually(TIMEOUT) { store.size("keyed.hosts") shouldBe 1 } }
                site.send(0, "/book/x", "b", key = "k1").get().status shouldBe 401
                site.send(0, "/book/x", "c", key = "k2").get().status shouldBe 200
            }
        }

        test("a target that announces its leaving in a response gets no more requests, from any host") {
            Site().use { site ->
                val received = AtomicInteger()
                val leaving = site.platform.echoTarget {
                    received.incrementAndGet()
                    it.set("Server-Leaving", "1")
                    true
                }
                site.register("d0", "desk", leaving)
                site.declare(1, "\"k1\"")
                repeat(2) { site.startHost() }
                site.awaitReady(2)
                site.send(0, "/book/x", "a").get().status shouldBe 200
                site.register("d1", "desk", site.platform.echoTarget())
                runBlocking {
                    eventually(TIMEOUT) {
                        repeat(2) { site.send(it, "/book/x", "b$it").get().status shouldBe 200 }
                    }
                }
                received.get() shouldBe 1
            }
        }

        test("a target that refuses with a Retry-After gets nothing until then, and callers learn when it returns") {
            Site().use { site ->
                val received = AtomicInteger()
                site.register(
                    "d0",
                    "desk",
                    site.platform.echoTarget {
                        received.incrementAndGet()
                        it.set("Retry-After", "25")
                        false
                    },
                )
                site.declare(1, "\"k1\"")
                site.startHost()
                site.awaitReady(1)
                repeat(5) { site.send(0, "/book/x", "a$it").get().status shouldBe 503 }
                received.get() shouldBe 1
            }
        }

        test("the owner of a pool calls a stage target that announced its leaving no more") {
            Site().use { site ->
                val received = AtomicInteger()
                val leaving = site.platform.stageTarget {
                    received.incrementAndGet()
                    it.set("Server-Leaving", "1")
                    false
                }
                site.declare(1, "\"k1\"")
                site.register("s0", "stock", leaving)
                site.register("s1", "stock", site.platform.stageTarget())
                site.register("m0", "model", site.platform.echoTarget())
                site.startHost()
                site.awaitReady(1)
                (0 until 30).map { site.send(0, "/plan/x", "id$it", pieces = 2) }
                    .forEach { it.get().status shouldBe 200 }
                received.get() shouldBe 1
            }
        }

        test("a stopping host completes or rejects its requests and leaves the address answers of the other host") {
            pipelineSite().use { site ->
                val responses = (0 until 20).map { site.send(it % 2, "/plan/x", "id$it", pieces = 2) }
                site.stop(0)
                responses.forEach { it.get().status shouldBeIn listOf(200, 503) }
                site.addresses(1) shouldNotContain site.requestAddress(0)
                site.send(1, "/plan/x", "after", pieces = 2).get().status shouldBe 200
            }
        }

        test("while all hosts are stopping, the queue of a pool still has one owner, so that they share stage calls") {
            pipelineSite(LONG_GRACE_MS).use { site ->
                val release = CompletableFuture<Unit>()
                site.register("d0", "desk", site.platform.heldTarget(release))
                runBlocking {
                    eventually(TIMEOUT) {
                        (0..1).forEach { site.targetCount(it) shouldBe 4 }
                    }
                }
                val held = (0..1).map { site.send(it, "/book/x", "held$it") }
                val stopped = site.stopAll()
                runBlocking {
                    eventually(TIMEOUT) { (0..1).forEach { site.addressAnswer(it).status shouldBe 503 } }
                }
                val responses = (0 until 20).map { site.send(it % 2, "/plan/x", "id$it", pieces = 2) }
                responses.forEach { it.get().status shouldBe 200 }
                (0..1).count { site.stageCalls(it) > 0 } shouldBe 1
                release.complete(Unit)
                held.forEach { it.get().status shouldBe 200 }
                stopped.forEach { it.get(TIMEOUT_S, TimeUnit.SECONDS) }
            }
        }
    })
