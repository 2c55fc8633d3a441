/*
 * Entry point of the start-up probe: starts a front host against a platform in this process and prints the processor
 * time of the start. The build records the classes that it loads in the class archive.
 */
package org.sesamerouter.cli

import org.sesamerouter.front.probeStartup
import kotlin.system.exitProcess

/** Runs the probe and prints one JSON line with processor times in milliseconds. */
fun main() {
    configureFrontLogs()
    val times = probeStartup()
    println("""{"ready-cpu-ms":${times.readyCpuMs},"served-cpu-ms":${times.servedCpuMs}}""")
    exitProcess(0)
}
