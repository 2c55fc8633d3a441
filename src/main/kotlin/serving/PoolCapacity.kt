/*
 * What the targets of a pool can do at most, by the figures that the operator declares. Work that needs far more than
 * that is rejected before anything is made for its pieces.
 */
package org.sesamerouter.serving

// Figures are approximate: piece times differ by stage and target, result sizes vary, and targets come and go.
private const val CERTAINTY_FACTOR = 2.0

// The shortest handle is an address such as 1.1.1.1:1, a slash and a character, with a comma behind it.
private const val MIN_HANDLE_BYTES = 12

/** A figure that bounds what a pool can do for one request. */
enum class CapacityFigure {
    /** Time in ms until the deadline. */
    TIME,

    /** Bytes for results at the targets of a pool. */
    SPACE,

    /** Bytes of the header that names all results to the target. */
    INPUTS,

    /** Bytes of memory of this host. */
    MEMORY,
}

/** A request needs [needed] of [figure], at least, where [available] is what there is; [service] is the pool. */
data class Shortage(val service: String, val figure: CapacityFigure, val needed: Long, val available: Long)

/** The pool with [targets] in use whose targets have the limits [spec]. */
class PoolCapacity(private val spec: BatchSpec, private val targets: Int) {
    /** Time that [pieces] take at least, if all targets work on nothing else; 0 without targets. */
    fun leastMs(pieces: Long): Double {
        if (targets == 0 || pieces == 0L) return 0.0
        val calls = (pieces + spec.maxPieces - 1) / spec.maxPieces
        val workMs = calls * spec.callMs + pieces * spec.pieceMs
        return maxOf(spec.expectedMs(1), workMs / (targets.toDouble() * spec.slots))
    }

    /** Whether it is certain that [pieces] take longer than [leftMs]. */
    fun isTooSlowFor(pieces: Long, leftMs: Long): Boolean = leastMs(pieces) > leftMs * CERTAINTY_FACTOR

    /** Space for results at all targets. */
    val resultSpaceBytes: Double get() = targets.toDouble() * spec.resultSpaceBytes
}

/** Finds requests whose pieces cannot be served by their deadline, whatever else the pools have to do. */
internal class CapacityCheck(private val context: FlowContext) {
    /** Returns what the stages of [flow] lack; null if the request may be servable. */
    fun shortageOf(flow: Flow, now: Long): Shortage? {
        if (flow.totalPieces == 0L) return null
        return timeShortage(flow, now) ?: spaceShortage(flow) ?: inputShortage(flow)
    }

    private fun capacityOf(service: String): PoolCapacity? {
        val spec = context.config?.services?.get(service)?.batch ?: return null
        return PoolCapacity(spec, context.targets(service).size)
    }

    private fun timeShortage(flow: Flow, now: Long): Shortage? {
        val stages = flow.request.route.stages
        val leftMs = flow.request.deadlineMs - now
        val piecesByService = HashMap<String, Long>()
        stages.forEachIndexed { n, stage ->
            piecesByService.merge(stage.service, flow.pieceCount(n).toLong(), Long::plus)
        }
        val ofPools = piecesByService.map { (service, pieces) ->
            service to (capacityOf(service)?.leastMs(pieces) ?: 0.0)
        }
        val ofChains = stages.indices.filter { flow.pieceCount(it) > 0 }.map { stages[it].service to chainMs(flow, it) }
        val (service, neededMs) = (ofPools + ofChains).maxBy { it.second }
        if (neededMs <= leftMs * CERTAINTY_FACTOR) return null
        return Shortage(service, CapacityFigure.TIME, neededMs.toLong(), leftMs)
    }

    /** Time of [stage] and those that need its results, at least. */
    private fun chainMs(flow: Flow, stage: Int): Double {
        val service = flow.request.route.stages[stage].service
        val ownMs = capacityOf(service)?.leastMs(flow.pieceCount(stage).toLong()) ?: 0.0
        return ownMs + (flow.dependentStages(stage).maxOfOrNull { chainMs(flow, it) } ?: 0.0)
    }

    /** The results of a stage exist at the same time, since whoever reads them needs all. */
    private fun spaceShortage(flow: Flow): Shortage? {
        flow.request.route.stages.forEachIndexed { number, stage ->
            val capacity = capacityOf(stage.service) ?: return@forEachIndexed
            val neededBytes = flow.pieceCount(number).toDouble() * stage.resultBytes
            val spaceBytes = capacity.resultSpaceBytes
            if (spaceBytes > 0 && neededBytes > spaceBytes * CERTAINTY_FACTOR) {
                return Shortage(stage.service, CapacityFigure.SPACE, neededBytes.toLong(), spaceBytes.toLong())
            }
        }
        return null
    }

    private fun inputShortage(flow: Flow): Shortage? {
        val stages = flow.request.route.stages
        val inputs = stages.indices.filter { flow.dependentStages(it).isEmpty() }.sumOf { flow.pieceCount(it).toLong() }
        val neededBytes = inputs * MIN_HANDLE_BYTES
        val headBytes = context.config?.limits?.maxHeaderBytes?.toLong() ?: return null
        if (neededBytes <= headBytes * CERTAINTY_FACTOR) return null
        return Shortage(flow.request.service, CapacityFigure.INPUTS, neededBytes, headBytes)
    }
}
