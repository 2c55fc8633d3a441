/*
 * What hosts that forward requests tell each other: changes of targets, the version in force, what is at the engines
 * and in the pools. A host that learns of a newer version than its own from a peer fetches it there, so that one which
 * the store turns away follows as well.
 */
package org.sesamerouter.front

import org.sesamerouter.discovery.EntryRead
import org.sesamerouter.membership.PeerHandler
import org.sesamerouter.membership.PeerOutcome
import org.sesamerouter.membership.PeerReply
import org.sesamerouter.membership.PeerRequest
import org.sesamerouter.membership.ProbeMessage
import org.sesamerouter.membership.ServingRequest
import org.sesamerouter.membership.StageReply
import org.sesamerouter.membership.StateReply
import org.sesamerouter.quarantine.DeathNotice

private const val NEWS_EVERY_MS = 250L // engines begin a prompt within about this
private const val STATE_TIMEOUT_MS = 500L
private const val FETCH_DELAY_MS = 150L // a host that reaches the store has the version from there by then

internal class NewsAdapter(private val host: FrontHost) : PeerHandler {
    private var nextMs = 0L
    private var pendingRead: EntryRead? = null
    private var readMs = 0L
    private var isFetching = false

    override fun onProbe(message: ProbeMessage, from: String) = host.loop.post {
        host.membership.onMessage(message, from, host.clock.nowMs()).forEach(host.link::sendProbe)
        val newest = host.membership.live().maxByOrNull { it.revision } ?: return@post
        if (newest.revision > version() || !host.directory.isReady) fetchState(newest.host)
    }

    override fun onRequest(request: PeerRequest, reply: (PeerReply) -> Unit) = host.loop.post {
        when (request) {
            is ServingRequest.RunStage -> host.stages.runRemote(request.job) { reply(StageReply(it)) }

            is ServingRequest.CancelStage -> {
                host.stages.cancelLocal(request.service, request.job)
                reply(PeerReply.Taken)
            }

            is ServingRequest.FreeResults -> {
                host.stages.freeLocal(request.service, request.handles)
                reply(PeerReply.Taken)
            }

            is ServingRequest.ResultsRead -> {
                host.stages.readLocal(request.service, request.handles)
                reply(PeerReply.Taken)
            }

            is ServingRequest.News -> {
                onNews(request)
                reply(PeerReply.Taken)
            }

            ServingRequest.State -> reply(state())

            ServingRequest.Ping -> reply(PeerReply.Taken)

            is PeerRequest.Deaths -> {
                request.notices.forEach { host.quarantine.onDeath(it, host.clock.nowMs()) }
                reply(PeerReply.Taken)
            }

            // Requests of the product's own interface; the asker has its own timeout.
            else -> Unit
        }
    }

    /** Takes in what this host read from the store, to tell it at once. */
    fun onOwnRead(read: EntryRead) {
        val before = pendingRead
        pendingRead =
            if (before == null) read else EntryRead(before.from, read.end, false, before.changes + read.changes)
        readMs = host.clock.nowMs()
        tellNow()
    }

    /** Tells what is new with the next tick. */
    fun tellNow() {
        nextMs = 0
    }

    /** Tells the other hosts at once of a death, since the request comes again to any of them. */
    fun tellDeath(notice: DeathNotice) {
        others().forEach { host.link.request(it.peer, PeerRequest.Deaths(listOf(notice)), STATE_TIMEOUT_MS) {} }
    }

    /** Tells the other hosts at once that this one leaves, so that they give it no more work. */
    fun tellLeaving() {
        others().forEach { host.link.sendProbe(host.membership.ping(it)) }
    }

    /** Tells the other hosts what is new. */
    fun onTick(now: Long) {
        if (now < nextMs) return
        nextMs = now + NEWS_EVERY_MS
        val read = pendingRead
        val engines = host.engines.takeNews(now)
        val pools = host.stages.news(now)
        val isNewVersion = version() != toldVersion
        val isQuiet = engines.isEmpty() && pools.isEmpty()
        if (read == null && isQuiet && !isNewVersion) return
        pendingRead = null
        toldVersion = version()
        val told = ServingRequest.News(host.self.host, version(), read, now - readMs, engines, pools)
        others().forEach { host.peers.tell(it.host, told) }
    }

    private var toldVersion = -1L

    private fun onNews(news: ServingRequest.News) {
        val now = host.clock.nowMs()
        news.read?.let { host.onTargets(it, news.readAgeMs, isOwn = false) }
        host.engines.onNews(news.from, news.engines, now)
        host.stages.onNews(news.pools, now)
        if (news.configVersion > version()) host.loop.after(FETCH_DELAY_MS) { fetchState(news.from) }
    }

    private fun version() = host.config?.version ?: -1

    private fun others() = host.membership.live().filter { it.host != host.self.host && host.peers.isTrusted(it.host) }

    private fun fetchState(from: String) {
        val peer = host.membership.member(from) ?: return
        val isNeeded = peer.revision > version() || !host.directory.isReady
        if (isFetching || !isNeeded || from == host.self.host) return
        isFetching = true
        host.peers.ask(from, ServingRequest.State, STATE_TIMEOUT_MS) { outcome ->
            isFetching = false
            val state = (outcome as? PeerOutcome.Replied)?.reply as? StateReply ?: return@ask
            state.config?.let(host::onConfig)
            if (!host.directory.isReady) state.read?.let { host.onTargets(it, state.readAgeMs, isOwn = false) }
        }
    }

    private fun state(): StateReply {
        val read = host.directory.snapshot()
        return StateReply(host.configText, read, host.clock.nowMs() - host.directory.freshMs)
    }
}
