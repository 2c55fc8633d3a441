/*
 * The one thread that owns control state. Adapters post to it from any thread.
 */
package org.sesamerouter.host

import org.slf4j.LoggerFactory
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs tasks one after the other on its own thread. */
class ControlLoop(name: String) {
    private val logger = LoggerFactory.getLogger(ControlLoop::class.java)

    @Volatile
    private var thread: Thread? = null
    private val executor = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "control-$name").apply { isDaemon = true }.also { thread = it }
    }

    /** The id of the control thread, for measuring its processor time; -1 before the first task. */
    val threadId: Long get() = thread?.id ?: -1

    /** Runs [task] on the control thread; after [close] it is dropped. */
    fun post(task: () -> Unit) {
        try {
            executor.execute { guarded(task) }
        } catch (_: RejectedExecutionException) {
            logger.debug("a task came after the control loop was closed")
        }
    }

    /** Runs [task] every [periodMs]. */
    fun every(periodMs: Long, task: () -> Unit) {
        executor.scheduleAtFixedRate({ guarded(task) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Runs [task] once after [delayMs]. */
    fun after(delayMs: Long, task: () -> Unit) {
        try {
            executor.schedule({ guarded(task) }, delayMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            logger.debug("a delayed task came after the control loop was closed")
        }
    }

    /** Runs no further task. */
    fun close() {
        executor.shutdownNow()
    }

    private fun guarded(task: () -> Unit) {
        try {
            task()
        } catch (e: Exception) {
            logger.error("a control task failed; report it with this trace", e)
        }
    }
}
