/*
 * Routes stage jobs of this host's requests to the host that owns the queue of their pool, and runs the queues that
 * this host owns. A job goes to another owner only if its owner returned it, ended, or was found silent by the fleet.
 * Results are freed at the host that counts them, which is the one whose queue made them. Runs on the control thread.
 */
package org.sesamerouter.front

import org.sesamerouter.batching.CallOutcome
import org.sesamerouter.batching.JobFailure
import org.sesamerouter.batching.JobOutcome
import org.sesamerouter.batching.PieceQueue
import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.batching.StageJob
import org.sesamerouter.clock.Clock
import org.sesamerouter.discovery.TargetEntry
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PoolReport
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.membership.StageReply
import org.sesamerouter.ownership.OwnerTerm
import org.sesamerouter.ownership.OwnershipEffect
import org.sesamerouter.ownership.OwnershipView
import org.sesamerouter.ownership.QueueOwnership
import org.sesamerouter.serving.PieceMemory
import org.sesamerouter.serving.ServingConfig
import org.sesamerouter.serving.UnboundedPieceMemory
import java.util.Random
import java.util.random.RandomGenerator

private const val REPLY_MARGIN_MS = 300L
private const val RETRY_DELAY_MS = 100L // the next owner of a queue is known within a few of these

/** Sends calls of the pool queues to targets. */
internal interface StageTargetClient {
    /** Sends [call]; [onEnded] is called with the outcome on the control thread. */
    fun run(call: PoolEffect.Call, maxConnections: Int, onEnded: (CallOutcome) -> Unit)

    /** Frees results; [onFreed] is called on the control thread after the reply or the timeout. */
    fun free(effect: PoolEffect.Free, onFreed: () -> Unit)

    /** Asks [target] for its free space in bytes; [onReport] gets it, or null, on the control thread. */
    fun askSpace(target: TargetEntry, onReport: (Long?) -> Unit)
}

/** Host state that [StageRouter] reads. */
internal interface StageContext : OwnershipView {
    val config: ServingConfig?

    fun targets(service: String): List<TargetEntry>

    fun targetAt(address: String): TargetEntry?

    /** Takes the permit to call [target] now; a cold one takes only a few calls. Returns whether there is one. */
    fun mayCall(target: TargetEntry): Boolean = true

    /** Time for which [target] wants no calls; 0 if it wants them. */
    fun pauseLeftMs(target: TargetEntry): Long
}

