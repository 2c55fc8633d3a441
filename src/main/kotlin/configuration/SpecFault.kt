/*
 * Faults in what operators write, and the checks that declarations and settings share.
 */
package org.sesamerouter.configuration

/** A fault in a declaration or in settings: where it is and what to write instead. */
data class SpecFault(val path: String, val problem: String, val remedy: String) {
    override fun toString(): String = "$path: $problem; $remedy"
}

private val addressPattern = Regex("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")

/** Returns a fault when [value] is outside [range]. */
fun rangeFault(path: String, value: Long, range: LongRange): SpecFault? {
    if (value in range) return null
    return SpecFault(path, "$value is out of bounds", "set ${range.first} to ${range.last}")
}

/** Returns a fault when [address] is not an IPv4 address with a port. */
fun addressFault(path: String, address: String): SpecFault? {
    val valid = addressPattern.matches(address) &&
        address.substringBefore(':').split('.').all { it.toInt() <= 255 } &&
        address.substringAfter(':').toInt() in 0..65_535
    return if (valid) null else SpecFault(path, "'$address' is no address", "write IP:PORT, such as 127.0.0.1:8080")
}
