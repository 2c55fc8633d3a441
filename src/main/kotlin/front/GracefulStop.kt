/*
 * The planned stop of a host, between the request to stop and the end of the process. Runs on a thread of its own.
 */
package org.sesamerouter.front

import org.sesamerouter.membership.MemberStatus
import org.sesamerouter.serving.ShutdownSequence
import org.sesamerouter.web.RequestServer
import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private const val POLL_MS = 50L
private const val CLOSE_TIMEOUT_MS = 400L // within the margin that the shutdown sequence leaves before the kill
private const val KILL_MARGIN_MS = 100L // for the end of the process

/** Stops [host], which listens with [servers] and will be killed after [graceMs]. */
internal class GracefulStop(
    private val host: FrontHost,
    private val servers: List<RequestServer>,
    private val graceMs: Long,
) {
    private val logger = LoggerFactory.getLogger(GracefulStop::class.java)
    private val clock = host.clock
    private val startedMs = clock.nowMs()
    private val sequence = ShutdownSequence(host.flows, startedMs, graceMs)

    /** By then the process ends, whatever is left. */
    private val lastMs = startedMs + graceMs - KILL_MARGIN_MS

    /** Completes or rejects all requests and closes the connections; returns when the process may end. */
    fun run() {
        host.log.endsAtMs = sequence.endMs
        // The next request on an idle connection is better sent to another host.
        servers.forEach { it.closeIdleConnections() }
        onControlThread {
            writeLine("stop")
            host.membership.updateSelf(disseminate = true) { it.copy(leaving = true, ready = false) }
            host.peerUpdates.broadcastLeaving()
            host.stages.leave()
            host.apply(sequence.begin(), startedMs)
        }
        awaitRequests()
        end()
    }

    private fun awaitRequests() {
        while (clock.nowMs() < sequence.endMs) {
            var inProgress = 0
            onControlThread { inProgress = host.flows.inProgress + host.stages.remoteJobs }
            // Callers may use their open connections to the end: what they have sent by now is still answered.
            val mayEnd = inProgress == 0 && sequence.mayEndEarly(clock.nowMs())
            if (mayEnd && waitingConnections() == 0) return
            Thread.sleep(POLL_MS)
        }
    }

    private fun waitingConnections(): Int = await(servers.map { it.closeWhenAnswered() }, lastMs).sum()

    /** Ends the requests that are left, and closes the connections after their last answers were written. */
    private fun end() {
        waitingConnections()
        onControlThread {
            writeLine("stop-ends")
            host.apply(sequence.end(), clock.nowMs())
            host.stages.returnRemoteJobs()
            host.stages.flush()
            host.membership.updateSelf(disseminate = true) { it.copy(status = MemberStatus.LEFT) }
            host.peerUpdates.broadcastLeaving()
        }
        val closeMs = minOf(clock.nowMs() + CLOSE_TIMEOUT_MS, lastMs)
        while (waitingConnections() > 0 && clock.nowMs() < closeMs) Thread.sleep(POLL_MS)
        val unanswered = await(servers.map { it.close() }, closeMs).sum()
        host.log.write("stopped", "after-ms" to clock.nowMs() - startedMs, "unanswered" to unanswered)
        Thread.sleep(POLL_MS)
    }

    /** Runs [task] on the control thread. A failure is logged there; it must not keep the process from ending. */
    private fun onControlThread(task: () -> Unit) {
        val done = CompletableFuture<Unit>()
        host.controlLoop.post {
            try {
                task()
            } finally {
                done.complete(Unit)
            }
        }
        await(listOf(done), lastMs)
    }

    /** Waits for [futures] up to the time [untilMs], and returns the results of those that are complete. */
    private fun <T> await(futures: List<CompletableFuture<T>>, untilMs: Long): List<T> {
        try {
            val all = CompletableFuture.allOf(*futures.toTypedArray())
            all.get(maxOf(0, untilMs - clock.nowMs()), TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            logger.warn("a step of the stop was not done in time; some callers may lack their answers")
        }
        return futures.filter { it.isDone }.map { it.get() }
    }

    private fun writeLine(event: String) = host.log.write(
        event,
        "grace-ms" to graceMs,
        "in-progress" to host.flows.inProgress,
        "unsent" to host.flows.unsent,
        "remote-jobs" to host.stages.remoteJobs,
        "log-dropped" to host.log.dropped,
    )
}
