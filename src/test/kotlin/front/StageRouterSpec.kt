/*
 * Tests what the owner of a pool does with the jobs of other hosts when it shuts down.
 */
package org.sesamerouter.front

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.DueTime
import org.sesamerouter.batching.JobFailure
import org.sesamerouter.batching.Piece
import org.sesamerouter.batching.PieceOutcome
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.batching.RankedTimes
import org.sesamerouter.batching.StageJob
import org.sesamerouter.clock.manualClock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.host.ControlLoop
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.MemberStatus
import org.sesamerouter.membership.Membership
import org.sesamerouter.membership.PeerLink
import org.sesamerouter.membership.PoolReport
import org.sesamerouter.serving.BatchSpec
import org.sesamerouter.serving.ServiceSpec
import org.sesamerouter.serving.ServingConfig
import org.sesamerouter.web.RequestLimits
import java.util.Random

private const val POOL = "stock"
private val PLAN = BatchSpec(
    slots = 1,
    maxPieces = 4,
    callMs = 30.0,
    pieceMs = 1.0,
    resultSpaceBytes = 1_000_000,
)

/** A pool with one target, owned by the host under test. */
private class OwnedPool : StageTargetClient {
    val clock = manualClock(1_000)
    private val loop = ControlLoop("router")
    private val member = Member("self", 1, 0, MemberStatus.ALIVE, "127.0.0.1:1", "127.0.0.1:2", "west")
    private val other = member.copy(host = "other", ready = true)
    private val membership = Membership(member, 1_000, Random(1))
    private val log = DecisionLog("self", clock)
    private val target = TargetEntry("s0", POOL, "127.0.0.1:3", "west", 1, isDraining = false, startTimeMs = 1)
    private val services = mapOf(POOL to ServiceSpec(POOL, "/health", 8, PLAN, null))
    private val context = object : StageContext {
        override val config = ServingConfig(1, emptyList(), services, emptyList(), RequestLimits())
        override val self get() = member.copy(ready = !isLeaving, leaving = isLeaving)

        override val changes get() = (if (isLeaving) 1L else 0L) + (if (hasOtherHost) 2L else 0L)

        override fun member(host: String) = owners().firstOrNull { it.host == host }

        override fun owners() = if (hasOtherHost) listOf(self, other) else listOf(self)

        override fun targets(service: String) = listOf(target)

        override fun targetAt(address: String) = target

        override fun pauseLeftMs(target: TargetEntry) = 0L
    }
    private var isLeaving = false
    private var hasOtherHost = false
    val calls = ArrayList<PoolEffect.Call>()
    val freed = ArrayList<String>()
    private val openCalls = ArrayList<(CallOutcome) -> Unit>()
    val outcomes = ArrayList<Pair<String, JobFailure?>>()
    val router = StageRouter(
        context,
        this,
        PeerClient(PeerLink("127.0.0.1:0"), membership, loop, clock, log),
        clock,
        log,
    ) { _, _ -> }

    override fun run(call: PoolEffect.Call, maxConnections: Int, onEnded: (CallOutcome) -> Unit) {
        calls += call
        openCalls += onEnded
    }

    override fun free(effect: PoolEffect.Free, onFreed: () -> Unit) {
        freed += effect.handles
    }

    override fun askSpace(target: TargetEntry, onReport: (Long?) -> Unit) = onReport(null)

    fun leave(hasOtherHost: Boolean) {
        isLeaving = true
        this.hasOtherHost = hasOtherHost
        router.leave()
    }

    /** Ends the oldest open call with a result for each of its pieces, and returns their handles. */
    fun endCall(): List<String> {
        val handles = List(PLAN.maxPieces) { "${target.address}/h$it" }
        openCalls.removeFirst()(CallOutcome.Answered(handles.map { PieceOutcome.Made(it) }))
        return handles
    }

    fun submit(name: String, pieces: Int = 4) = router.runRemote(
        StageJob(name, "r-$name", POOL, 0, List(pieces) { Piece(it, "key") }, 1_000, 0, 2_000, 8_000),
    ) { outcomes += name to it.outcome.failure }
}

class StageRouterSpec :
    FunSpec({
        // Guards against pieces of other hosts that wait in the queue of a host that ends.
        test("an owner that leaves returns the jobs of other hosts, those that arrive later at once") {
            val pool = OwnedPool()
            pool.submit("running")
            pool.submit("waiting")
            pool.calls shouldHaveSize 1
            pool.outcomes.shouldBeEmpty()
            pool.leave(hasOtherHost = true)
            pool.outcomes shouldContainExactly listOf("waiting" to JobFailure.MOVED)
            pool.submit("later")
            pool.outcomes shouldContainExactly listOf("waiting" to JobFailure.MOVED, "later" to JobFailure.MOVED)
            pool.router.returnRemoteJobs()
            pool.outcomes.last() shouldBe ("running" to JobFailure.MOVED)
            pool.router.remoteJobs shouldBe 0
        }

        test("an owner that leaves keeps the jobs of other hosts while no other host can own the pool") {
            val pool = OwnedPool()
            pool.leave(hasOtherHost = false)
            pool.submit("later")
            pool.calls shouldHaveSize 1
            pool.outcomes.shouldBeEmpty()
        }

        // Guards against hosts that admit everything while the owner of a jammed queue is silent (incident SHORT).
        test("a pool whose owner has become silent is not taken for an empty one") {
            val pool = OwnedPool()
            val times = RankedTimes(mapOf(0 to listOf(DueTime(0, 3_000.0))))
            pool.router.onPoolReports(listOf(PoolReport(POOL, times)))
            pool.clock.advance(30_000)
            pool.router.expectedStageMs(POOL, 0, 2_000) shouldBe 3_000.0
        }

        // Guards against results that count as used for good, since a reply crossed the end of its request (SHORT).
        test("a job that is cancelled after it has ended has its results freed") {
            val pool = OwnedPool()
            pool.submit("a")
            val handles = pool.endCall()
            pool.router.cancelLocal(POOL, "a")
            pool.freed shouldContainExactly handles
        }

        // Guards against work that continues for a job that another owner runs anew, and results that nobody frees.
        test("an owner that has returned a started job starts no more calls for it and frees its results") {
            val pool = OwnedPool()
            pool.submit("half", pieces = 6)
            pool.calls shouldHaveSize 1
            pool.leave(hasOtherHost = true)
            pool.router.returnRemoteJobs()
            pool.outcomes shouldContainExactly listOf("half" to JobFailure.MOVED)
            val handles = pool.endCall()
            withClue("pieces of each call") { pool.calls.map { it.items.size } shouldContainExactly listOf(4) }
            withClue("freed results") { pool.freed shouldContainExactly handles }
        }

        // Guards against results of a whole job that was returned while its last call was running.
        test("an owner that has returned a job whose last call runs frees the results of that call") {
            val pool = OwnedPool()
            pool.submit("running")
            pool.leave(hasOtherHost = true)
            pool.router.returnRemoteJobs()
            val handles = pool.endCall()
            pool.freed shouldContainExactly handles
        }
    })
