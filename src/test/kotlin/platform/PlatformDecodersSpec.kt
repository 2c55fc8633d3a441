/*
 * Tests of the platform's codecs: settings, declarations, discovery entries, store records, headers and stage calls,
 * including data from other writers and faulty targets.
 */
package org.sesamerouter.platform

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.sesamerouter.batching.CallItem
import org.sesamerouter.batching.Piece
import org.sesamerouter.batching.PieceOutcome
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.engine.PromptPart
import org.sesamerouter.routing.ReportedLoad
import org.sesamerouter.routing.TargetNotice
import org.sesamerouter.serving.ColdStart
import org.sesamerouter.serving.PoolCapacity
import org.sesamerouter.serving.RouteKind
import java.nio.ByteBuffer

private val SETTINGS = """
    node=front-1
    ip=10.1.0.4
    zone=west
    listen.front=10.1.0.4:8625
    listen.ready=10.1.0.4:8621
    listen.directory=10.1.0.4:8620
    port-range=7740,7755
    seeds=10.1.0.4:8628,10.2.0.5:8628
    platform.address=10.200.1.7:8624
    bounds.grace-s=8
    bounds.retry-ratio=0.2
    some.new.field=x
""".trimIndent()

private val ENTRY = """
    {"service":"stock","address":"10.128.0.9:8080","zone":"west","version":"v1","slots":6,"state":"ready",
     "cold-left-ms":0,"seq-no":4,"born":1780900284873}
""".trimIndent()

private val CONFIG = """
    {"version":7,"routes":[
      {"name":"r1","host":"shop.example","path-prefix":"/a/","kind":"streaming","timeout-ms":12000,
       "target-latency-ms":1400,"priority":1,"split":[{"service":"m","weight":90},{"service":"n","weight":10}],
       "max-attempts":2,"stages":[{"service":"s","after":[],"bytes":800000}],"public":false,"sticky":true,
       "resumable":true,"gap-aim-ms":400},
      {"name":"r2","host":"shop.example","path-prefix":"/a/b/","kind":"unsafe","timeout-ms":1200.5,
       "target-latency-ms":150,"priority":2,"service":"p","max-attempts":1,"public":true}],
     "services":[{"name":"m","health-path":"/health","max-conns":270,"protocol":"h1","tls":false,
       "engine":{"slots":64,"kv-capacity":607174}},
      {"name":"s","health-path":"/health","max-conns":270,
       "pieces":{"slots":1,"queue":2,"batch":7,"call-ms":240.0,"item-ms":29.5,"headroom-mb":8.4}}],
     "tenants":[{"name":"o1","api-keys":["k1","k2"],"priority":0}],
     "limits":{"max-header-bytes":8000,"max-body-bytes":100000,"header-timeout-ms":5000,"idle-timeout-ms":9000}}
""".trimIndent()

private val STAGE_TARGET = TargetEntry("i-1", "s", "10.0.0.7:80", "west", 1, false, 1)

