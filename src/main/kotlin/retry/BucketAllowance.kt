/*
 * An allowance of one host that fills with requests.
 */
package org.sesamerouter.retry

import org.sesamerouter.pipeline.RetryBudget

/** A token bucket of one host for each service. */
class BucketAllowance(private val newBucket: () -> RetryBudget) : RepeatAllowance {
    private val buckets = HashMap<String, RetryBudget>()

    private fun bucketOf(service: String) = buckets.getOrPut(service, newBucket)

    override fun onRequest(service: String, now: Long) = bucketOf(service).deposit()

    override fun isLeft(service: String, now: Long) = bucketOf(service).canWithdraw

    override fun tryTake(service: String, reason: RepeatReason, now: Long) = bucketOf(service).tryWithdraw()

    override fun slackShare(now: Long) = 0.0

    override fun uses(now: Long) = emptyMap<String, AllowanceUse>()
}
