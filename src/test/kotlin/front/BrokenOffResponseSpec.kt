/*
 * Tests what a caller is shown of a response that its target broke off: generated cases over the framing of the
 * response, the place of the cut, line ends, what ended it, the kind of route and whether another target goes on.
 */
package org.sesamerouter.front

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.runBlocking
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val SEED = 24L
private const val CALLERS = 24
private const val SHORT_DEADLINE_MS = 600
private const val LONG_DEADLINE_MS = 8_000
private const val SHORT_GRACE_MS = 1_000L

private enum class Framing(val version: String, val isExplicit: Boolean) {
    LENGTH("1.1", true),
    CHUNKS("1.1", true),
    NONE("1.1", false),
    OLD_VERSION("1.0", false),
}

/** Where the bytes of the response end. */
private enum class Cut {
    NOWHERE,
    BEFORE_AN_EVENT,
    IN_AN_EVENT,
    BEFORE_A_BLANK_LINE,
    IN_A_BLANK_LINE,
    IN_THE_FIRST_EVENT,
}

/** What ends the response. */
private enum class End {
    /** The target closes its connection, or the response ends as its framing tells. */
    IN_ORDER,

    /** The target resets its connection. */
    RESET,

    /** Nothing, until the deadline of the request. */
    DEADLINE,
}

private enum class RouteCase(val path: String, val isStream: Boolean, val isResumable: Boolean) {
    RESUMABLE("/plan/x", isStream = true, isResumable = true),
    STREAM("/chat/x", isStream = true, isResumable = false),
    SAFE("/look/x", isStream = false, isResumable = false),
    UNSAFE("/book/x", isStream = false, isResumable = false),
}

/**
 * @property isFramingKept whether the length or the last chunk matches what was sent, so that the framing is complete.
 * @property goesOn whether another target goes on with the stream.
 */
private data class Case(
    val framing: Framing,
    val isFramingKept: Boolean,
    val eol: String,
    val cut: Cut,
    val end: End,
    val route: RouteCase,
    val goesOn: Boolean,
    val events: List<String>,
    val sentBytes: Int,
) {
    val whole = events.joinToString("")
    val sent = whole.take(sentBytes)

    /** The events that were sent to their end; all that was sent if the body is no stream. */
    val sentEvents = if (route.isStream) {
        events.runningFold("") { all, event -> all + event }.last { it.length <= sentBytes }
    } else {
        sent
    }

    /** Whether the target's response was complete. */
    val isTargetComplete =
        (if (framing.isExplicit) isFramingKept else end == End.IN_ORDER) && end == End.IN_ORDER && sent == sentEvents

    val isResumed = !isTargetComplete && end != End.DEADLINE && goesOn && route.isResumable
}

private fun eventsOf(random: Random, eol: String) =
    List(3) { "id: ${it + 1}${eol}data: ${"x".repeat(1 + random.nextInt(20))}$eol$eol" }

private fun cutOf(cut: Cut, events: List<String>, eol: String, random: Random): Int {
    val firstTwo = events[0].length + events[1].length
    return when (cut) {
        Cut.NOWHERE -> events.sumOf { it.length }
        Cut.BEFORE_AN_EVENT -> firstTwo
        Cut.IN_AN_EVENT -> firstTwo + 1 + random.nextInt(events[2].length - 2 * eol.length - 1)
        Cut.BEFORE_A_BLANK_LINE -> firstTwo + events[2].length - eol.length
        Cut.IN_A_BLANK_LINE -> firstTwo + events[2].length - 1
        Cut.IN_THE_FIRST_EVENT -> 1 + random.nextInt(events[0].length - 1)
    }
}

private fun allCases(random: Random): List<Case> = buildList {
    for (framing in Framing.entries) {
        for (isKept in listOf(true, false)) {
            for (eol in listOf("\n", "\r\n")) {
                for (cut in Cut.entries) {
                    for (end in End.entries) {
                        for (route in RouteCase.entries) {
                            for (goesOn in listOf(true, false)) {
                                val events = eventsOf(random, eol)
                                val case =
                                    Case(
                                        framing, isKept, eol, cut, end, route, goesOn, events,
                                        cutOf(
                                            cut,
                                            events,
                                            eol,
                                            random,
                                        ),
                                    )
                                if (isSensible(case)) add(case)
                            }
                        }
                    }
                }
            }
        }
    }
}

