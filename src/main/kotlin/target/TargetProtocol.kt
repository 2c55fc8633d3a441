/*
 * The protocol between an entry host and a target. A run is one HTTP request whose response is a sequence of JSON
 * lines: tokens with their positions, then one line that ends the answer. Every line carries the ids of the request and
 * attempt, so that a misdirected reply is detected.
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
 * @property resumeFrom position of the first token to generate.
 * @property resumeText the text before that position, empty when the attempt starts at the beginning.
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

/** One line of the answer to a [TargetRun]; [end] marks the last one. */
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

/** The response of a target that did not run the request. */
@Serializable
data class TargetRefusal(val request: String, val attempt: Int, val leaving: Boolean = false)

/**
 * The load report of a target.
 *
 * @property incarnation changes with each start of the target.
 * @property ageMs age of the values when they were sent.
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

/** A model loaded by an engine. */
@Serializable
data class ModelState(val name: String, val version: String, val adapters: List<String> = emptyList())

/** An order to an engine. It carries the complete desired state and is therefore idempotent. */
@Serializable
data class EngineOrder(val fence: Long, val models: List<ModelState>, val role: String)
