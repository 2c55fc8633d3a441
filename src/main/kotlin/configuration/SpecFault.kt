/*
 * Validation errors in declarations and settings, and the checks shared by both.
 */
package org.sesamerouter.configuration

/** A validation error in a declaration or in settings: its location and how to correct it. */
data class SpecFault(val path: String, val problem: String, val remedy: String) {
    override fun toString(): String = "$path: $problem; $remedy"
}

private val addressPattern = Regex("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")

/** Returns a fault if [value] is outside [range]. */
fun rangeFault(path: String, value: Long, range: LongRange): SpecFault? {
    if (value in range) return null
    return SpecFault(path, "$value is out of range", "set a value from ${range.first} to ${range.last}")
}

/** Returns a fault if [address] is not an IPv4 address with a port. */
fun addressFault(path: String, address: String): SpecFault? {
    val valid = addressPattern.matches(address) &&
        address.substringBefore(':').split('.').all { it.toInt() <= 255 } &&
        address.substringAfter(':').toInt() in 0..65_535
    return if (valid) null else SpecFault(path, "'$address' is invalid", "use IP:PORT, for example 127.0.0.1:8080")
}
