/*
 * Carries out what [QueueOwnership] decides: probes owners, asks witnesses, announces terms and logs them. Runs on the
 * control thread.
 */
package org.sesamerouter.front

import org.sesamerouter.clock.Clock
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.ownership.OwnerTerm
import org.sesamerouter.ownership.OwnershipEffect
import org.sesamerouter.ownership.OwnershipView
import org.sesamerouter.ownership.QueueOwnership

private const val ANSWER_TIMEOUT_MS = 400L // hosts that have just started answer after up to 0.3 s

/** [onChanged] is called when a term has come into force here. */
internal class OwnershipAdapter(
    private val ownership: QueueOwnership,
    private val view: OwnershipView,
    private val peers: PeerRequests,
    private val clock: Clock,
    private val log: DecisionLog,
    private val onChanged: (OwnershipEffect.Changed) -> Unit,
) {
    /** The terms of the owners of queues as this host knows them. */
    val terms: List<OwnerTerm> get() = ownership.terms

    /** The terms of this host. */
    val ownTerms: List<OwnerTerm> get() = ownership.ownTerms

    /** Number of times that the terms in force have changed here. */
    var changes = 0L
        private set

    /** Learns of [terms] from [source]. */
    fun learn(terms: List<OwnerTerm>, source: String) =
        terms.forEach { execute(ownership.onTerm(it, source, clock.nowMs())) }

    /** Checks for another host whether the owner of [term] answers this one. */
    fun checkOwner(term: OwnerTerm, reply: (isAnswering: Boolean, terms: List<OwnerTerm>) -> Unit) {
        if (term.host == view.self.host) return reply(ownership.owns(term.pool), terms)
        var isReplied = false
        peers.probe(term.host) { result, known ->
            learn(known, term.host)
            val isAnswering = result == ProbeResult.ANSWERED || result == ProbeResult.HEARD
            if (!isReplied) reply(isAnswering, terms)
            isReplied = true
        }
    }

    /** Carries out [effects]. */
    fun execute(effects: List<OwnershipEffect>) {
        for (effect in effects) {
            when (effect) {
                is OwnershipEffect.Changed -> onTermChanged(effect)
                is OwnershipEffect.Probe -> probe(effect.host)
                is OwnershipEffect.Ask -> ask(effect)
                is OwnershipEffect.Correct -> peers.send(effect.host, ServingRequest.Owner(effect.term))
                is OwnershipEffect.Kept -> logKept(effect)
            }
        }
    }

    private fun onTermChanged(change: OwnershipEffect.Changed) {
        val (term, previous, why) = change
        changes++
        log.write(
            "pool-owner",
            "service" to term.pool,
            "term" to term.number,
            "owner" to term.host,
            "was" to previous?.host,
            "own" to ownership.owns(term.pool),
            "why" to why,
        )
        if (ownership.owns(term.pool) || previous?.host == view.self.host) peers.announce(term)
        onChanged(change)
    }

    private fun probe(host: String) {
        val sentMs = clock.nowMs()
        peers.probe(host, ANSWER_TIMEOUT_MS) { result, known ->
            learn(known, host)
            when (result) {
                ProbeResult.ANSWERED -> ownership.onAnswer(host, sentMs, clock.nowMs())
                ProbeResult.HEARD -> ownership.onHeard(host, clock.nowMs())
                ProbeResult.REFUSED -> execute(ownership.onNoAnswer(host, clock.nowMs()))
                ProbeResult.SILENT -> Unit
            }
        }
    }

    private fun ask(effect: OwnershipEffect.Ask) = peers.askOwner(effect.witness, effect.term) { isAnswering, known ->
        learn(known, effect.witness)
        execute(ownership.onWitness(effect.witness, effect.term, isAnswering, clock.nowMs()))
    }

    private fun logKept(effect: OwnershipEffect.Kept) = log.write(
        "pool-owner-kept",
        "service" to effect.term.pool,
        "term" to effect.term.number,
        "owner" to effect.term.host,
        "why" to effect.why,
    )
}