internal class StageRouter(
    private val context: StageContext,
    private val targetClient: StageTargetClient,
    private val peers: PeerRequests,
    private val clock: Clock,
    private val log: DecisionLog,
    private val random: RandomGenerator = Random(),
    pieceMemory: PieceMemory = UnboundedPieceMemory,
    private val onJobEnded: (String, JobOutcome) -> Unit,
) {
    private class PendingJob(val job: StageJob, val startedMs: Long) {
        var owner = ""

        /** Number of the attempt that is under way; replies to earlier ones are late. */
        var attempt = 0
        var retryAtMs: Long? = null
    }

    private val pendingJobs = LinkedHashMap<String, PendingJob>()
    private val queues = HashMap<String, PieceQueue>()
    private val peerJobs = PeerJobs(pieceMemory)
    private val ownership = QueueOwnership(context, random)

    /** Learns of terms from other hosts, and checks owners for them. */
    val owners = OwnershipAdapter(ownership, context, peers, clock, log, ::onOwnerChanged)
    private val poolTimes = PoolTimes()
    private val frees = ResultFrees(context, targetClient, peers, clock, ::freeInQueue)

    /** Number of pieces waiting in the queues of this host. */
    val waiting: Int get() = queues.values.sumOf { it.waiting }

    /** Number of pieces of the pool [service] waiting in the queue of this host. */
    fun waiting(service: String): Int = queues[service]?.waiting ?: 0

    /** Space in bytes that counts as used at the targets of this host's queues. */
    val usedBytes: Long get() = queues.values.sumOf { it.usedBytes }

    /** Number of jobs left out of the queues of this host since their organisation was over its share. */
    val displacedByShare: Long get() = queues.values.sumOf { it.displacedByShare }

    /** Number of times that a target was asked for its free space. */
    var spaceReports = 0L
        private set

    /** Whether a queue of this host has pieces that wait or run. */
    val hasQueuedWork: Boolean get() = queues.values.any { it.waiting > 0 || it.calls > 0 }

    /** Whether the owner of a queue is not known, so that the next tick should come soon. */
    val isSearching: Boolean get() = ownership.isSearching

    /** Number of jobs of other hosts in the queues of this one. */
    val remoteJobs: Int get() = peerJobs.size

    /** Submits a job of this host to the owner of its queue. */
    fun submit(job: StageJob) {
        val makers = job.inputs.mapNotNull(frees::countedAt).distinct()
        val pending = PendingJob(job.copy(inputMakers = makers), clock.nowMs())
        pendingJobs[job.job] = pending
        assign(pending)
    }

    /** Cancels a job of this host. */
    fun cancel(service: String, job: String) {
        val pending = pendingJobs.remove(job) ?: return
        if (pending.owner == context.self.host) {
            cancelLocal(service, job)
        } else if (pending.owner.isNotEmpty()) {
            peers.send(pending.owner, ServingRequest.CancelStage(service, job))
        }
    }

    /** Frees results with the next [flush]. */
    fun free(service: String, handles: List<String>) = frees.add(service, handles)

    /** Sends the collected handles to the hosts that count them. */
    fun flush() = frees.flush()

    /**
     * Runs a job of another host, which believes that the owner has [term]. A host that does not own the queue returns
     * the job with the term in force, or, if it [isRelayed] since its sender cannot reach the owner, passes it on.
     */
    fun runRemote(job: StageJob, term: OwnerTerm? = null, isRelayed: Boolean = false, reply: (StageReply) -> Unit) {
        term?.let { owners.learn(listOf(it), "a job of another host") }
        owners.execute(ownership.onJob(job.service, clock.nowMs()))
        val known = ownership.termOf(job.service)
        when {
            ownership.owns(job.service) -> runForPeer(job, reply)

            isRelayed && known != null -> peers.request(
                known.host,
                ServingRequest.RunStage(job, known),
                job.deadlineLeftMs + REPLY_MARGIN_MS,
            ) { reply((it as? PeerOutcome.Replied)?.reply as? StageReply ?: moved(job.service)) }

            else -> reply(moved(job.service))
        }
    }

    private fun runForPeer(job: StageJob, reply: (StageReply) -> Unit) {
        if (job.job in peerJobs) cancelLocal(job.service, job.job)
        if (peerJobs.add(job, reply)) {
            submitLocal(job)
            return
        }
        log.write("job-rejected", "job" to job.job, "service" to job.service, "pieces" to job.pieces.size)
        reply(StageReply(JobOutcome(failure = JobFailure.LATE), term = ownership.termOf(job.service)))
    }

    private fun moved(service: String) =
        StageReply(JobOutcome(failure = JobFailure.MOVED), term = ownership.termOf(service))

    /** Cancels a job in a queue of this host, or frees its results if it has ended. */
    fun cancelLocal(service: String, job: String) {
        queues[service]?.let { apply(service, it.cancel(job, clock.nowMs())) }
    }

    /** Handles the report that results of a queue of this host were probably fetched. */
    fun onFetchedLocal(service: String, handles: List<String>) {
        queues[service]?.let { apply(service, it.onFetched(handles, clock.nowMs())) }
    }

    /** Reports [handles] as probably fetched to the hosts that count them. */
    fun reportFetched(handles: List<String>) {
        val handlesByMaker = handles.groupBy(frees::countedAt)
        for ((maker, made) in handlesByMaker) if (maker != null) reportFetched(made, listOf(maker))
    }

    private fun reportFetched(handles: List<String>, makers: List<String>) {
        val handlesByService = handles.groupBy { context.targetAt(it.substringBefore('/'))?.service }
        for ((service, made) in handlesByService) {
            if (service == null) continue
            for (maker in makers) {
                if (maker == context.self.host) {
                    onFetchedLocal(service, made)
                } else {
                    peers.send(maker, ServingRequest.ResultsFetched(service, made))
                }
            }
        }
    }

    /** Frees results that this host counts, and at their targets those that it does not know. */
    fun freeLocal(service: String, handles: List<String>) = frees.freeHere(service, handles)

    private fun freeInQueue(service: String, handles: List<String>): List<String> {
        val (effects, unknown) = queues[service]?.free(handles, clock.nowMs()) ?: return handles
        apply(service, effects)
        return unknown
    }

    /** Advances the queues, decides about their owners and sends the collected handles. */
    fun onTick(now: Long) {
        val pools = context.config?.services.orEmpty().values.filter { it.batch != null }.map { it.name }
        owners.execute(ownership.onTick(pools, now))
        queues.forEach { (service, queue) ->
            queue.isSuspended = !ownership.mayCall(service, now)
            apply(service, queue.onTick(now))
            if (ownership.owns(service)) queue.takeStop(now)?.let { log.writeStop(queue, it) }
        }
        pendingJobs.values.filter { job -> job.retryAtMs?.let { it <= now } ?: false }.forEach(::assign)
        frees.onTick(now)
    }

    /** Applies changed targets or pool limits to the queues. */
    fun onTargets(now: Long) {
        for ((service, queue) in queues) {
            context.config?.services?.get(service)?.batch?.let(queue::update)
            apply(service, queue.update(context.targets(service), now))
        }
    }

    private fun onOwnerChanged(change: OwnershipEffect.Changed) {
        val (term, previous) = change
        val now = clock.nowMs()
        val own = context.self.host
        val queue = queues[term.pool]
        queue?.isSuspended = !ownership.mayCall(term.pool, now)
        if (queue != null && !ownership.owns(term.pool)) apply(term.pool, queue.returnWaitingJobs(now))
        val unowned = pendingJobs.values.filter { it.retryAtMs != null && it.job.service == term.pool }
        unowned.forEach(::assign)
        if (!term.isTakeover || previous == null) return
        pendingJobs.values.filter { it.owner == previous.host && previous.host != own && it.job.service == term.pool }
            .forEach(::assign)
    }

    /** Expected time of a stage in [service] with its queue, for a request of [rank] that needs it done in [dueMs]. */
    fun expectedStageMs(service: String, rank: Int, dueMs: Long): Double {
        val now = clock.nowMs()
        val own = queues[service].takeIf { ownership.owns(service) }
        if (own != null) poolTimes.refresh(service, own, now)
        return poolTimes.of(service, rank, dueMs) ?: unloadedStageMs(service)
    }

    /** Time that the pool [service] needs for the pieces on their way to it that run before such a request. */
    fun announcedMs(service: String, rank: Int, dueMs: Long): Double {
        val batch = context.config?.services?.get(service)?.batch ?: return 0.0
        val pieces = poolTimes.announcedAhead(service, rank, dueMs, clock.nowMs())
        val piecesPerRound = batch.maxPieces.toDouble() * maxOf(1, context.targets(service).size)
        return pieces * batch.expectedMs(batch.maxPieces) / piecesPerRound
    }

    /** Expected time of a stage in [service] with an empty queue. */
    fun unloadedStageMs(service: String): Double {
        val batch = context.config?.services?.get(service)?.batch ?: return 0.0
        return batch.expectedMs(batch.maxPieces / 2 + 1)
    }

    /** Returns the expected times of the queues that this host owns; those of idle ones less often. */
    fun poolReports(now: Long): List<PoolReport> =
        ownership.ownTerms.mapNotNull { queues[it.pool] }.mapNotNull { poolTimes.takeReport(it, now) }

    /** Stores what owners reported. */
    fun onPoolReports(pools: List<PoolReport>) = pools.forEach { poolTimes.onReport(it, clock.nowMs()) }

    private fun assign(pending: PendingJob) {
        val now = clock.nowMs()
        val elapsedMs = now - pending.startedMs
        val job = pending.job.copy(
            objectiveLeftMs = pending.job.objectiveLeftMs - elapsedMs,
            deadlineLeftMs = pending.job.deadlineLeftMs - elapsedMs,
            resultLeftMs = pending.job.resultLeftMs - elapsedMs,
        )
        pending.attempt++
        pending.retryAtMs = null
        if (job.deadlineLeftMs <= 0) {
            complete(job.service, job.job, JobOutcome(failure = JobFailure.LATE))
            return
        }
        val own = context.self.host
        pending.owner = ""
        val known = ownership.ownerOf(job.service)
        if (known == null || known == own) owners.execute(ownership.onJob(job.service, now))
        val owner = known ?: ownership.ownerOf(job.service)
        if (pendingJobs[job.job] !== pending || pending.owner.isNotEmpty()) return
        if (owner == null) {
            pending.retryAtMs = now + RETRY_DELAY_MS
        } else if (owner == own) {
            pending.owner = own
            submitLocal(job)
        } else {
            submitRemote(pending, job, owner)
        }
    }

    /** Sends [job] to its [owner], or by another host if this one does not reach the owner. */
    private fun submitRemote(pending: PendingJob, job: StageJob, owner: String) {
        val relays = context.owners().map { it.host }.filter { it != context.self.host && it != owner }
        val isRelayed = !peers.isResponsive(owner) && relays.isNotEmpty()
        val to = if (isRelayed) relays[random.nextInt(relays.size)] else owner
        pending.owner = owner
        val attempt = pending.attempt
        val request = ServingRequest.RunStage(job, ownership.termOf(job.service), isRelayed)
        peers.request(to, request, job.deadlineLeftMs + REPLY_MARGIN_MS) { onReply(pending, attempt, it) }
    }

    private fun onReply(pending: PendingJob, attempt: Int, outcome: PeerOutcome) {
        val job = pending.job
        val reply = (outcome as? PeerOutcome.Replied)?.reply as? StageReply
        val before = ownership.termOf(job.service)
        reply?.term?.let { owners.learn(listOf(it), "the reply to a job") }
        reply?.maker?.let { frees.onMade(reply.outcome.handles, it) }
        if (pendingJobs[job.job] !== pending || pending.attempt != attempt) {
            // The request has ended, or another owner runs the job: nobody will free these results.
            reply?.let { frees.add(job.service, it.outcome.handles) }
            return
        }
        if (reply != null && reply.outcome.failure == null && reply.outcome.handles.size != job.pieces.size) {
            // An owner of an earlier version makes one piece of a job whose pieces are not listed.
            log.write("job-incomplete", "job" to job.job, "service" to job.service, "owner" to pending.owner)
            frees.add(job.service, reply.outcome.handles)
            complete(job.service, job.job, JobOutcome(failure = JobFailure.FAILED))
            return
        }
        if (reply != null && reply.outcome.failure != JobFailure.MOVED) {
            complete(job.service, job.job, reply.outcome)
            return
        }
        log.write("owner-lost", "job" to job.job, "service" to job.service, "owner" to pending.owner)
        if (reply == null) peers.send(pending.owner, ServingRequest.CancelStage(job.service, job.job))
        val isNewOwner = ownership.termOf(job.service) != before
        if (isNewOwner) assign(pending) else pending.retryAtMs = clock.nowMs() + RETRY_DELAY_MS
    }

    private fun submitLocal(job: StageJob) {
        val now = clock.nowMs()
        val queue = queueOf(job.service, now)
        if (queue == null) {
            complete(job.service, job.job, JobOutcome(failure = JobFailure.FAILED))
        } else {
            apply(job.service, queue.submit(job, now))
        }
    }

    private fun queueOf(service: String, now: Long): PieceQueue? {
        queues[service]?.let { return it }
        val spec = context.config?.services?.get(service)?.batch ?: return null
        val queue = PieceQueue(service, spec)
        queues[service] = queue
        queue.isSuspended = !ownership.mayCall(service, now)
        apply(service, queue.update(context.targets(service), now))
        return queue
    }

    private fun complete(service: String, job: String, outcome: JobOutcome) {
        if (peerJobs.end(job, StageReply(outcome, context.self.host, ownership.termOf(service)))) return
        val pending = pendingJobs[job] ?: return
        if (outcome.failure == JobFailure.MOVED) {
            assign(pending)
            return
        }
        pendingJobs.remove(job)
        if (pending.owner == context.self.host) frees.onMade(outcome.handles, context.self.host)
        onJobEnded(job, outcome)
    }

    /** Handles the end of a job in a queue of this host. The results of one that another owner runs now are freed. */
    private fun onJobDone(service: String, done: PoolEffect.Done) {
        val pending = pendingJobs[done.job]
        val isForgotten = done.job !in peerJobs && pending?.owner != context.self.host
        if (isForgotten) freeLocal(service, done.outcome.handles) else complete(service, done.job, done.outcome)
    }

    /** Starts the shutdown: the queues of this host, with the jobs that wait in them, go to other hosts. */
    fun leave() {
        val now = clock.nowMs()
        ownership.ownTerms.forEach { owners.execute(ownership.handOver(it.pool, "owner leaving", now)) }
    }

    /** Returns the jobs of other hosts that have not ended, at the end of a shutdown, and cancels them here. */
    fun returnRemoteJobs() {
        for (job in peerJobs.ids) {
            peerJobs.end(job, StageReply(JobOutcome(failure = JobFailure.MOVED)))
            queues.keys.forEach { cancelLocal(it, job) }
        }
    }

    private fun apply(service: String, effects: List<PoolEffect>) {
        for (effect in effects) {
            when (effect) {
                is PoolEffect.Call -> startCall(service, effect)

                is PoolEffect.Free -> frees.freeAtTarget(effect) {
                    queues[service]?.let { apply(service, it.onFreed(effect.release, clock.nowMs())) }
                }

                is PoolEffect.InputsFetched -> reportFetched(effect.inputs, effect.makers)

                is PoolEffect.AskSpace -> askSpace(service, effect.target)

                is PoolEffect.Done -> onJobDone(service, effect)
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

    private fun startCall(service: String, call: PoolEffect.Call) {
        if (!context.mayCall(call.target)) {
            // The queue backs off from the target as from one that has refused the call, and uses another one.
            queues[service]?.let { apply(service, it.onCallEnded(call.call, CallOutcome.Refused, clock.nowMs())) }
            return
        }
        log.writeStageCall(service, call, queues[service]?.waiting, ownership.termOf(service)?.number)
        val maxConnections = context.config?.services?.get(service)?.maxConnections ?: 1
        targetClient.run(call, maxConnections) { outcome ->
            log.writeNotMade(service, call, outcome)
            queues[service]?.let { apply(service, it.onCallEnded(call.call, outcome, clock.nowMs())) }
        }
    }
}
