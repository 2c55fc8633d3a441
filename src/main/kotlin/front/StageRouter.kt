/*
 * Routes stage jobs of this host's requests to the host that owns the queue of their pool, and runs the queues that
 * this host owns. Jobs of an owner that stops responding are reassigned to the next one. Runs on the control thread.
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
import org.sesamerouter.membership.PoolReport
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.membership.StageReply
import org.sesamerouter.serving.ServingConfig

private const val REPLY_MARGIN_MS = 300L
private const val POOL_TIMES_TTL_MS = 2_000L
private const val LOCAL_TIMES_TTL_MS = 50L // a queue changes little within this time
private const val MAX_OWNER_ATTEMPTS = 4

/** Sends calls of the pool queues to targets. */
internal interface StageTargetClient {
    /** Sends [call]; [onEnded] is called with the outcome on the control thread. */
    fun run(call: PoolEffect.Call, maxConnections: Int, onEnded: (CallOutcome) -> Unit)

    /** Frees results; [onFreed] is called on the control thread after the reply or the timeout. */
    fun free(effect: PoolEffect.Free, onFreed: () -> Unit)

    /** Asks [target] for its free space in bytes; [onReport] is called on the control thread, with null if it is unknown. */
    fun askSpace(target: TargetEntry, onReport: (Long?) -> Unit)
}

/** Host state that [StageRouter] reads. */
internal interface StageContext {
    val config: ServingConfig?
    val self: Member

    /** Returns the hosts that may own queues: those that are ready or leaving, including this one. */
    fun owners(): List<Member>

    fun targets(service: String): List<TargetEntry>

    fun targetAt(address: String): TargetEntry?

    /** Time for which [target] wants no calls; 0 if it wants them. */
    fun pauseLeftMs(target: TargetEntry): Long
}

