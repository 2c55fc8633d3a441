/*
 * Connects the evacuations with their host: its targets, the metrics and the decision log.
 */
package org.sesamerouter.front

import org.sesamerouter.evacuation.EvacuationRead
import org.sesamerouter.evacuation.EvacuationRecord
import org.sesamerouter.evacuation.EvacuationState
import org.sesamerouter.evacuation.Evacuations

/**
 * Runs on the control thread; only the gauge is read from others. [onChanged] is called when other targets are usable.
 */
internal class HostEvacuations(private val log: DecisionLog, private val onChanged: () -> Unit) {
    val known = Evacuations()
    private val loggedKeys = HashMap<String, Long>()

    fun registerGauges(metrics: FrontMetrics) = metrics.gauge("evacuated.datacentres") { known.inForce.size }

    fun isEvacuated(dataCentre: String): Boolean = dataCentre in known.inForce

    /** Applies a read of this host, and returns what the other hosts have to know. */
    fun onRead(read: EvacuationRead): List<EvacuationRecord> = track("store") { known.onRead(read) }

    fun onPeer(state: EvacuationState, from: String) {
        track(from) { known.onPeer(state) }
    }

    /** Handles a key of the operator that has no meaning here. */
    fun onUnknownKey(key: String, offset: Long) {
        val logged = loggedKeys[key]
        if ((logged != null && logged >= offset) || loggedKeys.size >= MAX_LOGGED_KEYS) return
        loggedKeys[key] = offset
        log.write("operator-key-ignored", "key" to key, "offset" to offset)
    }

    private fun track(source: String, change: () -> List<EvacuationRecord>): List<EvacuationRecord> {
        val before = known.inForce
        val changes = change()
        for (record in changes.filter { (it.dataCentre in before) != it.isInForce }) {
            log.write(
                "evacuation",
                "data-centre" to record.dataCentre,
                "in-force" to record.isInForce,
                "offset" to record.offset,
                "era" to record.era,
                "source" to source,
            )
        }
        if (known.inForce != before) onChanged()
        return changes
    }

    private companion object {
        const val MAX_LOGGED_KEYS = 100 // operators use a few keys; more are most likely a fault of a writer
    }
}
