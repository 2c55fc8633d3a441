/*
 * Tests the rank of requests, which combines the ranks of their organisation and their route.
 */
package org.sesamerouter.serving

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.sesamerouter.web.RequestLimits

private fun route(name: String, rank: Int) = Route(
    name, "shop.example", "/$name/", RouteKind.SAFE, false, 1_000, 100, rank,
    shares = emptyList(), maxAttempts = 1, stages = emptyList(), isPublic = false, gapObjectiveMs = 0,
)

private fun organisation(name: String, rank: Int?) = CallerOrganisation(name, rank, setOf("key of $name"))

private fun config(routes: List<Route>, organisations: List<CallerOrganisation>) =
    ServingConfig(1, routes, emptyMap(), organisations, RequestLimits())

class ServingConfigSpec :
    FunSpec({
        val routes = listOf(route("plan", 0), route("brief", 1), route("note", 5))

        test("routes of one organisation get different ranks when all organisations have a rank") {
            val all = listOf(organisation("a", 1), organisation("b", 1))
            val config = config(routes, all)
            routes.map { config.rankOf(all[0], it) } shouldContainExactly listOf(0, 1, 2)
            routes.map { config.rankOf(all[1], it) } shouldContainExactly listOf(0, 1, 2)
        }

        test("the rank of an organisation takes precedence over the rank of a route") {
            val all = listOf(organisation("a", 0), organisation("b", 3))
            val config = config(routes, all)
            routes.map { config.rankOf(all[0], it) } shouldContainExactly listOf(0, 1, 2)
            routes.map { config.rankOf(all[1], it) } shouldContainExactly listOf(3, 4, 5)
        }

        test("an organisation without a rank counts as the least urgent one, and so does a missing organisation") {
            val all = listOf(organisation("a", 0), organisation("b", 3), organisation("c", null))
            val config = config(routes, all)
            config.rankOf(all[2], routes[0]) shouldBe config.rankOf(all[1], routes[0])
            config.rankOf(null, routes[2]) shouldBe config.rankOf(all[1], routes[2])
        }

        test("the rank of the route decides when no organisation has a rank") {
            val all = listOf(organisation("a", null))
            routes.map { config(routes, all).rankOf(all[0], it) } shouldContainExactly listOf(0, 1, 2)
        }
    })
