/*
 * What operators declare for forwarded requests: routes, services, organisations and bounds, as one version that is in
 * force as a whole.
 */
package org.sesamerouter.serving

import org.sesamerouter.web.RequestLimits

/** What a route allows to be repeated. */
enum class RouteKind { SAFE, UNSAFE, STREAM }

/**
 * Work that has to be done before a request can run.
 *
 * @property after numbers of the stages whose results it needs.
 * @property resultBytes approximate size of one result.
 */
data class StageSpec(val service: String, val after: List<Int>, val resultBytes: Long)

/** A service with its weight among those of one route. */
data class ServiceShare(val service: String, val weight: Int)

/**
 * A route.
 *
 * @property timeoutMs longest time that a request may be kept waiting.
 * @property aimMs latency objective: of the answer, for streams of the first event.
 * @property rank 0 is the most urgent.
 * @property maxAttempts most targets that one request may be sent to.
 * @property gapAimMs longest pause between events for which a stream is on time.
 */
data class Route(
    val name: String,
    val authority: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val isResumable: Boolean,
    val timeoutMs: Long,
    val aimMs: Long,
    val rank: Int,
    val shares: List<ServiceShare>,
    val maxAttempts: Int,
    val stages: List<StageSpec>,
    val isPublic: Boolean,
    val gapAimMs: Long,
) {
    /** Whether a request may run again after it may have run. */
    val isIdempotent: Boolean get() = kind == RouteKind.SAFE || isResumable
}

/**
 * How a stage service takes pieces; all values hold for one target.
 *
 * @property slots calls in progress at the same time.
 * @property maxPieces most pieces in one call.
 * @property callMs time of a call without its pieces.
 * @property pieceMs approximate time of a piece.
 * @property roomBytes space for results.
 */
data class BatchSpec(
    val slots: Int,
    val maxPieces: Int,
    val callMs: Double,
    val pieceMs: Double,
    val roomBytes: Long,
) {
    /** Expected time of a call with [pieces]. */
    fun expectedMs(pieces: Int): Double = callMs + pieces * pieceMs
}

/** How an engine batches; all values hold for one target. */
data class EngineSpec(val slots: Int, val cacheTokens: Long)

/** A service. */
data class ServiceSpec(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    val batch: BatchSpec?,
    val engine: EngineSpec?,
)

/** An organisation; [rank] decides before the rank of a route when it is set. */
data class CallerOrganisation(val name: String, val rank: Int?, val keys: Set<String>)

/** One version of all declarations. */
data class ServingConfig(
    val version: Long,
    val routes: List<Route>,
    val services: Map<String, ServiceSpec>,
    val organisations: List<CallerOrganisation>,
    val limits: RequestLimits,
) {
    private val organisationOfKey = organisations.flatMap { o -> o.keys.map { it to o } }.toMap()
    private val routesOfAuthority = routes.groupBy { it.authority.lowercase() }
        .mapValues { (_, of) -> of.sortedByDescending { it.pathPrefix.length } }

    private val organisationRanks = organisations.mapNotNull { it.rank }.distinct().sorted()
    private val routeRanks = routes.map { it.rank }.distinct().sorted()

    /**
     * Returns the rank of a request of [organisation] on [route] among all that this version allows, 0 for the most
     * urgent. The organisation's rank decides, and between equal ones the route's. An organisation without a rank
     * counts as the least urgent that has one.
     */
    fun rankOf(organisation: CallerOrganisation?, route: Route): Int {
        val own = organisationRanks.indexOf(organisation?.rank)
        val before = if (own >= 0) own else maxOf(0, organisationRanks.lastIndex)
        return before * routeRanks.size + routeRanks.indexOf(route.rank)
    }

    /** Returns the organisation that holds [key]. */
    fun organisationOf(key: String): CallerOrganisation? = organisationOfKey[key]

    /** Whether requests carry keys at all. */
    val hasOrganisations: Boolean get() = organisations.isNotEmpty()

    /** Returns the route of [authority] with the longest prefix that begins [path]. */
    fun route(authority: String, path: String): Route? =
        routesOfAuthority[authority.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
