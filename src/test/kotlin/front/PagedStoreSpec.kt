/*
 * Tests what a host takes from lists of the store that have several pages, while their topic changes.
 */
package org.sesamerouter.front

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicBoolean

private const val FOREIGN_ENTRY = """{"service":"elsewhere","state":"idle"}"""

/** Registers two desks, and so many entries of another writer that a list has several pages. */
private fun Site.registerDesksAndForeignEntries() {
    declare(1, "\"k1\"")
    register("a", "desk", platform.echoTarget())
    register("b", "desk", platform.echoTarget())
    repeat(3) { platform.store.put("keyed.servers", "x$it", FOREIGN_ENTRY) }
}

/** Has lists in pages of two; removes [key] of [removedFrom] behind the first page that has another one behind it. */
private fun PlatformStandin.StoreStandin.removeBetweenPages(removedFrom: String, key: String): AtomicBoolean {
    val isRemoved = AtomicBoolean()
    pageSize = 2
    onPage = { topic -> if (topic == removedFrom && isRemoved.compareAndSet(false, true)) remove(topic, key) }
    return isRemoved
}

class PagedStoreSpec :
    FunSpec({
        // Guards against DRAIN: a removal between two pages is in no page, and the list's end was taken from the last.
        test("a target whose entry is removed between two pages of the first list is not used") {
            Site().use { site ->
                site.registerDesksAndForeignEntries()
                val isRemoved = site.platform.store.removeBetweenPages("keyed.servers", "a")
                site.startHost()
                eventually(TIMEOUT) { site.readiness(0) shouldBe 200 }
                isRemoved.get() shouldBe true
                eventually(TIMEOUT) { site.targetCount(0) shouldBe 1 }
            }
        }

        // Guards against DRAIN: the whole fleet learns the gap from the one host that reads.
        test("a target whose entry is removed between two pages, after one host lost its place, is used by no host") {
            Site().use { site ->
                val store = site.platform.store
                site.registerDesksAndForeignEntries()
                repeat(2) { site.startHost() }
                site.awaitReady(2)
                val isRemoved = store.removeBetweenPages("keyed.servers", "a")
                store.isTruncated = true
                eventually(TIMEOUT) { isRemoved.get() shouldBe true }
                eventually(TIMEOUT) { (0..1).forEach { site.targetCount(it) shouldBe 1 } }
            }
        }

        // Guards against ROUTE: the entry names another service, and what it lacks shows that another writer wrote it.
        test("an entry of another writer under a target's own id changes nothing, in a list and in the stream") {
            Site().use { site ->
                val store = site.platform.store
                val model = site.platform.echoTarget()
                val foreign = """{"service":"desk","address":"$model","zone":"west","slots":6,"state":"ready"}"""
                site.declare(1, "\"k1\"")
                site.register("m", "model", model)
                site.startHost()
                eventually(TIMEOUT) { site.targetCount(0) shouldBe 1 }
                store.put("keyed.servers", "m", foreign)
                site.register("n", "model", site.platform.echoTarget())
                eventually(TIMEOUT) { site.targetCount(0) shouldBe 2 } // the host has read the foreign entry
                site.send(0, "/look/a", "one").get().status shouldBe 503
                store.isTruncated = true // the next read is a list, which has the foreign entry
                site.register("o", "model", site.platform.echoTarget())
                eventually(TIMEOUT) { site.targetCount(0) shouldBe 3 }
                site.send(0, "/look/a", "two").get().status shouldBe 503
                site.send(0, "/chat/a", "three").get().status shouldBe 200
            }
        }

        // Guards against targets that are never used again, since nothing follows the removal of an evacuation.
        test("an evacuation that ends between two pages of the first list is not in force") {
            Site().use { site ->
                val store = site.platform.store
                site.declare(1, "\"k1\"")
                site.register("a", "desk", site.platform.echoTarget())
                store.put("keyed.op", "x-key", "{}")
                store.put("keyed.op", "y-key", "{}")
                store.put("keyed.op", "evacuate/west", "{}")
                val isEnded = store.removeBetweenPages("keyed.op", "evacuate/west")
                site.startHost()
                eventually(TIMEOUT) { site.readiness(0) shouldBe 200 }
                isEnded.get() shouldBe true
                eventually(TIMEOUT) { site.send(0, "/look/a", "evacuated").get().status shouldBe 200 }
            }
        }
    })
