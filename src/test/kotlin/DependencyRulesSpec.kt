/*
 * Rules between slices: stand-ins stay out of the product, and state machines do no I/O.
 */
package org.sesamerouter

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.io.File

private val productSlices = listOf(
    "clock", "settings", "api", "configuration", "log", "web", "target", "routing", "admission", "pipeline", "ledger",
    "quarantine", "membership", "location", "orders", "cost", "host", "platform", "serving", "batching", "engine",
    "discovery", "front",
).map { "org.sesamerouter.$it.." }.toTypedArray()

private val stateMachines = listOf(
    "configuration", "routing", "admission", "pipeline", "ledger", "quarantine", "location", "orders", "cost",
    "batching", "engine", "discovery",
).map { "org.sesamerouter.$it.." }.toTypedArray()

class DependencyRulesSpec :
    FunSpec({
        val classes: JavaClasses = ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages("org.sesamerouter")

        test("product slices do not use stand-ins, experiments or the command line") {
            noClasses().that().resideInAnyPackage(*productSlices)
                .should().dependOnClassesThat()
                .resideInAnyPackage(
                    "org.sesamerouter.standin..",
                    "org.sesamerouter.experiment..",
                    "org.sesamerouter.cli..",
                )
                .check(classes)
        }

        test("state machines do no I/O and ask nobody for the time") {
            noClasses().that().resideInAnyPackage(*stateMachines)
                .should().dependOnClassesThat()
                .resideInAnyPackage(
                    "io.netty..",
                    "io.ktor..",
                    "java.net..",
                    "java.nio..",
                    "java.util.concurrent..",
                    "org.sesamerouter.web..",
                    "org.sesamerouter.host..",
                    "org.sesamerouter.clock..",
                )
                .check(classes)
        }

        test("the flows of forwarded requests decide without sockets, threads or clocks") {
            noClasses().that().haveNameMatching(".*\\.serving\\.(RequestFlows|DeferredQueue).*")
                .should().dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "java.util.concurrent..", "org.sesamerouter.clock..")
                .check(classes)
        }

        test("decisions do not know the platform's names") {
            noClasses().that().resideInAnyPackage(
                *stateMachines,
                "org.sesamerouter.serving..",
                "org.sesamerouter.membership..",
                "org.sesamerouter.web..",
                "org.sesamerouter.host..",
            ).should().dependOnClassesThat().resideInAnyPackage("org.sesamerouter.platform..").check(classes)
        }

        test("paths and headers of the platform stand in its own folder alone") {
            val names = listOf(
                "Server-Stamp", "Not-Run", "Expect-Instance", "Prefix-Hash", "Token-Counts", "Piece-Key", "Server-Load",
                "Deadline-Ms", "/v1/", "log-append", "log-newest", "log-read", "stage-run", "stage-free", "keyed.",
            )
            val own = listOf("/platform/", "/api/", "/host/", "/target/", "/standin/", "/experiment/", "/cli/", "/log/")
            val found = File("src/main/kotlin").walk().filter { it.extension == "kt" }
                .filter { file -> own.none { it in file.path.replace(File.separatorChar, '/') } }
                .flatMap { file -> names.filter { it in file.readText() }.map { "${file.path}: $it" } }
                .toList()
            found.shouldBeEmpty()
        }

        test("membership decides without sockets; only its link has them") {
            noClasses().that().haveSimpleName("Membership")
                .should().dependOnClassesThat().resideInAnyPackage("io.ktor..", "java.net..", "java.util.concurrent..")
                .check(classes)
        }
    })
