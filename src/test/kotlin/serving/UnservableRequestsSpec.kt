/*
 * Tests that a request costs this host no more than it can ever use: work that its pools cannot do by its deadline is
 * rejected before anything is made for its pieces, and work of usual size never is.
 */
package org.sesamerouter.serving

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.sesamerouter.histories
import org.sesamerouter.web.RequestLimits
import kotlin.math.ceil
import kotlin.random.Random

private const val LEFT_MS = 12_000L
private val POOL =
    BatchSpec(slots = 1, maxPieces = 17, callMs = 240.0, pieceMs = 12.0, resultSpaceBytes = 1_000_000_000)
private val ONE_STAGE = listOf(StageSpec("stock", emptyList(), 1_000))

private class CountedMemory(private val maxPieces: Long) : PieceMemory {
    var held = 0L
        private set

    override val freeBytes get() = maxPieces - held

    override fun bytesOf(pieces: Long) = pieces

    override fun tryHold(pieces: Long) = (pieces <= freeBytes).also { if (it) held += pieces }

    override fun release(pieces: Long) {
        held -= pieces
    }
}

private fun host(pool: BatchSpec, targets: Int = 1, memory: PieceMemory = UnboundedPieceMemory) = Host(memory).apply {
    val services = listOf("model", "stock").associateWith {
        ServiceSpec(it, "/health", 64, if (it == "stock") pool else null, null)
    }
    context.config = ServingConfig(1, emptyList(), services, emptyList(), RequestLimits())
    context.targets = (1..targets).map { target("m$it", "stock") }
}

private fun Host.plan(pieces: Int, stages: List<StageSpec> = ONE_STAGE) =
    arrive(route(RouteKind.STREAM, stages = stages).copy(timeoutMs = LEFT_MS), listOf(pieces), deadlineMs = LEFT_MS)

class UnservableRequestsSpec :
    FunSpec({
        // Guards against LOST: a process that ends since it makes something for each of a million pieces.
        for (pieces in listOf(1_000, 20_000, 200_000, 1_000_000, Int.MAX_VALUE)) {
            test("$pieces pieces that take a pool longer than the deadline are rejected at once, without a job") {
                val effects = host(POOL).plan(pieces)
                effects.stageJobs().shouldBeEmpty()
                val reject = effects.rejects().single()
                reject.status shouldBe 503
                reject.reason shouldBe RejectReason.UNSERVABLE
                reject.shortage.shouldNotBeNull().figure shouldBe CapacityFigure.TIME
                reject.retryAfterMs.shouldNotBeNull()
            }
        }

        test("a request is rejected at once for results that no space of its pool holds") {
            val host = host(POOL.copy(callMs = 0.0, pieceMs = 0.0, resultSpaceBytes = 1_000_000))
            val effects = host.plan(100, listOf(StageSpec("stock", emptyList(), 100_000)))
            effects.rejects().single().shortage.shouldNotBeNull().figure shouldBe CapacityFigure.SPACE
        }

        test("a request is rejected at once for handles that fit into no head") {
            val effects = host(POOL.copy(callMs = 0.0, pieceMs = 0.0)).plan(100_000)
            effects.rejects().single().shortage.shouldNotBeNull().figure shouldBe CapacityFigure.INPUTS
        }

        test(
            "pieces that this host has no memory for are rejected at once, and those of ended requests count no more",
        ) {
            val memory = CountedMemory(maxPieces = 30)
            val host = host(POOL, memory = memory)
            host.plan(20).stageJobs() shouldHaveSize 1
            val reject = host.arrive(
                route(RouteKind.STREAM, stages = ONE_STAGE),
                listOf(20),
                flow = 2,
            ).rejects().single()
            reject.shortage.shouldNotBeNull().figure shouldBe CapacityFigure.MEMORY
            memory.held shouldBe 20
            host.handle(FlowEvent.CallerDisconnected(1))
            memory.held shouldBe 0
        }

        // Guards against rejecting what could be served: the estimate must stay below what any pool needs.
        test("generated deployments: no job is rejected that a pool with faster targets than declared can finish") {
            checkAll(histories(41), Arb.long()) { seed ->
                val random = Random(seed)
                val pool = BatchSpec(
                    slots = random.nextInt(1, 5),
                    maxPieces = random.nextInt(1, 64),
                    callMs = random.nextDouble(0.0, 400.0),
                    pieceMs = random.nextDouble(0.0, 60.0),
                    resultSpaceBytes = random.nextLong(1_000_000, 40_000_000),
                )
                val targets = random.nextInt(1, 40)
                val speed = random.nextDouble(1.0, 1.9)
                val lanes = targets * pool.slots
                val inTime = (1..600).last { finishMs(pool, lanes, it) / speed <= LEFT_MS || it == 1 }
                val pieces = random.nextInt(1, inTime + 1)
                val bytes = (pool.resultSpaceBytes.toDouble() * targets / pieces * random.nextDouble()).toLong()
                if (finishMs(pool, lanes, pieces) / speed > LEFT_MS) return@checkAll
                val effects = host(pool, targets).plan(pieces, listOf(StageSpec("stock", emptyList(), bytes)))
                withClue("seed $seed: $pieces pieces at $targets targets of $pool") {
                    effects.rejects().firstOrNull()?.shortage.shouldBeNull()
                }
            }
        }
    })

/** When the last of [pieces] is made if full calls run in [lanes]. */
private fun finishMs(pool: BatchSpec, lanes: Int, pieces: Int): Double {
    val calls = ceil(pieces.toDouble() / pool.maxPieces).toInt()
    return ceil(calls.toDouble() / lanes) * pool.expectedMs(minOf(pieces, pool.maxPieces))
}
