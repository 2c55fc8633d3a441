/*
 * Tests how often hosts try again while the store is away.
 */
package org.sesamerouter.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.sesamerouter.propagation.storeRetryMs
import kotlin.random.Random

class StoreRetrySpec :
    FunSpec({
        test("store away: all hosts together try no more often in a large fleet than in a small one") {
            fun triesPerS(hosts: Int) = hosts * 1_000.0 / storeRetryMs(300, hosts, 0.5)
            for (hosts in listOf(9, 23, 95, 300)) triesPerS(hosts) shouldBeLessThanOrEqual 1.05 * triesPerS(3)
        }

        // After a short outage every host waited for at least half of the mean, 4.8 s with 95 hosts.
        test("store away for a moment: the first host of a large fleet tries again as soon as one of a small fleet") {
            for (hosts in listOf(9, 23, 95, 300)) {
                val random = Random(hosts)
                val first = List(hosts) { storeRetryMs(300, hosts, random.nextDouble()) }.min()
                first shouldBeLessThanOrEqual 450
            }
        }

        // A host of a large fleet that the store rejected once registered up to 47 s later.
        test("a host that could not register tries again within seconds, whatever the size of the fleet") {
            for (hosts in listOf(1, 9, 95, 300)) registrationRetryMs(hosts, 1.0) shouldBeLessThanOrEqual 6_000
        }

        test("a host that is alone tries again after the base time, more or less by half") {
            storeRetryMs(300, 1, 0.0) shouldBe 150
            storeRetryMs(300, 1, 0.5) shouldBe 300
            storeRetryMs(300, 1, 1.0) shouldBeLessThanOrEqual 450
        }
    })
