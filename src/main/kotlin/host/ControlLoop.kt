/*
 * The single thread that owns the control state. Adapters post tasks to it from any thread.
 */
package org.sesamerouter.host

import org.slf4j.LoggerFactory
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs tasks sequentially on a dedicated thread. */
class ControlLoop(name: String) {
    private val logger = LoggerFactory.getLogger(ControlLoop::class.java)

    @Volatile
    private var thread: Thread? = null
    private val executor = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "control-$name").apply { isDaemon = true }.also { thread = it }
    }

    /** Id of the control thread, used to measure its CPU time; -1 before the first task. */
    val threadId: Long get() = thread?.id ?: -1

    /** Runs [task] on the control thread; tasks posted after [close] are dropped. */
    fun post(task: () -> Unit) {
        try {
            executor.execute { runAndLogFailure(task) }
        } catch (_: RejectedExecutionException) {
            logger.debug("task dropped: the control loop is closed")
        }
    }

    /** Runs [task] every [periodMs] until [close]. */
    fun every(periodMs: Long, task: () -> Unit) {
        executor.scheduleAtFixedRate({ runAndLogFailure(task) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Runs [task] once after [delayMs]; dropped when the loop is closed by then. */
    fun after(delayMs: Long, task: () -> Unit) {
        try {
            executor.schedule({ runAndLogFailure(task) }, delayMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            logger.debug("delayed task dropped: the control loop is closed")
        }
    }

    /** Stops the loop; queued tasks are dropped and a running task is interrupted. */
    fun close() {
        executor.shutdownNow()
    }

    private fun runAndLogFailure(task: () -> Unit) {
        try {
            task()
        } catch (e: Throwable) {
            // An Error too: the executor would drop it without a line, and end a repeated task.
            logger.error("control task failed; please report this stack trace", e)
        }
    }
}
