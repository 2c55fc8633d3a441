/*
 * Tests that the state updates that a relay passes on leave most of its link to the traffic of callers and to the
 * messages that show that a host lives.
 */
package org.sesamerouter.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThan
import org.sesamerouter.batching.DueTime
import org.sesamerouter.batching.RankedTimes
import org.sesamerouter.engine.EngineReport
import org.sesamerouter.engine.PromptPart
import org.sesamerouter.front.MAX_FRAME_BYTES
import org.sesamerouter.propagation.decompress
import kotlin.random.Random

private const val HOSTS = 65
private const val ENGINES = 63
private const val MOST_HOSTS = 111
private const val FRAME_HEADER_BYTES = 5
private const val RECIPIENTS = 24 // a data centre of 23 hosts and two other relays
private const val BATCHES_PER_S = 10
private const val SHARED_PARTS = 120 // of all kinds of requests
private const val PART_SPREAD = 48_271
private const val WEAKEST_LINK_BYTES_PER_S = 875_000.0 // 7 Mbit/s

/**
 * In a burst of 400 requests for engines a second, each changes the load of one engine twice. With 260 updates a
 * second that makes 3.1 reports an update.
 */
private fun update(
    host: Int,
    random: Random,
    changed: List<Int> = (0 until ENGINES).filter { random.nextInt(20) == 0 },
): ServingRequest.StateUpdate {
    val engines = changed.map { engine ->
        // The parts of a prompt are reported once: one that many prompts share and one of its own.
        val parts = listOf(random.nextInt(SHARED_PARTS), random.nextInt()).map {
            PromptPart("%08x".format(it * PART_SPREAD), random.nextInt(20, 5_000))
        }.filter { engine % 2 == 0 }
        EngineReport("i-${engine.toString(16).padStart(10, '7')}", random.nextLong(20_000), random.nextInt(6), parts)
    }
    val times = RankedTimes((0..5).associateWith { listOf(DueTime(0, 400.0 + it), DueTime(900, 700.0 + it)) })
    return ServingRequest.StateUpdate(
        "front-strefa-a-$host",
        7,
        engines = engines,
        pools = listOf(PoolReport("p", times)),
    )
}

class StateUpdateSizeSpec :
    FunSpec({
        // On links of 7 Mbit/s the relays had no room left, missed pings and counted the owners of pools as silent.
        test("reports of the engines of a fleet of 65 hosts under load take less than half of a relay's weakest link") {
            val random = Random(71)
            val bytes = (1..BATCHES_PER_S).sumOf {
                // Each host sends four updates a second, so a batch has those of four hosts out of ten.
                val updates = (0 until HOSTS).filter { random.nextInt(10) < 4 }.map { update(it, random) }
                val frame =
                    checkNotNull(encodeFrame(PeerFrame(0, ServingRequest.StateUpdates("a", isFinal = true, updates))))
                frame.readableBytes().also { frame.release() }
            }
            bytes.toDouble() * RECIPIENTS shouldBeLessThan WEAKEST_LINK_BYTES_PER_S / 2
        }

        // The largest fleet of the simulations; a frame over the limit closes the connection of its sender.
        test("a message with the reports of 111 hosts on all engines is below the limit of frames") {
            val random = Random(71)
            val updates = (0 until MOST_HOSTS).map { update(it, random, (0 until ENGINES).toList()) }
            val frame =
                checkNotNull(encodeFrame(PeerFrame(0, ServingRequest.StateUpdates("a", isFinal = true, updates))))
            val content = ByteArray(frame.skipBytes(FRAME_HEADER_BYTES).readableBytes()).also { frame.readBytes(it) }
            frame.release()
            val bytes = checkNotNull(decompress(content)).size
            println("reports of $MOST_HOSTS hosts on $ENGINES engines: $bytes bytes")
            bytes shouldBeLessThan MAX_FRAME_BYTES
        }
    })
