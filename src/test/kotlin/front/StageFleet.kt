/*
 * A fleet of hosts before a chain of three stage pools, on a virtual clock. The routers and queues are the real ones;
 * hops, the space of targets and what each host believes of the others are modelled.
 */
package org.sesamerouter.front

import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.batching.Piece
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.batching.StageJob
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.MemberStatus
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.membership.StageReply
import org.sesamerouter.ownership.OwnerTerm
import org.sesamerouter.ownership.ownerOrder
import org.sesamerouter.serving.BatchSpec
import org.sesamerouter.serving.ServiceSpec
import org.sesamerouter.serving.ServingConfig
import org.sesamerouter.web.RequestLimits
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln

private const val TICK_MS = 25L
private const val TARGET_HOP_MS = 10L
private const val ENGINE_FETCH_MS = 100L
private const val DOUBT_STEP_MS = 200L // beliefs change this often while there is doubt
private const val DOUBT_SHARE = 0.4 // of the hosts at a time
private const val REQUESTS_PER_S = 320.0

private class ModelPool(val name: String, val targets: Int, val spec: BatchSpec)

private val POOLS = listOf(
    ModelPool("encode", 12, BatchSpec(1, 20, 240.0, 10.0, 24_000_000)),
    ModelPool("retrieve", 11, BatchSpec(1, 52, 240.0, 4.0, 5_800_000)),
    ModelPool("rerank", 11, BatchSpec(1, 66, 240.0, 3.1, 720_000)),
)

private class ModelStage(val pool: Int, val after: Int?, val bytes: Long)

/** A kind of request with its stages, its share of the load, and a burst. */
private class Kind(
    val rank: Int,
    val objectiveMs: Long,
    val deadlineMs: Long,
    val share: Double,
    val burst: LongRange,
    val burstFactor: Double,
    val stages: List<ModelStage>,
    val pieces: (Random) -> List<Int>,
)

private fun Random.pieces(mean: Double, spread: Double, most: Int): Int =
    Math.round(mean * exp(spread * nextGaussian() - spread * spread / 2)).toInt().coerceIn(1, most)

private val CHAIN = listOf(ModelStage(0, null, 8_000), ModelStage(1, 0, 60_000), ModelStage(2, 1, 6_000))
private val KINDS = listOf(
    Kind(0, 2_000, 12_000, 0.307, 2_300L..8_900L, 2.96, CHAIN) { listOf(1, 4, it.pieces(6.0, 0.4, 15)) },
    Kind(1, 1_400, 12_000, 0.26, LongRange.EMPTY, 1.0, listOf(ModelStage(0, null, 800_000))) {
        listOf(if (it.nextDouble() < 0.7) it.pieces(2.5, 0.6, 10) else 0)
    },
    Kind(
        2,
        2_200,
        6_000,
        0.433,
        LongRange.EMPTY,
        1.0,
        CHAIN + ModelStage(0, null, 800_000),
    ) {
        listOf(1, 4, it.pieces(6.0, 0.4, 15), if (it.nextDouble() < 0.4) it.pieces(1.5, 0.6, 6) else 0)
    },
)

/** What became of the requests of one kind. */
internal data class KindResult(val asked: Int, val inTime: Int, val late: Int, val rejectedMs: List<Long>)

/** What a run showed. */
internal data class FleetResult(
    val kinds: List<KindResult>,
    val gone: Int,
    val noRoom: Int,
    /** Longest time for which a pool had waiting pieces and idle targets and started no call, and its end. */
    val longestStallMs: Long,
    val stallEndMs: Long,
    /** Number of times that a host called a pool within 300 ms of a call by another host. */
    val overlappingCalls: Int,
    /** Space in bytes that the queues still count as used when all requests have ended. */
    val countedBytes: Long,
)

