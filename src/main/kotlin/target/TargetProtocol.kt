/*
 * The messages between an entry host and a target. A run is one HTTP request whose answer is a sequence of JSON lines:
 * tokens with their positions, then one line that ends the answer. Every line names request and attempt, so that a
 * reply that belongs to another request is never taken for this one's.
 */
package org.sesamerouter.target

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Paths of the target protocol. */
object TargetPaths {
    const val RUN = "/v1/run"
    const val LOAD = "/v1/load"
    const val ORDERS = "/v1/orders"
}

/**
 * One attempt of a stage.
 *
 * @property resumeFrom position of the first token that is still wanted.
 * @property resumeText the text before that position, empty at the start.
 */
@Serializable
data class TargetRun(
    val request: String,
    val attempt: Int,
    val organisation: String,
    val stage: String,
    val rank: Int,
    val model: String = "",
    val operation: String = "",
    val maxTokens: Int = 0,
    val resumeFrom: Int = 0,
    val resumeText: String = "",
    val input: JsonElement,
    val upstream: JsonElement? = null,
)

/** One line of the answer to a [TargetRun]; the last one has [end]. */
@Serializable
data class TargetLine(
    val request: String,
    val attempt: Int,
    val position: Int = 0,
    val token: String? = null,
    val end: Boolean = false,
    val count: Int = 0,
    val output: JsonElement? = null,
    val load: LoadReport? = null,
)

/** The answer of a target that did not run the request. */
@Serializable
data class TargetRefusal(val request: String, val attempt: Int, val leaving: Boolean = false)

/**
 * What a target reports of itself.
 *
 * @property incarnation changes with each start of the target.
 * @property ageMs how old the figures are.
 */
@Serializable
data class LoadReport(
    val incarnation: String,
    val inProgress: Int = 0,
    val queued: Int = 0,
    val slots: Int = 0,
    val leaving: Boolean = false,
    val ageMs: Long = 0,
    val models: List<ModelState> = emptyList(),
    val role: String = "both",
)

/** A model that an engine has loaded. */
@Serializable
data class ModelState(val name: String, val version: String, val adapters: List<String> = emptyList())

/** An order to an engine: the whole wanted state, so that repeating it changes nothing. */
@Serializable
data class EngineOrder(val fence: Long, val models: List<ModelState>, val role: String)