internal class StageRouter(
    private val context: StageContext,
    private val targetClient: StageTargetClient,
    private val peers: PeerRequests,
    private val clock: Clock,
    private val log: DecisionLog,
    private val onJobEnded: (String, JobOutcome) -> Unit,
) {
    private class PendingJob(val job: StageJob, val startedMs: Long) {
        var owner = ""
        val triedOwners = HashSet<String>()
    }

    private class DelayedFree(val effect: PoolEffect.Free, val dueMs: Long, val onFreed: () -> Unit)

    private val pendingJobs = HashMap<String, PendingJob>()
    private val queues = HashMap<String, PieceQueue>()
    private val repliesToRemoteJobs = HashMap<String, (JobOutcome) -> Unit>()
    private val handlesToFree = HashMap<String, MutableList<String>>()
    private val delayedFrees = ArrayList<DelayedFree>()
    private val poolTimes = HashMap<String, Pair<RankedTimes, Long>>()
    private var isLeaving = false

    /** Number of pieces waiting in the queues of this host. */
    val waiting: Int get() = queues.values.sumOf { it.waiting }

    /** Number of pieces of the pool [service] waiting in the queue of this host. */
    fun waiting(service: String): Int = queues[service]?.waiting ?: 0

    /** Space in bytes that counts as used at the targets of this host's queues. */
    val usedBytes: Long get() = queues.values.sumOf { it.usedBytes }

    /** Number of times that a target was asked for its free space. */
    var spaceReports = 0L
        private set

    /** Whether a queue of this host has pieces that wait or run. */
    val hasQueuedWork: Boolean get() = queues.values.any { it.waiting > 0 || it.calls > 0 }

    /** Number of jobs of other hosts in the queues of this one. */
    val remoteJobs: Int get() = repliesToRemoteJobs.size

    /** Submits a job of this host to the owner of its queue. */
    fun submit(job: StageJob) {
        val pending = PendingJob(job, clock.nowMs())
        pendingJobs[job.job] = pending
        assign(pending)
    }

    /** Cancels a job of this host. */
    fun cancel(service: String, job: String) {
        val pending = pendingJobs.remove(job) ?: return
        if (pending.owner == context.self.host) {
            cancelLocal(service, job)
        } else {
            peers.send(pending.owner, ServingRequest.CancelStage(service, job))
        }
    }

    /** Frees results with the next [flush]. */
    fun free(service: String, handles: List<String>) {
        handlesToFree.getOrPut(service) { ArrayList() } += handles
    }

    /** Sends the collected handles to the owners of their queues. */
    fun flush() {
        for ((service, handles) in handlesToFree) {
            val owner = ownerOf(service, emptySet())
            if (owner == null || owner.host == context.self.host) {
                freeLocal(service, handles)
            } else {
                peers.send(owner.host, ServingRequest.FreeResults(service, handles.toList()))
            }
        }
        handlesToFree.clear()
    }

    /** Runs a job of another host; [reply] is called with its outcome. A host that leaves returns it. */
    fun runRemote(job: StageJob, reply: (JobOutcome) -> Unit) {
        if (isLeaving && ownerOf(job.service, emptySet())?.host != context.self.host) {
            reply(JobOutcome(failure = JobFailure.MOVED))
            return
        }
        repliesToRemoteJobs[job.job] = reply
        submitLocal(job)
    }

    /** Cancels a job in a queue of this host. */
    fun cancelLocal(service: String, job: String) {
        queues[service]?.let { apply(service, it.cancel(job, clock.nowMs())) }
    }

    /** Handles the report that results of a queue of this host were probably fetched. */
    fun onFetchedLocal(service: String, handles: List<String>) {
        queues[service]?.let { apply(service, it.onFetched(handles, clock.nowMs())) }
    }

    /** Reports [handles] as probably fetched to the owners of the queues that made them. */
    fun reportFetched(handles: List<String>) {
        val handlesByService = handles.groupBy { context.targetAt(it.substringBefore('/'))?.service }
        for ((service, made) in handlesByService) {
            if (service == null) continue
            val owner = ownerOf(service, emptySet())
            if (owner == null || owner.host == context.self.host) {
                onFetchedLocal(service, made)
            } else {
                peers.send(owner.host, ServingRequest.ResultsFetched(service, made))
            }
        }
    }

    /** Frees results from this host, including those made under another owner of the queue. */
    fun freeLocal(service: String, handles: List<String>) {
        val (effects, foreign) = queues[service]?.free(handles, clock.nowMs()) ?: (emptyList<PoolEffect>() to handles)
        apply(service, effects)
        for ((address, made) in foreign.groupBy { it.substringBefore('/') }) {
            context.targetAt(address)?.let { freeAfterPause(PoolEffect.Free(0, it, made)) {} }
        }
    }

    /** Advances the queues and sends the collected handles. */
    fun onTick(now: Long) {
        queues.forEach { (service, queue) ->
            apply(service, queue.onTick(now))
            logStop(queue, now)
        }
        if (delayedFrees.isNotEmpty()) startDelayedFrees(now)
        flush()
    }

    private fun logStop(queue: PieceQueue, now: Long) {
        val stop = queue.takeStop(now) ?: return
        log.write(
            "pool-stopped",
            "service" to queue.service,
            "waiting" to queue.waiting,
            "no-call-ms" to stop.sinceCallMs,
            "targets" to stop.targets,
            "busy" to stop.busy,
            "backing-off" to stop.backingOff,
            "slow" to stop.slow,
            "full" to stop.full,
        )
    }

    /** Applies changed targets or pool limits to the queues. */
    fun onTargets(now: Long) {
        for ((service, queue) in queues) {
            context.config?.services?.get(service)?.batch?.let(queue::update)
            apply(service, queue.update(context.targets(service), now))
        }
    }

    /** Reassigns the jobs of [host], which became unresponsive, to the next owners. */
    fun onOwnerLost(host: String) {
        pendingJobs.values.filter { it.owner == host }.forEach(::assign)
    }

    /** Expected time of a stage in [service] with its queue, for a request of [rank] that needs it done in [dueMs]. */
    fun expectedStageMs(service: String, rank: Int, dueMs: Long): Double {
        val now = clock.nowMs()
        val localQueue = queues[service]?.takeIf { it.waiting > 0 || it.calls > 0 }
        val known = if (localQueue != null) localTimes(service, localQueue, now) else poolTimes[service]
        val isFresh = known != null && now - known.second < POOL_TIMES_TTL_MS
        return known?.first?.of(rank, dueMs).takeIf { isFresh } ?: unloadedStageMs(service)
    }

    private fun localTimes(service: String, queue: PieceQueue, now: Long): Pair<RankedTimes, Long> {
        val last = poolTimes[service]
        if (last != null && now - last.second < LOCAL_TIMES_TTL_MS) return last
        return (queue.expectedMs(now) to now).also { poolTimes[service] = it }
    }

    /** Expected time of a stage in [service] with an empty queue. */
    fun unloadedStageMs(service: String): Double {
        val batch = context.config?.services?.get(service)?.batch ?: return 0.0
        return batch.expectedMs(batch.maxPieces / 2 + 1)
    }

    /** Returns the expected times of the busy queues that this host owns. */
    fun poolReports(now: Long): List<PoolReport> =
        queues.filter { it.value.calls > 0 }.map { PoolReport(it.key, localTimes(it.key, it.value, now).first) }

    /** Stores the expected times that an owner reported. */
    fun onPoolReports(pools: List<PoolReport>, now: Long) {
        pools.forEach { poolTimes[it.service] = it.expectedMs to now }
    }

    private fun ownerOf(service: String, excluded: Set<String>): Member? =
        queueOwner(service, context.owners().filter { it.host !in excluded })

    private fun assign(pending: PendingJob) {
        val now = clock.nowMs()
        val elapsedMs = now - pending.startedMs
        val job = pending.job.copy(
            objectiveLeftMs = pending.job.objectiveLeftMs - elapsedMs,
            deadlineLeftMs = pending.job.deadlineLeftMs - elapsedMs,
        )
        if (job.deadlineLeftMs <= 0) {
            complete(job.job, JobOutcome(failure = JobFailure.LATE))
            return
        }
        val owner = ownerOf(job.service, pending.triedOwners).takeIf { pending.triedOwners.size < MAX_OWNER_ATTEMPTS }
        if (owner == null || owner.host == context.self.host) {
            pending.owner = context.self.host
            submitLocal(job)
            return
        }
        pending.owner = owner.host
        pending.triedOwners += owner.host
        val request = ServingRequest.RunStage(job)
        peers.request(owner.host, request, job.deadlineLeftMs + REPLY_MARGIN_MS) { onReply(pending, owner.host, it) }
    }

    private fun onReply(pending: PendingJob, owner: String, outcome: PeerOutcome) {
        val job = pending.job.job
        if (pendingJobs[job] !== pending || pending.owner != owner) return
        val reply = (outcome as? PeerOutcome.Replied)?.reply as? StageReply
        if (reply != null && reply.outcome.failure != JobFailure.MOVED) {
            complete(job, reply.outcome)
        } else {
            log.write("owner-lost", "job" to job, "service" to pending.job.service, "owner" to owner)
            assign(pending)
        }
    }

    private fun submitLocal(job: StageJob) {
        val now = clock.nowMs()
        val queue = queueOf(job.service, now)
        if (queue == null) {
            complete(job.job, JobOutcome(failure = JobFailure.FAILED))
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

    private fun complete(job: String, outcome: JobOutcome) {
        val reply = repliesToRemoteJobs.remove(job)
        val ownJob = pendingJobs[job]
        when {
            reply != null -> reply(outcome)

            ownJob == null -> Unit

            outcome.failure == JobFailure.MOVED -> assign(ownJob)

            else -> {
                pendingJobs.remove(job)
                onJobEnded(job, outcome)
            }
        }
    }

    /** Starts the shutdown: jobs that have not started go to the next owners, and so do all that arrive. */
    fun leave() {
        isLeaving = true
        queues.forEach { (service, queue) -> apply(service, queue.returnUnstartedJobs(clock.nowMs())) }
    }

    /** Returns the jobs of other hosts that have not ended, at the end of a shutdown, and cancels them here. */
    fun returnRemoteJobs() {
        val replies = repliesToRemoteJobs.toMap()
        repliesToRemoteJobs.clear()
        for ((job, reply) in replies) {
            queues.keys.forEach { cancelLocal(it, job) }
            reply(JobOutcome(failure = JobFailure.MOVED))
        }
    }

    private fun apply(service: String, effects: List<PoolEffect>) {
        for (effect in effects) {
            when (effect) {
                is PoolEffect.Call -> startCall(service, effect)

                is PoolEffect.Free -> freeAfterPause(effect) {
                    queues[service]?.let { apply(service, it.onFreed(effect.release, clock.nowMs())) }
                }

                is PoolEffect.InputsFetched -> reportFetched(effect.inputs)

                is PoolEffect.AskSpace -> askSpace(service, effect.target)

                is PoolEffect.Done -> complete(effect.job, effect.outcome)
            }
        }
    }

    private fun askSpace(service: String, target: TargetEntry) = targetClient.askSpace(target) { freeBytes ->
        spaceReports++
        val queue = queues[service]
        log.write("space-report", "target" to target.id, "free-bytes" to freeBytes, "used-bytes" to queue?.usedBytes)
        if (queue == null || freeBytes == null) return@askSpace
        apply(service, queue.onSpaceReport(target.id, target.startTimeMs, freeBytes, clock.nowMs()))
    }

    /** Frees results at their target, once a pause that the target asked for is over. */
    private fun freeAfterPause(effect: PoolEffect.Free, onFreed: () -> Unit) {
        val pauseLeftMs = context.pauseLeftMs(effect.target)
        if (pauseLeftMs <= 0) {
            targetClient.free(effect, onFreed)
        } else {
            delayedFrees += DelayedFree(effect, clock.nowMs() + pauseLeftMs, onFreed)
        }
    }

    private fun startDelayedFrees(now: Long) {
        val due = delayedFrees.filter { it.dueMs <= now }
        delayedFrees -= due.toSet()
        due.forEach { freeAfterPause(it.effect, it.onFreed) }
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
            "oldest-ms" to call.oldestMs,
            "used-bytes" to call.usedBytes,
            "requests" to call.items.map { it.request }.distinct().joinToString(","),
        )
        val maxConnections = context.config?.services?.get(service)?.maxConnections ?: 1
        targetClient.run(call, maxConnections) { outcome ->
            logFailures(service, call, outcome)
            queues[service]?.let { apply(service, it.onCallEnded(call.call, outcome, clock.nowMs())) }
        }
    }
}
