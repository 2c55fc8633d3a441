/*
 * End-to-end tests with injected faults: entry hosts, stand-ins and callers in one process, connected by real sockets.
 * They check the histories of the requests and never timing: no answer may be lost, doubled, crossed, truncated or
 * wrongly reported as "not run".
 */
package org.sesamerouter.experiment

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.configuration.ResourceKind
import java.net.Socket
import kotlin.concurrent.thread

private const val SEED = 71L
private const val REQUESTS_PER_SECOND = 60.0
private const val SECONDS = 6.0
private const val CLOSE = "connection: close"

class WholePathSpec :
    FunSpec({
        fun runWithFaults(
            hosts: Int = 4,
            transform: (PlannedCall, Int) -> PlannedCall = { call, _ -> call },
            faults: (Deployment) -> Unit,
        ): HistoryChecker {
            println("seed $SEED")
            val checker = HistoryChecker()
            val options = DeploymentOptions(hosts = hosts, seed = SEED, slotFactor = 0.25)
            Deployment(readExample("krakow"), options, checker::onRun).use { deployment ->
                deployment.apply()
                val dataCentres = deployment.hosts.map { it.settings.host.dataCentre }.distinct()
                val driver = LoadDriver(deployment.example.traffic, dataCentres, SEED, checker)
                val faultThread = thread { faults(deployment) }
                driver.run(driver.contextOf(deployment), listOf(LoadPhase(SECONDS, REQUESTS_PER_SECOND, transform)))
                faultThread.join()
                driver.close()
            }
            return checker
        }

        fun HistoryChecker.attained() = calls().count { it.ending == CallResult.ATTAINED }

        test("host kills and restarts, an engine crash and cut streams violate no guarantee") {
            val checker = runWithFaults { deployment ->
                val engines = deployment.targets.getValue("engines")
                engines[0].behaviour = engines[0].behaviour.copy(cutShare = 0.3)
                Thread.sleep(1_000)
                deployment.kill(deployment.hosts.first())
                engines[1].crash()
                Thread.sleep(1_000)
                deployment.startHost(0)
                engines[1].restart()
                Thread.sleep(1_000)
                deployment.kill(deployment.hosts.first())
            }
            checker.violatingCalls().map { "${it.uid} ${it.entry.name} ${it.ending} ${it.reason}" } shouldBe emptyList()
            checker.attained() shouldBeGreaterThan 0
        }

        test(
            "a log that loses replies and then fails violates no guarantee; callers' own keys run at most once",
        ) {
            val withOwnKeys = { call: PlannedCall, index: Int ->
                if (index % 2 == 0) call.copy(usesOwnKey = true) else call
            }
            val checker = runWithFaults(transform = withOwnKeys) { deployment ->
                deployment.log.behaviour = deployment.log.behaviour.copy(lostReplyShare = 0.5, latencyMs = 20)
                Thread.sleep(2_000)
                deployment.log.behaviour = deployment.log.behaviour.copy(down = true)
                Thread.sleep(2_000)
                deployment.log.behaviour = deployment.log.behaviour.copy(down = false, lostReplyShare = 0.0)
            }
            checker.violatingCalls().map { "${it.uid} ${it.entry.name} ${it.ending} ${it.reason}" } shouldBe emptyList()
            checker.calls().filter { it.entry.once && it.ending == CallResult.ATTAINED }.size shouldBeGreaterThan 0
        }

        test("graceful shutdown of one host after another interrupts no request") {
            val checker = runWithFaults { deployment ->
                deployment.hosts.take(2).forEachIndexed { i, host ->
                    deployment.startHost(4 + i)
                    deployment.stop(host)
                }
            }
            checker.violatingCalls().map { "${it.uid} ${it.entry.name} ${it.ending} ${it.reason}" } shouldBe emptyList()
            checker.calls().filter {
                it.ending in setOf(CallResult.FAILED, CallResult.UNKNOWN)
            }.map { it.reason } shouldBe
                emptyList()
        }

        test(
            "a host that starts alone without state recovers it from the retained log, or from a peer in a log outage",
        ) {
            val options = DeploymentOptions(hosts = 2, seed = SEED, slotFactor = 0.25)
            Deployment(readExample("krakow"), options).use { deployment ->
                deployment.apply()
                deployment.log.behaviour = deployment.log.behaviour.copy(retained = 400)
                val organisation = deployment.example.declarations.first { it.kind == ResourceKind.ORGANISATION }
                repeat(500) {
                    val spec = JsonObject(mapOf("weight" to JsonPrimitive(1 + it % 9)))
                    deployment.put(organisation.copy(spec = spec)) shouldBe 200
                }
                deployment.awaitSettled()
                val before = deployment.hosts.first().dump().configuration
                deployment.hosts.forEach(deployment::kill)
                deployment.startHost(0)
                deployment.awaitReady()
                val recovered = deployment.hosts.single().dump().configuration
                recovered.resources shouldBe before.resources
                (recovered.revision >= before.revision) shouldBe true
                deployment.log.behaviour = deployment.log.behaviour.copy(down = true)
                deployment.startHost(1)
                deployment.awaitReady()
                deployment.hosts.last().dump().configuration.resources shouldBe before.resources
            }
        }

        test("a caller that reads slowly receives its complete long stream") {
            val tokens = 20_000
            val example = readExample("krakow")
            val pools = example.traffic.pools.mapValues { (_, b) -> b.copy(tokenMs = 0) }
            val fast = example.copy(traffic = example.traffic.copy(pools = pools))
            Deployment(fast, DeploymentOptions(hosts = 1, seed = SEED)).use { deployment ->
                deployment.apply()
                val address = deployment.hosts.single().httpAddress
                val options = "\"deadline_ms\":600000,\"max_tokens\":$tokens,\"stream\":true"
                val body = "{\"organisation\":\"wspolnota\",\"input\":1,$options}"
                Socket("127.0.0.1", address.substringAfter(':').toInt()).use { socket ->
                    val line = "POST /v1/pipelines/garment-tags HTTP/1.1"
                    val head = listOf(line, "host: a", "content-length: ${body.length}", CLOSE, "", body)
                    socket.getOutputStream().write(head.joinToString("\r\n").toByteArray())
                    Thread.sleep(2_000)
                    val answer = socket.getInputStream().readBytes().toString(Charsets.UTF_8)
                    Regex("event: token").findAll(answer).count() shouldBe tokens
                    Regex("event: end").findAll(answer).count() shouldBe 1
                }
            }
        }

        test("a request that crashes its targets crashes at most two of them, however often it is sent again") {
            var crashes = 0
            val poison = { call: PlannedCall, index: Int ->
                if (index % 20 != 0) {
                    call
                } else {
                    val entry = MixEntry("tags", pipeline = "garment-tags", share = 1, tokens = 8)
                    call.copy(uid = "poison", entry = entry, organisation = "wspolnota", poison = true)
                }
            }
            val checker = runWithFaults(transform = poison) { deployment ->
                val engines = deployment.targets.getValue("engines")
                repeat((SECONDS * 10).toInt() + 20) {
                    Thread.sleep(100)
                    engines.forEach { it.restart() }
                }
                crashes = engines.sumOf { it.crashes.get() }
            }
            crashes shouldBeLessThanOrEqual 2
            checker.violatingCalls().map { "${it.uid} ${it.entry.name} ${it.ending} ${it.reason}" } shouldBe emptyList()
        }
    })
