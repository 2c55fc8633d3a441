/*
 * Guards against LOST: a process that runs out of memory, since decoded header lines take tens of times their size on
 * the wire. The crowd, the heap and the bounds are fixed; nothing is judged by time or by the share of served requests.
 */
package org.sesamerouter.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import org.sesamerouter.front.PlatformStandin
import org.sesamerouter.propagation.compress
import java.io.File
import java.nio.ByteBuffer

private const val CLIENTS = 80
private const val PIPELINED = 9 // the request in progress and as many as may wait behind it
private const val MAX_RESIDENT_BYTES = 200L * 1024 * 1024 // the smallest machine of the deployments has 290 MB
private const val MAX_DESCRIPTORS = 400

private const val FOREIGN_ENTRIES = 200
private const val FOREIGN_ENTRY_BYTES = 250_000
private const val FRAME_CLIENTS = 10
private const val LARGE_FRAME_BYTES = 15 * 1024 * 1024
private const val FRAME_PART_BYTES = 1024 * 1024
private const val PLAIN: Byte = 3 // versions of frames
private const val COMPRESSED: Byte = 4

private fun frame(version: Byte, size: Int, content: ByteArray): ByteArray =
    ByteBuffer.allocate(1 + Int.SIZE_BYTES + content.size).put(version).putInt(size).put(content).array()

private enum class HeadEnding { UNTERMINATED, PIPELINED }

class UntrustedClientsSpec :
    FunSpec({
        fun text(client: Int, shape: LineShape, ending: HeadEnding): String = when (ending) {
            HeadEnding.UNTERMINATED -> crowdedHead("/book/a", "$client", shape)

            HeadEnding.PIPELINED -> (1..PIPELINED).joinToString("") {
                crowdedHead("/book/a", "$client-$it", shape) +
                    "\r\n"
            }
        }

        fun checkAfter(host: CrowdedHost, peak: ProcessPeak) = withClue("$peak") {
            host.isAlive shouldBe true
            peak.residentBytes shouldBeLessThan MAX_RESIDENT_BYTES
            peak.descriptors shouldBeLessThan MAX_DESCRIPTORS
            host.answersOrdinaryRequest() shouldBe true
            host.isAlive shouldBe true
            println("untrusted clients: $peak")
        }

        for (shape in LineShape.entries) {
            for (ending in HeadEnding.entries) {
                test("a host outlives clients whose heads have many $shape lines and are $ending") {
                    CrowdedHost(File("target/untrusted/$shape-$ending")).use { host ->
                        host.awaitReady() shouldBe true
                        checkAfter(host, host.load(CLIENTS) { text(it, shape, ending) })
                    }
                }
            }
        }

        // The ports that callers and the platform ask share the budget of the port for requests.
        test("a host outlives clients whose heads on its other ports have many lines") {
            CrowdedHost(File("target/untrusted/ports")).use { host ->
                host.awaitReady() shouldBe true
                val ports = with(host.addresses) { listOf(readiness, directory, "$ip:$metrics") }
                for (port in ports) {
                    checkAfter(host, host.load(CLIENTS, port) { text(it, LineShape.EMPTY, HeadEnding.UNTERMINATED) })
                }
            }
        }

        // Guards against LOST: a frame of 16 kB expands to 16 MB, and parts of many large frames are held.
        test("a host outlives frames that expand, and parts of large frames, on its link port") {
            CrowdedHost(File("target/untrusted/link")).use { host ->
                host.awaitReady() shouldBe true
                val link = with(host.addresses) { "$ip:$link" }
                val expanding = compress(ByteArray(LARGE_FRAME_BYTES))
                checkAfter(host, host.loadUnread(FRAME_CLIENTS, link, frame(COMPRESSED, expanding.size, expanding)))
                val part = frame(PLAIN, LARGE_FRAME_BYTES, ByteArray(FRAME_PART_BYTES))
                checkAfter(host, host.loadUnread(CLIENTS, link, part))
            }
        }

        // Guards against RECOVER: the values of all pages of a list are kept until the last one has come.
        test("a host starts beside entries of another writer that are larger than its heap") {
            val prepare = { platform: PlatformStandin ->
                platform.store.pageSize = 3
                repeat(FOREIGN_ENTRIES) {
                    platform.store.put("keyed.servers", "x-$it", "?".repeat(FOREIGN_ENTRY_BYTES))
                }
            }
            CrowdedHost(File("target/untrusted/entries"), prepare = prepare).use { host ->
                host.awaitReady() shouldBe true
                host.answersOrdinaryRequest() shouldBe true
                host.isAlive shouldBe true
            }
        }

        test("one request of each shape is served when there is no load") {
            CrowdedHost(File("target/untrusted/single")).use { host ->
                host.awaitReady() shouldBe true
                for (shape in LineShape.entries) {
                    exchange(
                        host.addresses.requests,
                        crowdedHead("/look/a", "single-$shape", shape) + "\r\n",
                    ) shouldStartWith
                        "HTTP/1.1 200"
                }
            }
        }
    })
