/*
 * Feature switches of the request coordinator. The naive policy is the baseline of the measurements: first come, first
 * served, random targets, up to 3 retries of a request within a budget of one retry for each request, no admission
 * control, no hedges and no quarantine. It ignores deadlines and answers whenever the target does.
 */
package org.sesamerouter.pipeline

/**
 * @property admission refuse requests on arrival that cannot be answered before their deadline and, with [deadlines],
 *   drop queued requests that are not expected to meet it.
 * @property deadlines answer a request at its deadline at the latest and cancel its running attempts.
 * @property fairQueue order queues by share, rank and latest start instead of arrival.
 * @property hedgeShare maximum number of hedges as a share of requests.
 * @property retryShare maximum number of retries as a share of requests.
 * @property maxRetries maximum number of retries of one request.
 * @property quarantine detect and refuse requests that crash targets.
 * @property keyLifetimeMs maximum age of a key without a ticket.
 */
data class ServingPolicy(
    val admission: Boolean = true,
    val deadlines: Boolean = true,
    val fairQueue: Boolean = true,
    val hedgeShare: Double = 0.05,
    val retryShare: Double = 0.2,
    val maxRetries: Int = 4,
    val quarantine: Boolean = true,
    val keyLifetimeMs: Long = 3_600_000,
) {
    companion object {
        /** The baseline. Non-idempotent requests still run at most once. */
        val NAIVE = ServingPolicy(
            admission = false,
            deadlines = false,
            fairQueue = false,
            hedgeShare = 0.0,
            retryShare = 1.0,
            maxRetries = 3,
            quarantine = false,
        )
    }
}
