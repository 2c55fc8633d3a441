/*
 * Rules between slices: stand-ins stay out of the product, and state machines do no I/O.
 */
package org.sesamerouter

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import io.kotest.core.spec.style.FunSpec

private val productSlices = listOf(
    "clock", "settings", "api", "configuration", "log", "web", "target", "routing", "admission", "pipeline", "ledger",
    "quarantine", "membership", "location", "orders", "cost", "host",
).map { "org.sesamerouter.$it.." }.toTypedArray()

private val stateMachines = listOf(
    "configuration", "routing", "admission", "pipeline", "ledger", "quarantine", "location", "orders", "cost",
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

        test("membership decides without sockets; only its link has them") {
            noClasses().that().haveSimpleName("Membership")
                .should().dependOnClassesThat().resideInAnyPackage("io.ktor..", "java.net..", "java.util.concurrent..")
                .check(classes)
        }
    })
