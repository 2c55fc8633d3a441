/*
 * Brings the pieces of this host's requests to the owner of each pool's queue, and runs the queues that this host owns.
 * An owner that stops answering loses its jobs to the next one. Runs on the control thread.
 */
package org.sesamerouter.front

import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.JobFailure
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.batching.PieceOutcome
import org.sesamerouter.batching.PieceQueue
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.batching.RankedTimes
import org.sesamerouter.batching.StageJob
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.membership.Member
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PoolNews
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.membership.StageReply
import org.sesamerouter.routing.rendezvous
import org.sesamerouter.serving.ServingConfig

private const val REPLY_MARGIN_MS = 300L
private const val POOL_NEWS_LIFE_MS = 2_000L
private const val OWN_TIMES_LIFE_MS = 50L // a queue changes little within this
private const val MAX_OWNERS = 4

/** Does the calls to targets that queues ask for. */
internal interface StageTargets {
    /** Makes the items of [call] and gives the outcome to [done] on the control thread. */
    fun run(call: PoolEffect.Call, maxConnections: Int, done: (CallOutcome) -> Unit)

    /** Frees results and runs [done] on the control thread once the target has answered, or will not. */
    fun free(effect: PoolEffect.Free, done: () -> Unit)
}

/** What the router reads of this host's state. */
internal interface StageContext {
    val config: ServingConfig?
    val self: Member

    /** Hosts that may own queues, this one included. */
    fun owners(): List<Member>

    fun targets(service: String): List<TargetEntry>

    fun targetAt(address: String): TargetEntry?
}

