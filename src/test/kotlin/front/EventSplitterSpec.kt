/*
 * Tests that a stream is split at event boundaries, however its bytes are divided into chunks.
 */
package org.sesamerouter.front

import com.sun.management.ThreadMXBean
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.netty.buffer.Unpooled
import org.sesamerouter.histories
import java.lang.management.ManagementFactory
import kotlin.random.Random

private const val LONG_EVENT_BYTES = 64 * 1024
private const val MAX_ALLOCATED_PER_BYTE = 64L

private fun splitterOf(vararg parts: String) = EventSplitter().apply {
    parts.forEach { add(Unpooled.wrappedBuffer(it.toByteArray())) }
}

class EventSplitterSpec :
    FunSpec({
        test("data without the end of an event is too long at some point") {
            val splitter = EventSplitter()
            repeat(4) { splitter.add(Unpooled.wrappedBuffer(ByteArray(64 * 1024) { 'x'.code.toByte() })) }
            splitter.isTooLong shouldBe false
            splitter.add(Unpooled.wrappedBuffer(ByteArray(1)))
            splitter.isTooLong shouldBe true
        }

        // Guards against a target in trouble that keeps a stream open, and its host busy, with what is no event.
        test("comments and blank lines without an event are too long at some point") {
            for (filler in listOf("\n", "\r\n", ":\n", ": comment\n\n")) {
                val splitter = splitterOf("id: 1\ndata: x\n\n")
                val part = filler.repeat(64 * 1024 / filler.length)
                repeat(4) { splitter.add(Unpooled.wrappedBuffer(part.toByteArray())) }
                splitter.isTooLong shouldBe false
                splitter.add(Unpooled.wrappedBuffer(part.toByteArray()))
                splitter.isTooLong shouldBe true
            }
        }

        // Guards against CONFIG: a body in small chunks whose event never ends holds up the event loop for seconds.
        test("the cost of a byte does not grow with the bytes that wait for the end of their event") {
            val splitter = EventSplitter()
            val part = Unpooled.wrappedBuffer(byteArrayOf('x'.code.toByte()))
            val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
            val before = threads.currentThreadAllocatedBytes
            repeat(LONG_EVENT_BYTES) { splitter.add(part.readerIndex(0)) }
            val allocated = threads.currentThreadAllocatedBytes - before
            allocated shouldBeLessThan LONG_EVENT_BYTES * MAX_ALLOCATED_PER_BYTE
            splitter.isInsideEvent shouldBe true
        }

        // Guards against ORDER: events that come twice, since the stream is resumed after an earlier one.
        test("a stream is not resumed after an event without an id, which the other target would send again") {
            val event = "id: 1\r\ndata: x\r\n\r\n"
            val other = "data: y\n\n"
            splitterOf("").isResumable shouldBe true
            splitterOf(event).isResumable shouldBe true
            splitterOf(event, other).isResumable shouldBe false
            splitterOf(event + other).isResumable shouldBe false
            splitterOf(other + event).isResumable shouldBe true
            splitterOf(event, ": comment\n\n", "\n", "data: part").isResumable shouldBe true
            splitterOf(event, ": comment\n\n", "\n", "data: part").lastId shouldBe "1"
        }

        test("only complete events are passed on, and the id of the last one is known") {
            checkAll(histories(seed = 41), Arb.long()) { seed ->
                val random = Random(seed)
                val events = List(random.nextInt(1, 9)) { "id: ${it + 1}\ndata: ${"x".repeat(random.nextInt(30))}\n\n" }
                val bytes = events.joinToString("").toByteArray()
                val end = random.nextInt(bytes.size + 1)
                val splitter = EventSplitter()
                val passed = StringBuilder()
                var at = 0
                while (at < end) {
                    val next = minOf(end, at + random.nextInt(1, 25))
                    splitter.add(Unpooled.wrappedBuffer(bytes, at, next - at))?.let {
                        passed.append(it.toString(Charsets.UTF_8))
                    }
                    at = next
                }
                val whole = events.runningFold(0) { sum, event -> sum + event.length }.indexOfLast { it <= end }
                passed.toString() shouldBe events.take(whole).joinToString("")
                splitter.lastId shouldBe if (whole == 0) null else "$whole"
                splitter.isInsideEvent shouldBe (end > passed.length)
                splitter.takeRest().readableBytes() shouldBe end - passed.length
            }
        }

        test("a stream that ends after an event, comments or blank lines does not end inside an event") {
            val event = "id: 1\ndata: x\n\n"
            for (rest in listOf("", "\n", "\r\n", ": last\n", ": one\r\n: two\r\n")) {
                splitterOf(event + rest).isInsideEvent shouldBe false
                splitterOf(event, rest).isInsideEvent shouldBe false
            }
            for (rest in listOf(
                ":",
                ": comment",
                "d",
                "data: y",
                "data: y\n",
                "data: y\r\n",
                "data: y\r\n\r",
                ": one\nid: 2\n",
            )) {
                splitterOf(event + rest).isInsideEvent shouldBe true
                splitterOf(event, rest).isInsideEvent shouldBe true
            }
        }
    })
