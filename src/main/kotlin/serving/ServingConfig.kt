/*
 * Configuration of forwarded requests: routes, services, organisations and limits. A version is applied as a whole.
 */
package org.sesamerouter.serving

import org.sesamerouter.web.RequestLimits

private const val DEFAULT_RESULT_LIFE_MS = 60_000L

/** Whether requests of a route may be repeated or resumed. */
enum class RouteKind { SAFE, UNSAFE, STREAM }

/**
 * A stage: work that has to be completed before the request is sent to its target.
 *
 * @property dependencies numbers of the stages whose results it reads.
 * @property resultBytes approximate size of one result.
 */
data class StageSpec(val service: String, val dependencies: List<Int>, val resultBytes: Long)

/** A service of a route with its traffic weight. */
data class ServiceShare(val service: String, val weight: Int)

/**
 * A route, selected by the host name and path prefix of a request.
 *
 * @property timeoutMs upper bound of the request timeout.
 * @property objectiveMs latency objective, until the complete response or, for streams, the first event.
 * @property rank 0 is the most urgent.
 * @property maxAttempts maximum number of targets that may run one request.
 * @property gapObjectiveMs longest pause between events that meets the objective of a stream.
 * @property allowedRegions regions whose targets may get its requests; null if all may.
 */
data class Route(
    val name: String,
    val authority: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val isResumable: Boolean,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val rank: Int,
    val shares: List<ServiceShare>,
    val maxAttempts: Int,
    val stages: List<StageSpec>,
    val isPublic: Boolean,
    val gapObjectiveMs: Long,
    val allowedRegions: Set<String>? = null,
) {
    /** Whether a request that may have run may be run again. */
    val isIdempotent: Boolean get() = kind == RouteKind.SAFE || isResumable
}

/**
 * How a stage service batches pieces; all values are per target.
 *
 * @property slots number of concurrent calls.
 * @property maxPieces maximum number of pieces in one call.
 * @property callMs fixed time of a call, excluding its pieces.
 * @property pieceMs approximate time that each piece adds.
 * @property resultSpaceBytes space for results.
 * @property resultLifeMs time from the end of a call after which its results are gone.
 */
data class BatchSpec(
    val slots: Int,
    val maxPieces: Int,
    val callMs: Double,
    val pieceMs: Double,
    val resultSpaceBytes: Long,
    val resultLifeMs: Long = DEFAULT_RESULT_LIFE_MS,
) {
    /** Expected time of a call with [pieces]. */
    fun expectedMs(pieces: Int): Double = callMs + pieces * pieceMs
}

/** How an engine batches; all values are per target. */
data class EngineSpec(val slots: Int, val cacheTokens: Long)

/**
 * How targets of a service behave after their start.
 *
 * @property durationMs time for which a target stays cold.
 * @property requestsPerS requests per second that a cold target takes; all hosts together must not send more.
 */
data class ColdStart(val durationMs: Long, val requestsPerS: Double)

/** A service; [coldStart] is null if its targets take their full load from the start. */
data class ServiceSpec(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    val batch: BatchSpec?,
    val engine: EngineSpec?,
    val coldStart: ColdStart? = null,
)

/**
 * An organisation; [rank], if set, takes precedence over the rank of the route.
 *
 * @property allowedRegions regions whose targets may get its requests; null if all may.
 */
data class CallerOrganisation(
    val name: String,
    val rank: Int?,
    val keys: Set<String>,
    val allowedRegions: Set<String>? = null,
)

/** One version of the whole configuration. */
data class ServingConfig(
    val version: Long,
    val routes: List<Route>,
    val services: Map<String, ServiceSpec>,
    val organisations: List<CallerOrganisation>,
    val limits: RequestLimits,
) {
    private val organisationsByKey = organisations.flatMap { o -> o.keys.map { it to o } }.toMap()
    private val routesByAuthority = routes.groupBy { it.authority.lowercase() }
        .mapValues { (_, of) -> of.sortedByDescending { it.pathPrefix.length } }

    private val organisationRanks = organisations.mapNotNull { it.rank }.distinct().sorted()
    private val routeRanks = routes.map { it.rank }.distinct().sorted()

    /**
     * Returns the rank of a request of [organisation] on [route] among all combinations in this version; 0 is the most
     * urgent. Requests are ranked by organisation first, then by route. An organisation without a rank counts as the
     * least urgent one that has a rank.
     */
    fun rankOf(organisation: CallerOrganisation?, route: Route): Int {
        val organisationIndex = organisationRanks.indexOf(organisation?.rank)
        val position = if (organisationIndex >= 0) organisationIndex else maxOf(0, organisationRanks.lastIndex)
        return position * routeRanks.size + routeRanks.indexOf(route.rank)
    }

    /** Returns the regions that both [organisation] and [route] allow; null if neither states any. */
    fun allowedRegions(organisation: CallerOrganisation?, route: Route): Set<String>? {
        val stated = listOfNotNull(organisation?.allowedRegions, route.allowedRegions)
        return stated.reduceOrNull { a, b -> a intersect b }
    }

    /** Returns the organisation that owns the API key [key]. */
    fun organisationOf(key: String): CallerOrganisation? = organisationsByKey[key]

    /** Whether requests need an API key. */
    val hasOrganisations: Boolean get() = organisations.isNotEmpty()

    /** Returns the route of [authority] with the longest prefix of [path]. */
    fun route(authority: String, path: String): Route? =
        routesByAuthority[authority.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