internal class StageRouter(
    private val context: StageContext,
    private val calls: StageTargets,
    private val peers: Peers,
    private val clock: Clock,
    private val log: DecisionLog,
    private val done: (String, JobOutcome) -> Unit,
) {
    private class Pending(val job: StageJob, val startedMs: Long) {
        var owner = ""
        val tried = HashSet<String>()
    }

    private val pending = HashMap<String, Pending>()
    private val queues = HashMap<String, PieceQueue>()
    private val remoteReplies = HashMap<String, (JobOutcome) -> Unit>()
    private val toFree = HashMap<String, MutableList<String>>()
    private val told = HashMap<String, Pair<RankedTimes, Long>>()

    /** Pieces that wait in the queues of this host. */
    val waiting: Int get() = queues.values.sumOf { it.waiting }

    /** Jobs of other hosts in the queues of this one. */
    val remoteJobs: Int get() = remoteReplies.size

    /** Starts a job of this host. */
    fun submit(job: StageJob) {
        val started = Pending(job, clock.nowMs())
        pending[job.job] = started
        place(started)
    }

    /** Gives up a job of this host. */
    fun cancel(service: String, job: String) {
        val known = pending.remove(job) ?: return
        if (known.owner == context.self.host) {
            cancelLocal(service, job)
        } else {
            peers.tell(known.owner, ServingRequest.CancelStage(service, job))
        }
    }

    /** Frees results once the next [flush] comes. */
    fun free(service: String, handles: List<String>) {
        toFree.getOrPut(service) { ArrayList() } += handles
    }

    /** Sends what was collected to the owners. */
    fun flush() {
        for ((service, handles) in toFree) {
            val owner = ownerOf(service, emptySet())
            if (owner == null || owner.host == context.self.host) {
                freeLocal(service, handles)
            } else {
                peers.tell(owner.host, ServingRequest.FreeResults(service, handles.toList()))
            }
        }
        toFree.clear()
    }

    /** Runs a job of another host and gives its outcome to [reply]. */
    fun runRemote(job: StageJob, reply: (JobOutcome) -> Unit) {
        remoteReplies[job.job] = reply
        submitLocal(job)
    }

    /** Gives up a job that runs here. */
    fun cancelLocal(service: String, job: String) {
        queues[service]?.let { apply(service, it.cancel(job, clock.nowMs())) }
    }

    /** Notes that results of this host's queue were probably fetched. */
    fun readLocal(service: String, handles: List<String>) {
        queues[service]?.let { apply(service, it.onRead(handles, clock.nowMs())) }
    }

    /** Tells the owners of the queues that [handles] come from that they were probably fetched. */
    fun tellRead(handles: List<String>) {
        val byMaker = handles.groupBy { context.targetAt(it.substringBefore('/'))?.service }
        for ((service, of) in byMaker) {
            if (service == null) continue
            val owner = ownerOf(service, emptySet())
            if (owner == null || owner.host == context.self.host) {
                readLocal(service, of)
            } else {
                peers.tell(owner.host, ServingRequest.ResultsRead(service, of))
            }
        }
    }

    /** Frees results here, also those that another owner had made. */
    fun freeLocal(service: String, handles: List<String>) {
        val (effects, foreign) = queues[service]?.free(handles, clock.nowMs()) ?: (emptyList<PoolEffect>() to handles)
        apply(service, effects)
        for ((address, of) in foreign.groupBy { it.substringBefore('/') }) {
            context.targetAt(address)?.let { calls.free(PoolEffect.Free(0, it, of)) {} }
        }
    }

    /** Lets time go on. */
    fun onTick(now: Long) {
        queues.forEach { (service, queue) -> apply(service, queue.onTick(now)) }
        flush()
    }

    /** Takes over changed targets or bounds. */
    fun onTargets(now: Long) {
        for ((service, queue) in queues) {
            context.config?.services?.get(service)?.batch?.let(queue::update)
            apply(service, queue.update(context.targets(service), now))
        }
    }

    /** Places the jobs of [host], which stopped answering, with the next owner. */
    fun onOwnerLost(host: String) {
        pending.values.filter { it.owner == host }.forEach(::place)
    }

    /** Expected time of a stage in [service], with its queue, for a request of [rank] that needs it in [dueMs]. */
    fun expectedStageMs(service: String, rank: Int, dueMs: Long): Double {
        val now = clock.nowMs()
        val own = queues[service]?.takeIf { it.waiting > 0 || it.calls > 0 }
        val known = if (own != null) ownTimes(service, own, now) else told[service]
        val isFresh = known != null && now - known.second < POOL_NEWS_LIFE_MS
        return known?.first?.of(rank, dueMs).takeIf { isFresh } ?: unloadedStageMs(service)
    }

    private fun ownTimes(service: String, queue: PieceQueue, now: Long): Pair<RankedTimes, Long> {
        val last = told[service]
        if (last != null && now - last.second < OWN_TIMES_LIFE_MS) return last
        return (queue.expectedMs(now) to now).also { told[service] = it }
    }

    /** Expected time of a stage in [service] without a queue. */
    fun unloadedStageMs(service: String): Double {
        val batch = context.config?.services?.get(service)?.batch ?: return 0.0
        return batch.expectedMs(batch.maxPieces / 2 + 1)
    }

    /** What this host tells of the queues that it owns. */
    fun news(now: Long): List<PoolNews> =
        queues.filter { it.value.calls > 0 }.map { PoolNews(it.key, ownTimes(it.key, it.value, now).first) }

    /** Takes in what an owner tells. */
    fun onNews(pools: List<PoolNews>, now: Long) {
        pools.forEach { told[it.service] = it.expectedMs to now }
    }

    private fun ownerOf(service: String, without: Set<String>): Member? =
        context.owners().filter { it.host !in without }.minByOrNull { rendezvous(service, it.host) }

    private fun place(entry: Pending) {
        val now = clock.nowMs()
        val spent = now - entry.startedMs
        val job = entry.job.copy(
            aimLeftMs = entry.job.aimLeftMs - spent,
            deadlineLeftMs = entry.job.deadlineLeftMs - spent,
        )
        if (job.deadlineLeftMs <= 0) {
            finish(job.job, JobOutcome(failure = JobFailure.LATE))
            return
        }
        val owner = ownerOf(job.service, entry.tried).takeIf { entry.tried.size < MAX_OWNERS }
        if (owner == null || owner.host == context.self.host) {
            entry.owner = context.self.host
            submitLocal(job)
            return
        }
        entry.owner = owner.host
        entry.tried += owner.host
        val request = ServingRequest.RunStage(job)
        peers.ask(owner.host, request, job.deadlineLeftMs + REPLY_MARGIN_MS) { onReply(entry, owner.host, it) }
    }

    private fun onReply(entry: Pending, owner: String, outcome: PeerOutcome) {
        val job = entry.job.job
        if (pending[job] !== entry || entry.owner != owner) return
        val reply = (outcome as? PeerOutcome.Replied)?.reply as? StageReply
        if (reply != null && reply.outcome.failure != JobFailure.MOVED) {
            finish(job, reply.outcome)
        } else {
            log.write("owner-lost", "job" to job, "service" to entry.job.service, "owner" to owner)
            place(entry)
        }
    }

    private fun submitLocal(job: StageJob) {
        val now = clock.nowMs()
        val queue = queueOf(job.service, now)
        if (queue == null) {
            finish(job.job, JobOutcome(failure = JobFailure.FAILED))
        } else {
            apply(job.service, queue.submit(job, now))
        }
    }

    private fun queueOf(service: String, now: Long): PieceQueue? {
        queues[service]?.let { return it }
        val spec = context.config?.services?.get(service)?.batch ?: return null
        val queue = PieceQueue(service, spec)
        queues[service] = queue
        apply(service, queue.update(context.targets(service), now))
        return queue
    }

    private fun finish(job: String, outcome: JobOutcome) {
        val reply = remoteReplies.remove(job)
        val own = pending[job]
        when {
            reply != null -> reply(outcome)

            own == null -> Unit

            outcome.failure == JobFailure.MOVED -> place(own)

            else -> {
                pending.remove(job)
                done(job, outcome)
            }
        }
    }

    /** Hands the jobs that were not begun to the next owners; for a planned stop. */
    fun handBack() {
        queues.forEach { (service, queue) -> apply(service, queue.handBack(clock.nowMs())) }
    }

    private fun apply(service: String, effects: List<PoolEffect>) {
        for (effect in effects) {
            when (effect) {
                is PoolEffect.Call -> startCall(service, effect)

                is PoolEffect.Free -> calls.free(effect) {
                    queues[service]?.let { apply(service, it.onFreed(effect.release, clock.nowMs())) }
                }

                is PoolEffect.InputsRead -> tellRead(effect.inputs)

                is PoolEffect.Done -> finish(effect.job, effect.outcome)
            }
        }
    }

    private fun logFailures(service: String, call: PoolEffect.Call, outcome: CallOutcome) {
        val items = (outcome as? CallOutcome.Answered)?.items.orEmpty().filter { it !is PieceOutcome.Made }
        if (items.isEmpty()) return
        val reasons = items.groupingBy { it::class.simpleName }.eachCount()
        log.write(
            "pieces-not-made",
            "service" to service,
            "call" to call.call,
            "target" to call.target.id,
            "why" to reasons,
        )
    }

    private fun startCall(service: String, call: PoolEffect.Call) {
        log.write(
            "stage-call",
            "service" to service,
            "call" to call.call,
            "target" to call.target.id,
            "pieces" to call.items.size,
            "waiting" to queues[service]?.waiting,
            "requests" to call.items.map { it.request }.distinct().joinToString(","),
        )
        val most = context.config?.services?.get(service)?.maxConnections ?: 1
        calls.run(call, most) { outcome ->
            logFailures(service, call, outcome)
            queues[service]?.let { apply(service, it.onCallEnded(call.call, outcome, clock.nowMs())) }
        }
    }
}
