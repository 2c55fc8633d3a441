/*
 * Frees results of stages. Whose queue made a result counts its space, so the message that frees it goes to that host,
 * also after another host has become the owner of the queue. A message that is not confirmed is repeated; results of a
 * host that has ended are freed at their targets. Runs on the control thread.
 */
package org.sesamerouter.front

import org.sesamerouter.batching.PoolEffect
import org.sesamerouter.clock.Clock
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.ServingRequest

private const val FREE_TIMEOUT_MS = 1_000L
private const val RETRY_DELAY_MS = 200L
private const val MAX_ATTEMPTS = 3

/** [freeInQueue] frees results that the queue of this host counts, and returns the other ones. */
internal class ResultFrees(
    private val context: StageContext,
    private val targetClient: StageTargetClient,
    private val peers: PeerRequests,
    private val clock: Clock,
    private val freeInQueue: (service: String, handles: List<String>) -> List<String>,
) {
    private class Batch(val service: String, val host: String, val handles: List<String>, val attempt: Int)

    private class Delayed(val dueMs: Long, val run: () -> Unit)

    private val hostByHandle = HashMap<String, String>()
    private val collected = HashMap<String, MutableList<String>>()
    private var delayed = emptyList<Delayed>()

    /** Records that the queue of [host] counts [handles], which are held for requests of this host. */
    fun onMade(handles: List<String>, host: String) = handles.forEach { hostByHandle[it] = host }

    /** Returns the host that counts [handle], which is held for a request of this host. */
    fun countedAt(handle: String): String? = hostByHandle[handle]

    /** Frees [handles] with the next [flush]. */
    fun add(service: String, handles: List<String>) {
        if (handles.isNotEmpty()) collected.getOrPut(service) { ArrayList() } += handles
    }

    /** Sends the collected handles to the hosts that count them. */
    fun flush() {
        val batches = collected.flatMap { (service, handles) ->
            handles.groupBy { hostByHandle.remove(it) ?: context.self.host }
                .map { (host, of) -> Batch(service, host, of, attempt = 1) }
        }
        collected.clear()
        batches.forEach(::send)
    }

    fun onTick(now: Long) {
        flush()
        val (due, later) = delayed.partition { it.dueMs <= now }
        if (due.isEmpty()) return
        delayed = later
        due.forEach { it.run() }
    }

    /** Frees results that this host counts, and at their targets those that it does not know. */
    fun freeHere(service: String, handles: List<String>) {
        val unknown = freeInQueue(service, handles)
        for ((address, made) in unknown.groupBy { it.substringBefore('/') }) {
            context.targetAt(address)?.let { freeAtTarget(PoolEffect.Free(0, it, made)) {} }
        }
    }

    /** Frees results at their target, once a pause that the target asked for is over. */
    fun freeAtTarget(effect: PoolEffect.Free, onFreed: () -> Unit) {
        val pauseLeftMs = context.pauseLeftMs(effect.target)
        if (pauseLeftMs <= 0) {
            targetClient.free(effect, onFreed)
        } else {
            after(pauseLeftMs) { freeAtTarget(effect, onFreed) }
        }
    }

    private fun send(batch: Batch) {
        val isHere = batch.host == context.self.host
        if (isHere || batch.attempt > MAX_ATTEMPTS || context.member(batch.host)?.isLive != true) {
            freeHere(batch.service, batch.handles)
            return
        }
        val request = ServingRequest.FreeResults(batch.service, batch.handles)
        peers.request(batch.host, request, FREE_TIMEOUT_MS) { outcome ->
            if (outcome is PeerOutcome.Failed) {
                after(RETRY_DELAY_MS) { send(Batch(batch.service, batch.host, batch.handles, batch.attempt + 1)) }
            }
        }
    }

    private fun after(delayMs: Long, run: () -> Unit) {
        delayed += Delayed(clock.nowMs() + delayMs, run)
    }
}