private fun isSensible(case: Case): Boolean = when {
    // A response that its framing ends is over, whatever happens to its connection.
    case.framing.isExplicit && case.isFramingKept -> case.end == End.IN_ORDER

    !case.framing.isExplicit && !case.isFramingKept -> false

    !case.route.isStream && (case.goesOn || case.eol == "\r\n") -> false

    else -> true
}

private fun head(framing: Framing, id: String, contentType: String, length: Int) =
    "HTTP/${framing.version} 200 OK\r\nRequest-Id: $id\r\nServer-Stamp: stamp of $id\r\n" +
        "Content-Type: $contentType\r\nConnection: close\r\n" +
        when (framing) {
            Framing.LENGTH -> "Content-Length: $length\r\n\r\n"
            Framing.CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n"
            Framing.NONE, Framing.OLD_VERSION -> "\r\n"
        }

private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

/** Sends the response of [case] to the first arrival; resumes the stream or refuses at the next one. */
private fun respond(case: Case, request: RawRequest, socket: Socket, isOver: CountDownLatch) {
    if (request.number > 1) {
        val rest = case.events.drop(request.lastEventId).joinToString("")
        val answer = if (case.goesOn) {
            head(Framing.CHUNKS, request.id, "text/event-stream", 0) + chunk(rest) + "0\r\n\r\n"
        } else {
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ${request.id}\r\nNot-Run: 1\r\n" +
                "Connection: close\r\nContent-Length: 0\r\n\r\n"
        }
        socket.send(answer)
        return
    }
    val type = if (case.route.isStream) "text/event-stream" else "text/plain"
    val length = case.sent.length + if (case.isFramingKept) 0 else 10
    val body = if (case.framing == Framing.CHUNKS) chunk(case.sent) else case.sent
    val lastChunk = if (case.framing == Framing.CHUNKS && case.isFramingKept) "0\r\n\r\n" else ""
    socket.send(head(case.framing, request.id, type, length) + body + lastChunk)
    when (case.end) {
        End.IN_ORDER -> Unit
        End.RESET -> socket.resetAtClose()
        End.DEADLINE -> isOver.await()
    }
}

private fun request(id: String, path: String, deadlineMs: Int) =
    "POST $path HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: $id\r\nDeadline-Ms: $deadlineMs\r\n" +
        "Authorization: Bearer k1\r\nPieces: 0\r\nPrefix-Hash: ab:10,$id:5\r\nContent-Length: ${id.length}\r\n\r\n$id"

/** Starts a host whose targets respond to the request with number N as in the Nth of [cases]. */
private fun startedSite(cases: List<Case>, isOver: CountDownLatch, graceMs: Long = 8_000): Pair<Site, List<RawTarget>> {
    val site = Site(graceMs, retrySlack = 10.0 * cases.size)
    val arrivals = ConcurrentHashMap<String, Int>()
    val targets = List(4) {
        RawTarget(arrivals) { request, socket ->
            respond(cases[request.id.removePrefix("c").toInt()], request, socket, isOver)
        }
    }
    targets.forEachIndexed { number, target ->
        site.register("t$number", if (number < 2) "model" else "desk", target.address)
    }
    site.declare(1, "\"k1\"")
    site.startHost()
    site.awaitReady(1)
    return site to targets
}

private fun check(case: Case, answer: RawAnswer) {
    val isServed = answer.status == 200 && answer.isComplete
    when {
        case.isTargetComplete -> (answer.status to answer.isComplete to answer.body) shouldBe (200 to true to case.sent)
        case.isResumed -> (answer.status to answer.isComplete to answer.body) shouldBe (200 to true to case.whole)
        else -> isServed shouldBe false
    }
    // The framing that the caller gets claims no more than that of the target.
    if (case.isTargetComplete) answer.isFramed shouldBe case.framing.isExplicit
    // No part of an event is passed on.
    if (answer.status == 200 && !isServed) {
        case.sentEvents shouldStartWith answer.body
        if (case.route.isStream) answer.body shouldBe wholeEventsOf(case, answer.body)
        // A reset, also one of the caller's connection, may destroy data that was not read yet.
        if (case.end == End.IN_ORDER && answer.isFramed) answer.body shouldBe case.sentEvents
    }
}