class PlatformDecodersSpec :
    FunSpec({
        test("settings are read, unknown names are ignored, and links use the first port of the port range") {
            val settings = parsePlatformSettings(SETTINGS).get().shouldNotBeNull()
            settings.linkAddress shouldBe "10.1.0.4:7740"
            settings.seedAddresses shouldContainExactly listOf("10.1.0.4:7740", "10.2.0.5:7740")
            settings.graceMs shouldBe 8_000
        }

        test("incomplete settings are rejected with a message that lists all missing names") {
            val fault = parsePlatformSettings("node=a\nip=10.0.0.1").getError().shouldNotBeNull()
            fault.message shouldContain "zone"
            fault.message shouldContain "platform.address"
        }

        test("settings with a bad port range or a bad number are rejected with the name and what is expected") {
            for (range in listOf("7740", "7755,7740", "0,7755", "a,b", "7740,70000", "7740,7741,7742")) {
                val fault = parsePlatformSettings(SETTINGS.replace("7740,7755", range)).getError().shouldNotBeNull()
                fault.message shouldContain "port-range"
            }
            for (number in listOf("soon", "-1", "NaN")) {
                val fault = parsePlatformSettings("$SETTINGS\nbounds.ttl_max_s=$number").getError().shouldNotBeNull()
                fault.message shouldContain "bounds.ttl_max_s"
            }
            parsePlatformSettings("$SETTINGS\nbounds.ttl_max_s=1.5").get()?.addressTtlMs shouldBe 1_500
        }

        // Guards against a reload that ends the thread of the settings, so that later changes are not seen.
        test("settings with a malformed escape are rejected with a message") {
            val fault = parsePlatformSettings("$SETTINGS\nextra=\\u12").getError().shouldNotBeNull()
            fault.message shouldContain "backslash"
        }

        test("declarations are decoded: longest prefix match, shares, result space, API keys and limits") {
            val config = decodeServingConfig(CONFIG).shouldNotBeNull()
            config.version shouldBe 7
            val stream = config.route("SHOP.example", "/a/x").shouldNotBeNull()
            stream.name shouldBe "r1"
            stream.isIdempotent shouldBe true
            stream.shares.map { it.weight } shouldContainExactly listOf(90, 10)
            config.route("shop.example", "/a/b/c")?.kind shouldBe RouteKind.UNSAFE
            config.route("shop.example", "/b").shouldBeNull()
            config.services.getValue("s").batch?.resultSpaceBytes shouldBe 8_400_000
            config.organisationOf("k2")?.rank shouldBe 0
            config.organisationOf("k3").shouldBeNull()
            config.limits.idleTimeoutMs shouldBe 9_000
        }

        // Guards against hosts that keep an old configuration, or divide by zero, since a declared number is odd.
        test("declarations with any number in any place are in force, with counts that can be divided by and added") {
            val declared = Regex("\"([a-z-]+)\":([0-9.]+)").findAll(CONFIG).toList()
            for (number in listOf("-1", "0", "2147483647", "2147483648", "9223372036854775807", "1e308")) {
                for (match in declared.filter { it.groupValues[1] != "version" }) {
                    val (name, value) = match.destructured
                    val text = CONFIG.replaceRange(match.range, "\"$name\":$number")
                    withClue("$name $value as $number") {
                        val config = decodeServingConfig(text).shouldNotBeNull()
                        val pool = config.services.getValue("s").batch.shouldNotBeNull()
                        (PoolCapacity(pool, 3).leastMs(Int.MAX_VALUE.toLong()) >= 0) shouldBe true
                        (pool.slots + pool.maxPieces > 0) shouldBe true
                        config.route("shop.example", "/a/x").shouldNotBeNull().shares.sumOf {
                            it.weight
                        } shouldBeGreaterThan
                            -1
                    }
                }
            }
        }

        test("an invalid configuration is rejected") {
            decodeServingConfig("{").shouldBeNull()
            decodeServingConfig("""{"version":1}""").shouldBeNull()
        }

        test("a discovery entry of a target is decoded, including its incarnation") {
            val entry = decodeTargetEntry("i-1", ENTRY).shouldNotBeNull()
            entry.startTimeMs shouldBe 1780900284873
            entry.isDraining shouldBe false
            decodeTargetEntry("i-1", ENTRY.replace("\"ready\"", "\"draining\""))?.isDraining shouldBe true
        }

        // Guards against full load on a cold target because of a number of another form, or a limit where none is
        // meant.
        test("cold starts are decoded from services, entries, answers and settings") {
            val cold = CONFIG.replace("\"max-conns\":270,\"prot", "\"cold-start-s\":3.0,\"cold-per-s\":15.0,\"prot")
            decodeServingConfig(cold)?.services?.getValue("m")?.coldStart shouldBe ColdStart(3_000, 15.0)
            decodeServingConfig(CONFIG)?.services?.getValue("m")?.coldStart.shouldBeNull()
            decodeTargetEntry("i-1", ENTRY.replace("ms\":0", "ms\":2850.5"))?.coldLeftMs shouldBe 2_850
            decodeTargetEntry("i-1", ENTRY)?.coldLeftMs shouldBe 0
            decodeColdNotice(DefaultHttpHeaders().set("Cold-Ms", "1200"))?.coldMs shouldBe 1_200
            listOf("0", "-4", "soon").forEach {
                decodeColdNotice(DefaultHttpHeaders().set("Cold-Ms", it)).shouldBeNull()
            }
            val bounds = parsePlatformSettings("$SETTINGS\nbounds.cold-over=1.5\nbounds.cold-slack=5").get()
            bounds?.coldOver shouldBe 1.5
            bounds?.coldSlack shouldBe 5.0
        }

        // Guards against a request that leaves the regions of its route or its organisation.
        test(
            "allowed regions of a route and an organisation bind together, and settings name the region of each zone",
        ) {
            val regions = CONFIG.replace("\"public\":true", "\"public\":true,\"allowed-regions\":[\"eu\",\"us\"]")
                .replace("\"priority\":0", "\"priority\":0,\"allowed-regions\":[\"eu\",\"asia\"]")
            val config = decodeServingConfig(regions).shouldNotBeNull()
            val route = config.route("shop.example", "/a/b/c").shouldNotBeNull()
            config.allowedRegions(config.organisationOf("k1"), route) shouldBe setOf("eu")
            config.allowedRegions(null, route) shouldBe setOf("eu", "us")
            config.allowedRegions(null, config.routes.first()).shouldBeNull()
            parsePlatformSettings("$SETTINGS\nregion=eu\nzones.east=us").get()?.regions shouldBe
                mapOf("west" to "eu", "east" to "us")
            parsePlatformSettings(SETTINGS).get()?.regions shouldBe emptyMap()
        }

        test("entries with missing or invalid fields describe no target") {
            val foreign = listOf(
                "", "not json", "[]", "17", "{}",
                ENTRY.replace("\"ready\"", "\"resting\""),
                ENTRY.replace("\"10.128.0.9:8080\"", "8080"),
                ENTRY.replace("\"10.128.0.9:8080\"", "\"nowhere\""),
                ENTRY.replace("\"slots\":6", "\"slots\":\"six\""),
                ENTRY.replace("\"service\":\"stock\",", ""),
                ENTRY.replace("\"zone\":\"west\"", "\"zone\":null"),
            )
            foreign.forEach { decodeTargetEntry("i-1", it).shouldBeNull() }
        }

        // Guards against ROUTE: an entry of another writer puts a server under a service that is not its own.
        test("an entry names no target if any field of the list is missing or of another type") {
            val fields = Regex("\"([a-z-]+)\":(\"[^\"]*\"|[0-9]+)").findAll(ENTRY).toList()
            fields.map { it.groupValues[1] } shouldContainExactly
                listOf("service", "address", "zone", "version", "slots", "state", "cold-left-ms", "seq-no", "born")
            for (field in fields) {
                val (name, value) = field.destructured
                val others = if (value.startsWith(
                        "\"",
                    )
                ) {
                    listOf("7", "null", "[]")
                } else {
                    listOf("\"none\"", "null", "true", "{}")
                }
                for (other in others) {
                    withClue("$name is $other") {
                        decodeTargetEntry("i-1", ENTRY.replaceRange(field.range, "\"$name\":$other")).shouldBeNull()
                    }
                }
                if (name == "born") continue // the platform's example of an entry does not have it
                withClue("without $name") {
                    decodeTargetEntry("i-1", ENTRY.replaceRange(field.range, "\"other\":1")).shouldBeNull()
                }
            }
        }

        test("decoded records have consecutive offsets, and a record without a value removes its key") {
            fun record(key: String, value: String): ByteArray {
                val body = byteArrayOf(key.length.toByte()) + key.toByteArray() + value.toByteArray()
                return ByteBuffer.allocate(4).putInt(body.size).array() + body
            }
            val head = ByteBuffer.allocate(16).putLong(12).putLong(3).array()
            val read = decodeRecords(head + record("a", "one") + record("b", ""), 10).shouldNotBeNull()
            read.end shouldBe 12
            read.records.map { Triple(it.key, it.text, it.offset) } shouldContainExactly
                listOf(Triple("a", "one", 10L), Triple("b", null, 11L))
            decodeRecords(head + byteArrayOf(0, 0, 0, 9, 1), 10).shouldBeNull()
            decodeRecords(byteArrayOf(1), 10).shouldBeNull()
            for (cut in 1..3) decodeRecords(head + record("a", "one") + ByteArray(cut), 10).shouldBeNull()
        }

        test("reserved and hop-by-hop headers of a caller are not forwarded to a target, other headers are") {
            val caller = DefaultHttpHeaders()
                .add("Host", "shop.example").add("Request-Id", "r1").add("Authorization", "Bearer k1")
                .add("Tenant", "other").add("Hold", "h").add("Pin-Ms", "1").add("Kv-Backup", "x").add("Kv-From", "y")
                .add("Inputs", "10.0.0.1:80/z").add("Expect-Instance", "i-9").add("Request-Priority", "0")
                .add("Connection", "keep-alive, X-Hop").add("X-Hop", "1").add("X-Own", "2").add("Model", "m")
            val sent = encodeSendHeaders(caller, SendHeaders("i-1", "o1", 700, listOf("a/1", "b/2"), null, 2))
            sent.get("Tenant") shouldBe "o1"
            sent.get("Expect-Instance") shouldBe "i-1"
            sent.get("Deadline-Ms") shouldBe "700"
            sent.get("Inputs") shouldBe "a/1,b/2"
            sent.get("Request-Priority") shouldBe "2"
            sent.get("X-Own") shouldBe "2"
            sent.get("Model") shouldBe "m"
            listOf("Authorization", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "X-Hop", "Connection")
                .forEach { sent.get(it).shouldBeNull() }
        }

        test("a caller's headers are decoded") {
            val headers = DefaultHttpHeaders()
                .add("Host", "shop.example:80").add("Request-Id", "r1").add("Authorization", "Bearer k1")
                .add("Deadline-Ms", "2500").add("Token-Counts", "1460,80").add("Pieces", "2,0,6").add("Piece-Key", "p")
                .add("Prefix-Hash", "5c1e07a2:800,91bd3f06:410")
            val caller = decodeCallerHeaders(headers)
            caller.authority shouldBe "shop.example"
            caller.key shouldBe "k1"
            caller.pieces shouldContainExactly listOf(2, 0, 6)
            caller.parts shouldContainExactly listOf(PromptPart("5c1e07a2", 800), PromptPart("91bd3f06", 410))
        }

        // Guards against LOST: lists of 16 kB that become thousands of parts in the state of each engine and in
        // messages.
        test("very many parts of a prompt are few parts with the same tokens, and impossible ones are none") {
            val list = (1..4_000).joinToString(",") { "$it:1" }
            val parts = decodeCallerHeaders(
                DefaultHttpHeaders().set("Prefix-Hash", "bad:-5,worse:2000000000,$list"),
            ).parts
            parts.size shouldBe 64
            parts.sumOf { it.tokens } shouldBe 4_000
            parts.first() shouldBe PromptPart("1", 1)
            parts.last().id shouldBe "4000"
        }

        test("headers that a long Connection list names are not forwarded, others are") {
            val caller = DefaultHttpHeaders().set("Connection", (1..3_000).joinToString(", ") { "X-$it" })
            (2_999..3_002).forEach { caller.add("x-$it", "v") }
            val sent = encodeSendHeaders(caller, SendHeaders("t", null, 1, emptyList(), null, null))
            sent.names().filter { it.startsWith("x-") }.toSet() shouldBe setOf("x-3001", "x-3002")
        }

        test("load, 'not run' and a missing stamp are decoded from the head of a response") {
            val headers = DefaultHttpHeaders().add("Server-Load", "3, 1,8").add("Not-Run", "1")
            val head = decodeResponseHead(200, headers)
            head.load shouldBe ReportedLoad(3, 1, 8)
            head.isNotRun shouldBe true
            head.hasProof shouldBe false
            decodeResponseHead(200, DefaultHttpHeaders().add("Server-Load", "many")).load.shouldBeNull()
        }

        test("a load report may state the time of work; one that cannot be decoded is passed on to be counted") {
            fun head(text: String) = decodeResponseHead(200, DefaultHttpHeaders().add("Server-Load", text))
            head("3,1,8,250").load shouldBe ReportedLoad(3, 1, 8, 250)
            head("3,1,8").invalidLoad.shouldBeNull()
            decodeResponseHead(200, DefaultHttpHeaders()).invalidLoad.shouldBeNull()
            for (invalid in listOf(
                "",
                "3,1",
                "3,1,8,",
                "3,1,8,0",
                "3,1,8,-5",
                "-1,0,8",
                "3,1,8,9999999999",
                "1,1,1,1,1",
            )) {
                head(invalid).load.shouldBeNull()
                head(invalid).invalidLoad shouldBe invalid
            }
        }

        test("a response tells that its target is leaving or wants a pause; a response of another target does not") {
            fun notice(status: Int, vararg headers: Pair<String, String>) = decodeResponseHead(
                status,
                DefaultHttpHeaders().apply { headers.forEach { (name, value) -> set(name, value) } },
            ).notice
            notice(200, "Server-Leaving" to "1") shouldBe TargetNotice(isLeaving = true, pauseMs = 0)
            notice(500, "Server-Leaving" to "1")?.isLeaving shouldBe true
            notice(421, "Server-Leaving" to "1", "Not-Run" to "1").shouldBeNull()
            notice(200, "Server-Leaving" to "0").shouldBeNull()
            notice(503, "Retry-After" to "0.25") shouldBe TargetNotice(isLeaving = false, pauseMs = 250)
            notice(429, "Retry-After" to "3").shouldBeNull()
            for (invalid in listOf("", "soon", "-1", "0", "NaN", "Infinity")) {
                notice(503, "Retry-After" to invalid).shouldBeNull()
            }
        }

        test("the era of the store is read from the headers of its replies; unreadable ones count as none") {
            decodeStoreEra(DefaultHttpHeaders().set("Store-Era", "7")) shouldBe 7
            decodeStoreEra(DefaultHttpHeaders()) shouldBe 0
            decodeStoreEra(DefaultHttpHeaders().set("Store-Era", "x")) shouldBe 0
        }

        test("a stage call contains either a key or inputs for each piece") {
            val items = listOf(
                CallItem("r1", 0, Piece(2, "key1"), 900),
                CallItem("r2", 1, Piece(0, null, listOf("10.0.0.9:80/a")), 800),
            )
            val body = encodeStageRun(STAGE_TARGET, items).body.toString(Charsets.UTF_8)
            body shouldBe """{"items":[{"id":"r1","stage":0,"piece":2,"left-ms":900,"key":"key1"},""" +
                """{"id":"r2","stage":1,"piece":0,"left-ms":800,"inputs":["10.0.0.9:80/a"]}]}"""
        }

        test("a reply to another stage call is rejected") {
            val reply = """{"items":[{"handle":"10.0.0.7:80/a"},{"reason":"room"},{"reason":"what"}]}"""
            decodeStageRun(STAGE_TARGET, 3, reply).shouldNotBeNull() shouldContainExactly
                listOf(PieceOutcome.Made("10.0.0.7:80/a"), PieceOutcome.NoRoom, PieceOutcome.Failed)
            decodeStageRun(STAGE_TARGET, 2, reply).shouldBeNull()
            decodeStageRun(STAGE_TARGET, 1, """{"items":[{"handle":"10.0.0.8:80/a"}]}""").shouldBeNull()
            decodeStageRun(STAGE_TARGET, 1, "garbage").shouldBeNull()
        }
    })
