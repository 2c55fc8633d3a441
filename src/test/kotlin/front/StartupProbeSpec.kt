/*
 * Tests that a host starts and answers a request against the platform of the start-up probe, with which the build also
 * makes the class archive.
 */
package org.sesamerouter.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual

class StartupProbeSpec :
    FunSpec({
        test("the start-up probe starts a host, sends a request through a stage and an engine, and measures both") {
            val times = probeStartup()
            times.servedCpuMs shouldBeGreaterThanOrEqual times.readyCpuMs
        }
    })
