/*
 * Guards against LOST: a process that ends, or a host that stops serving, since a number that a caller or a target
 * wrote sizes a list, a timer or a sum. Each number is sent to a real process with a small heap.
 */
package org.sesamerouter.soak

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.io.File

private val NUMBERS =
    listOf("-1", "0", "1000000", "2147483647", "2147483648", "9223372036854775807", "1e308", "none")

private val CALLER_HEADERS: Map<String, (String) -> String> = mapOf(
    "Pieces" to { it },
    "Prefix-Hash" to { "a:$it,b:$it" },
    "Token-Counts" to { "$it,$it" },
    "Deadline-Ms" to { it },
    "Last-Event-Id" to { it },
    "Content-Length" to { it },
    "Length-Hint" to { it },
)

private val TARGET_HEADERS: Map<String, (String) -> String> = mapOf(
    "Retry-After" to { it },
    "Cold-Ms" to { it },
    "Server-Load" to { "$it,$it,$it,$it" },
    "Server-Leaving" to { it },
    "Keep-Alive" to { "timeout=$it" },
    "Weight-Versions" to { it },
    "Content-Length" to { it },
)

class OddNumbersSpec :
    FunSpec({
        fun head(path: String, id: String, vararg lines: String) =
            "GET $path HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k1\r\nRequest-Id: $id\r\n" +
                lines.joinToString("") { "$it\r\n" } + "Connection: close\r\n\r\n"

        fun plan(id: String, pieces: String) =
            head("/plan/a", id, "Pieces: $pieces", "Piece-Key: k", "Deadline-Ms: 4000")

        test("a host outlives any number in the headers of a caller") {
            CrowdedHost(File("target/untrusted/caller-numbers")).use { host ->
                host.awaitReady() shouldBe true
                for ((name, value) in CALLER_HEADERS) {
                    for (number in NUMBERS) {
                        val lines = arrayOf("$name: ${value(number)}", "Piece-Key: k")
                        for (path in listOf("/plan/a", "/look/a")) {
                            exchange(host.addresses.requests, head(path, "$name-$number-$path", *lines))
                        }
                        withClue("$name: ${value(number)}") { host.isAlive shouldBe true }
                    }
                    withClue(name) { host.answersOrdinaryRequest() shouldBe true }
                }
                exchange(host.addresses.requests, plan("last", "3")) shouldStartWith "HTTP/1.1 200"
            }
        }

        test("a host outlives any number in the headers of a target") {
            CrowdedHost(File("target/untrusted/target-numbers")).use { host ->
                host.awaitReady() shouldBe true
                for ((name, value) in TARGET_HEADERS) {
                    for (number in NUMBERS) {
                        for (status in listOf("200 OK", "503 Service Unavailable")) {
                            val lines =
                                arrayOf("Answer-Line: $name: ${value(number)}", "Answer-Status: $status", "Pieces: 1")
                            exchange(host.addresses.requests, head("/plan/a", "$name-$number-$status", *lines))
                        }
                        withClue("$name: ${value(number)}") { host.isAlive shouldBe true }
                    }
                    withClue(name) { host.answersOrdinaryRequest() shouldBe true }
                }
            }
        }

        // Guards against LOST: a list with an item for each piece takes more than the heap.
        test("a request with more pieces than its pool can serve is rejected and ends no process") {
            CrowdedHost(File("target/untrusted/pieces")).use { host ->
                host.awaitReady() shouldBe true
                for (pieces in listOf("100000", "1000000", "${Int.MAX_VALUE}")) {
                    val answer = exchange(host.addresses.requests, plan("many-$pieces", pieces))
                    withClue("$pieces pieces, process alive: ${host.isAlive}") {
                        answer shouldStartWith "HTTP/1.1 503"
                        answer.lowercase() shouldContain "retry-after: "
                    }
                }
                host.isAlive shouldBe true
                exchange(host.addresses.requests, plan("few", "3")) shouldStartWith "HTTP/1.1 200"
            }
        }

        test("a value that is no number of pieces for each stage is answered with 400") {
            CrowdedHost(File("target/untrusted/no-pieces")).use { host ->
                host.awaitReady() shouldBe true
                for (value in listOf("-1", "1.5", "2147483648", "many", "1,1")) {
                    withClue(value) {
                        exchange(host.addresses.requests, plan("no-$value", value)) shouldStartWith "HTTP/1.1 400"
                    }
                }
            }
        }
    })
