/*
 * Whether the platform's store answers this host, for the decision log.
 */
package org.sesamerouter.front

internal class StoreState(private val log: DecisionLog) {
    private var isLost = false

    /** Records the outcome of the call [what]; logs the loss of the store and its return. */
    fun update(isReachable: Boolean, what: String) {
        if (isLost == !isReachable) return
        isLost = !isReachable
        log.write(if (isReachable) "store-back" else "store-lost", "what" to what)
    }
}