/** Hosts that doubt the owners of the pools during [doubt], each by its own changing view. */
internal class StageFleet(
    private val seed: Long,
    private val hostCount: Int = 12,
    private val hopMs: Long = 25,
    private val load: Double = 1.0,
    private val arrivalsMs: Long = 14_000,
    private val doubt: LongRange = LongRange.EMPTY,
) {
    private class ModelRequest(val id: String, val kind: Kind, val bornMs: Long, val pieces: List<Int>) {
        val handles = arrayOfNulls<List<String>>(pieces.size)
        var left = pieces.count { it > 0 }
        var isEnded = false
    }

    private class LastCall(val host: String, val atMs: Long)

    private val random = Random(seed)
    private val time = VirtualTime()
    private val targets = ModelTargets(time)
    private val log = DecisionLog("fleet", time.clock)
    private val services = POOLS.associate { it.name to ServiceSpec(it.name, "/health", 8, it.spec, null) }
    private val config = ServingConfig(1, emptyList(), services, emptyList(), RequestLimits())
    private val members = (0 until hostCount).map {
        Member("h$it", 1, 0, MemberStatus.ALIVE, "10.0.0.$it:1", "10.0.0.$it:2", "west", ready = true)
    }
    private val hosts = LinkedHashMap<String, ModelHost>()
    private val requests = HashMap<String, ModelRequest>()
    private val asked = IntArray(KINDS.size)
    private val inTime = IntArray(KINDS.size)
    private val late = IntArray(KINDS.size)
    private val rejected = List(KINDS.size) { ArrayList<Long>() }
    private val lastCallMs = HashMap<String, Long>()
    private val lastCalls = HashMap<String, LastCall>()
    private var longestStallMs = 0L
    private var stallEndMs = 0L
    private var overlappingCalls = 0

    private inner class ModelHost(override val self: Member) :
        StageContext,
        StageTargetClient,
        PeerRequests {
        override val config = this@StageFleet.config
        val router =
            StageRouter(
                this,
                this,
                this,
                time.clock,
                log,
                Random(seed + self.host.hashCode()),
                onJobEnded = ::onJobEnded,
            )

        override fun owners(): List<Member> = members.filter { it.host == self.host || !doubts(it.host) }

        private fun doubts(other: String): Boolean {
            if (time.now !in doubt || POOLS.none { ownerOrder(it.name, members).first().host == other }) return false
            val step = time.now / DOUBT_STEP_MS
            return Random(seed * 7_919 + self.host.hashCode() * 104_729L + step).nextDouble() < DOUBT_SHARE
        }

        override val changes get() = if (time.now in doubt) 1 + time.now / DOUBT_STEP_MS else 0L

        override fun member(host: String) = members.firstOrNull { it.host == host }

        override fun targets(service: String) = targets.of(service)

        override fun targetAt(address: String) = targets.at(address)

        override fun pauseLeftMs(target: TargetEntry) = 0L

        override fun run(call: PoolEffect.Call, maxConnections: Int, onEnded: (CallOutcome) -> Unit) {
            onCall(call.target.service, self.host)
            val stages = call.items.associate { item ->
                item.stage to requests.getValue(item.request).kind.stages[item.stage].bytes
            }
            time.after(TARGET_HOP_MS) {
                targets.run(call, stages) { time.after(TARGET_HOP_MS) { onEnded(it) } }
            }
        }

        override fun free(effect: PoolEffect.Free, onFreed: () -> Unit) = time.after(TARGET_HOP_MS) {
            targets.free(effect.target.address, effect.handles)
            time.after(TARGET_HOP_MS, onFreed)
        }

        override fun request(
            host: String,
            request: ServingRequest,
            timeoutMs: Long,
            onOutcome: (PeerOutcome) -> Unit,
        ) = time.after(hopMs) {
            hosts.getValue(host).onRequest(request) { time.after(hopMs) { onOutcome(PeerOutcome.Replied(it)) } }
        }

        override fun askSpace(target: TargetEntry, onReport: (Long?) -> Unit) = time.after(2 * TARGET_HOP_MS) {
            onReport(targets.freeBytes(target.address))
        }

        override fun send(host: String, request: ServingRequest) = request(host, request, 1_000) {}

        override fun isResponsive(host: String) = true

        override fun probe(host: String, timeoutMs: Long, onResult: (ProbeResult, List<OwnerTerm>) -> Unit) =
            time.after(2 * hopMs) {
                onResult(ProbeResult.ANSWERED, hosts.getValue(host).router.owners.terms)
            }

        override fun askOwner(witness: String, term: OwnerTerm, onReply: (Boolean, List<OwnerTerm>) -> Unit) =
            time.after(hopMs) {
                hosts.getValue(witness).router.owners.checkOwner(term) { isAnswering, terms ->
                    time.after(hopMs) { onReply(isAnswering, terms) }
                }
            }

        override fun announce(term: OwnerTerm) = hosts.values.filter { it !== this }.forEach { host ->
            time.after(hopMs) { host.router.owners.learn(listOf(term), self.host) }
        }

        private fun onRequest(request: ServingRequest, reply: (StageReply) -> Unit) {
            when (request) {
                is ServingRequest.RunStage ->
                    router.runRemote(request.job, request.term, request.isRelayed, reply)

                is ServingRequest.CancelStage -> router.cancelLocal(request.service, request.job)

                is ServingRequest.FreeResults -> router.freeLocal(request.service, request.handles)

                is ServingRequest.ResultsFetched -> router.onFetchedLocal(request.service, request.handles)

                else -> Unit
            }
        }

        private fun onJobEnded(job: String, outcome: JobOutcome) {
            val (id, stage) = job.split('/')
            requests[id]?.let { onStageEnded(this, it, stage.toInt(), outcome) }
        }
    }

    fun run(): FleetResult {
        for (pool in POOLS) {
            repeat(pool.targets) {
                val address = "10.9.${POOLS.indexOf(pool)}.$it:80"
                targets.add(TargetEntry("${pool.name}-$it", pool.name, address, "west", 1, false, 1), pool.spec)
            }
        }
        members.forEach { hosts[it.host] = ModelHost(it) }
        hosts.values.forEachIndexed { i, host -> tick(host, i.toLong()) }
        KINDS.indices.forEach(::scheduleArrivals)
        time.run(arrivalsMs + 8_000)
        return FleetResult(
            KINDS.indices.map { KindResult(asked[it], inTime[it], late[it], rejected[it]) },
            targets.gone,
            targets.noRoom,
            longestStallMs,
            stallEndMs,
            overlappingCalls,
            hosts.values.sumOf { it.router.usedBytes },
        )
    }

    private fun tick(host: ModelHost, delayMs: Long): Unit = time.after(delayMs) {
        host.router.onTick(time.clock.nowMs())
        if (host === hosts.values.first()) checkStalls()
        tick(host, TICK_MS)
    }

    private fun checkStalls() {
        for (pool in POOLS) {
            val waits = hosts.values.sumOf { it.router.waiting(pool.name) } > 0
            if (!waits || targets.idle(pool.name) == 0) lastCallMs[pool.name] = time.now
            val stallMs = time.now - (lastCallMs[pool.name] ?: time.now)
            if (stallMs > longestStallMs) {
                longestStallMs = stallMs
                stallEndMs = time.now
            }
        }
    }

    private fun onCall(service: String, host: String) {
        lastCallMs[service] = time.now
        val last = lastCalls[service]
        if (last != null && last.host != host && time.now - last.atMs < 300) overlappingCalls++
        lastCalls[service] = LastCall(host, time.now)
    }

    private fun scheduleArrivals(number: Int) {
        val kind = KINDS[number]
        var atMs = 0.0
        while (true) {
            val isBurst = atMs.toLong() in kind.burst
            val perMs = REQUESTS_PER_S * load * kind.share / 1_000 * if (isBurst) kind.burstFactor else 1.0
            atMs -= ln(1 - random.nextDouble()) / perMs
            if (atMs >= arrivalsMs) return
            val request = ModelRequest("$number-${asked[number]++}", kind, atMs.toLong(), kind.pieces(random))
            val host = members[random.nextInt(hostCount)].host
            time.after(request.bornMs) {
                requests[request.id] = request
                if (request.left == 0) inTime[number]++ else startStages(hosts.getValue(host), request)
            }
        }
    }

    private fun startStages(host: ModelHost, request: ModelRequest, after: Int? = null) {
        request.kind.stages.forEachIndexed { number, stage ->
            if (stage.after == after && request.pieces[number] > 0) host.router.submit(jobOf(request, number))
        }
    }

    private fun jobOf(request: ModelRequest, number: Int): StageJob {
        val stage = request.kind.stages[number]
        val inputs = stage.after?.let { request.handles[it] }.orEmpty()
        val ageMs = time.now - request.bornMs
        return StageJob(
            "${request.id}/$number",
            request.id,
            POOLS[stage.pool].name,
            number,
            List(request.pieces[number]) { Piece(it, if (inputs.isEmpty()) "key" else null, inputs) },
            stage.bytes,
            request.kind.rank,
            request.kind.objectiveMs - restMs(request, number) - ageMs,
            request.kind.deadlineMs - ageMs,
            stagesAfter(request, number),
            hasCompletedStages = inputs.isNotEmpty(),
        )
    }

    private fun dependents(request: ModelRequest, number: Int) = request.kind.stages.indices
        .filter { request.kind.stages[it].after == number && request.pieces[it] > 0 }

    private fun stagesAfter(request: ModelRequest, number: Int): Int =
        dependents(request, number).maxOfOrNull { 1 + stagesAfter(request, it) } ?: 0

    /** Expected time from the end of the stage [number] to the first event, with empty queues. */
    private fun restMs(request: ModelRequest, number: Int): Long = dependents(request, number).maxOfOrNull {
        val spec = POOLS[request.kind.stages[it].pool].spec
        spec.expectedMs(spec.maxPieces / 2 + 1).toLong() + restMs(request, it)
    } ?: 150L

    private fun onStageEnded(host: ModelHost, request: ModelRequest, number: Int, outcome: JobOutcome) {
        if (request.isEnded) return
        if (outcome.failure != null) {
            rejected[KINDS.indexOf(request.kind)] += time.now - request.bornMs
            end(host, request)
            return
        }
        request.handles[number] = outcome.handles
        request.kind.stages[number].after?.let { free(host, request, it) }
        startStages(host, request, after = number)
        if (--request.left == 0) time.after(ENGINE_FETCH_MS) { onServed(host, request) }
    }

    private fun onServed(host: ModelHost, request: ModelRequest) {
        val isInTime = time.now - request.bornMs <= request.kind.objectiveMs
        (if (isInTime) inTime else late)[KINDS.indexOf(request.kind)]++
        end(host, request)
    }

    private fun end(host: ModelHost, request: ModelRequest) {
        request.isEnded = true
        request.kind.stages.forEachIndexed { number, stage ->
            if (request.pieces[number] > 0 && request.handles[number] == null) {
                host.router.cancel(POOLS[stage.pool].name, "${request.id}/$number")
            }
            free(host, request, number)
        }
    }

    private fun free(host: ModelHost, request: ModelRequest, number: Int) {
        val handles = request.handles[number].orEmpty()
        request.handles[number] = request.handles[number]?.let { emptyList() }
        if (handles.isNotEmpty()) host.router.free(POOLS[request.kind.stages[number].pool].name, handles)
    }
}