private fun wholeEventsOf(case: Case, body: String) =
    case.events.runningFold("") { all, event -> all + event }.last { it.length <= body.length }

class BrokenOffResponseSpec :
    FunSpec({
        // Guards against ORDER: a stream that was broken off inside an event reaches its caller as complete.
        test(
            "a response is shown as complete only if the target's was, and a broken-off stream is resumed if it may be",
        ) {
            println("seed $SEED")
            val cases = allCases(Random(SEED))
            val isOver = CountDownLatch(1)
            val (site, targets) = startedSite(cases, isOver)
            val callers = Executors.newFixedThreadPool(CALLERS)
            val answers: List<Future<RawAnswer>> = cases.mapIndexed { number, case ->
                val deadlineMs = if (case.end == End.DEADLINE) SHORT_DEADLINE_MS else LONG_DEADLINE_MS
                val text = request("c$number", case.route.path, deadlineMs)
                callers.submit(Callable { exchangeRaw(site.requestAddress(0), text) })
            }
            val failures = cases.zip(answers).mapNotNull { (case, answer) ->
                val seen = answer.get(TIMEOUT_S, TimeUnit.SECONDS)
                runCatching { check(case, seen) }.exceptionOrNull()?.let { "$case: $seen" }
            }
            isOver.countDown()
            callers.shutdown()
            targets.forEach { it.close() }
            site.close()
            withClue("${failures.size} of ${cases.size} cases, the first: ${failures.firstOrNull()}") {
                failures.size shouldBe 0
            }
        }

        // Guards against ORDER: a broken-off response without a length whose caller sees an orderly end.
        test("a caller that does not know chunks sees a broken-off response as reset") {
            val target = RawTarget { request, socket ->
                val isWhole = request.id == "whole"
                socket.send(
                    head(
                        Framing.CHUNKS,
                        request.id,
                        "text/plain",
                        0,
                    ) + chunk("data") + if (isWhole) "0\r\n\r\n" else "",
                )
            }
            Site().use { site ->
                site.register("d0", "desk", target.address)
                site.declare(1, "\"k1\"")
                site.startHost()
                site.awaitReady(1)
                for (id in listOf("whole", "broken")) {
                    val text = request(id, "/book/x", LONG_DEADLINE_MS).replaceFirst("HTTP/1.1", "HTTP/1.0")
                    val answer = exchangeRaw(site.requestAddress(0), text)
                    answer.isFramed shouldBe false
                    answer.isComplete shouldBe (id == "whole")
                }
            }
            target.close()
        }

        // Guards against ORDER: a host that stops ends a response without a length as if the target had ended it.
        test("a stop ends the responses that are still in progress as broken off") {
            println("seed $SEED")
            val cases = allCases(Random(SEED)).filter {
                it.end == End.DEADLINE && !it.goesOn && it.eol == "\n" &&
                    it.cut in listOf(Cut.BEFORE_AN_EVENT, Cut.BEFORE_A_BLANK_LINE)
            }
            val isOver = CountDownLatch(1)
            val (site, targets) = startedSite(cases, isOver, SHORT_GRACE_MS)
            val callers = Executors.newCachedThreadPool()
            val answers = cases.mapIndexed { number, case ->
                val text = request("c$number", case.route.path, LONG_DEADLINE_MS)
                callers.submit(Callable { exchangeRaw(site.requestAddress(0), text) })
            }
            runBlocking { eventually(TIMEOUT) { targets.sumOf { it.received.size } shouldBe cases.size } }
            site.stop(0)
            cases.zip(answers).forEach { (case, answer) ->
                val seen = answer.get(TIMEOUT_S, TimeUnit.SECONDS)
                withClue("$case: $seen") { (seen.status == 200 && seen.isComplete) shouldBe false }
            }
            isOver.countDown()
            callers.shutdown()
            targets.forEach { it.close() }
            site.close()
        }
    })
