/*
 * Compares the configuration of each host with a naive fold of the whole log, under concurrent changes, duplicated
 * changes, log retention, snapshots, restarts, catch-up from peers, and late or repeated reads.
 */
package org.sesamerouter.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.sesamerouter.histories
import org.sesamerouter.log.AppendOutcome
import org.sesamerouter.log.LogRecord
import org.sesamerouter.log.ReadOutcome

/** Reference implementation: folds all changes and retains all ids, without snapshots or log retention. */
private class NaiveFold {
    val specs = HashMap<ResourceKey, JsonObject>()
    val currentGenerations = HashMap<ResourceKey, Long>()
    private val latestGenerations = HashMap<ResourceKey, Long>()
    private val ids = HashSet<String>()

    fun fold(payload: String) {
        val change = decode(payload) as? ConfigurationRecord.Change ?: return
        if (!ids.add(change.id)) return
        val key = ResourceKey(change.kind, change.name)
        if (change.base != (currentGenerations[key] ?: 0L)) return
        val spec = change.spec
        if (spec == null && key !in specs) return
        val next = (latestGenerations[key] ?: 0) + 1
        latestGenerations[key] = next
        if (spec == null) {
            specs.remove(key)
            currentGenerations.remove(key)
        } else {
            specs[key] = spec
            currentGenerations[key] = next
        }
    }
}

/** An in-memory log that can drop records below [floor]. */
private class FakeLog {
    val all = ArrayList<String>()
    var floor = 0

    fun append(payload: String) {
        all += payload
    }

    fun read(from: Long, limit: Int): ReadOutcome.Records {
        val start = maxOf(from.toInt(), floor)
        val records = (start until minOf(all.size, start + limit)).map { LogRecord(it.toLong(), all[it]) }
        return ReadOutcome.Records(records, floor.toLong(), all.size.toLong())
    }
}

private fun change(id: String, name: String, base: Long, weight: Int?): ConfigurationRecord.Change {
    val spec = weight?.let { JsonObject(mapOf("weight" to JsonPrimitive(it))) }
    return ConfigurationRecord.Change(id, "author", ResourceKind.ORGANISATION, name, base, spec)
}

private fun ConfigurationReplica.readAll(log: FakeLog, limit: Int = 10_000) {
    onRead(log.read(state.revision + 1, limit), 0)
}

class ConfigurationReplicaSpec :
    FunSpec({
        /** Applies [steps] to [replicas] and [log]; returns the naive fold of the whole log. */
        fun simulate(steps: List<Int>, log: FakeLog, replicas: MutableList<ConfigurationReplica>): NaiveFold {
            for ((i, step) in steps.withIndex()) {
                val index = step / 16 % replicas.size
                val replica = replicas[index]
                val before = replica.state.revision
                val name = "o${step / 64 % 3}"
                val key = ResourceKey(ResourceKind.ORGANISATION, name)
                when (step % 9) {
                    0, 1, 2 -> {
                        val base = replica.state.resources[key]?.generation ?: 0
                        log.append(encode(change("c$i", name, base, if (step % 2 == 0) step else null)))
                    }

                    3 -> if (log.all.isNotEmpty()) log.append(log.all[step % log.all.size])

                    4 -> replica.readAll(log, limit = 1 + step / 16 % 5)

                    5 -> replica.readAll(log)

                    6 -> {
                        val known = replicas[(index + 1) % replicas.size].catchUp(replica.state.revision)
                        replica.onPeerReply(known.snapshot, known.records)
                    }

                    7 -> {
                        replica.readAll(log)
                        if (step % 2 == 0) log.append("not a configuration record")
                        log.append(encode(ConfigurationRecord.Snapshot(replica.state.toSnapshot())))
                        val covered = log.all.size - 1
                        val counts = step % 2 != 0 && replica.state.revision + 1 == covered.toLong()
                        if (counts) log.floor = maxOf(log.floor, covered)
                    }

                    else -> replicas[index] = ConfigurationReplica("host-$index", 1_000_000)
                }
                if (step % 9 != 8) (replica.state.revision >= before).shouldBeTrue()
            }
            return NaiveFold().also { naive -> log.all.forEach(naive::fold) }
        }

        test("every host reaches the state of a naive fold of the whole log, even if it missed records") {
            checkAll(histories(seed = 11), Arb.list(Arb.int(0..99_999), 1..60)) { steps ->
                val log = FakeLog()
                val replicas = MutableList(3) { ConfigurationReplica("host-$it", 1_000_000) }
                val naive = simulate(steps, log, replicas)
                replicas.forEach { replica ->
                    replica.readAll(log)
                    val known = replicas.maxBy { it.state.revision }.catchUp(replica.state.revision)
                    replica.onPeerReply(known.snapshot, known.records)
                    replica.state.resources.mapValues { it.value.spec } shouldBe naive.specs
                    replica.state.resources.mapValues { it.value.generation } shouldBe naive.currentGenerations
                }
            }
        }

        test("a snapshot whose record does not directly follow the offset it covers is ignored") {
            val log = FakeLog()
            val replica = ConfigurationReplica("a", 1_000_000)
            log.append(encode(change("c1", "o1", 0, 1)))
            replica.readAll(log)
            val early = encode(ConfigurationRecord.Snapshot(replica.state.toSnapshot()))
            log.append(encode(change("c2", "o2", 0, 2)))
            log.append(early)
            log.floor = 2
            val fresh = ConfigurationReplica("b", 1_000_000)
            fresh.readAll(log)
            fresh.state.resources.shouldBeEmpty()
        }

        test("of two concurrent changes the first in the log is accepted and the other is refused") {
            val log = FakeLog()
            val replica = ConfigurationReplica("a", 1_000_000)
            replica.readAll(log)
            val first = replica.change(change("c1", "o1", 0, 1), 0)
                .filterIsInstance<ConfigurationEffect.Append>().single()
            val second = replica.change(change("c2", "o1", 0, 2), 0)
                .filterIsInstance<ConfigurationEffect.Append>().single()
            log.append(second.payload)
            log.append(first.payload)
            val answers = replica.onRead(log.read(0, 10), 1).filterIsInstance<ConfigurationEffect.Answer>().associate {
                it.id to
                    it.answer
            }
            answers.getValue("c2").shouldBeInstanceOf<ChangeAnswer.Accepted>()
            answers.getValue("c1").shouldBeInstanceOf<ChangeAnswer.Refused>()
        }

        test("a change whose append reply was lost is found in the log and not appended again") {
            val log = FakeLog()
            val replica = ConfigurationReplica("a", 1_000_000)
            replica.readAll(log)
            val append = replica.change(change("c1", "o1", 0, 1), 0)
                .filterIsInstance<ConfigurationEffect.Append>().single()
            log.append(append.payload)
            replica.onAppended("c1", AppendOutcome.Unknown("reply lost"), 10)
            replica.onTick(
                emptyList(),
                writesSnapshots = false,
                5_000,
            ).filterIsInstance<ConfigurationEffect.Append>().size shouldBe
                0
            val effects = replica.onRead(log.read(0, 10), 5_001)
            effects.filterIsInstance<ConfigurationEffect.Answer>().single().answer
                .shouldBeInstanceOf<ChangeAnswer.Accepted>()
            replica.onTick(
                emptyList(),
                writesSnapshots = false,
                6_000,
            ).filterIsInstance<ConfigurationEffect.Append>().size shouldBe
                0
        }

        test("a change that a later read does not contain is appended again under the same id") {
            val log = FakeLog()
            val replica = ConfigurationReplica("a", 1_000_000)
            replica.readAll(log)
            replica.change(change("c1", "o1", 0, 1), 0)
            replica.onAppended("c1", AppendOutcome.Unknown("reply lost"), 10)
            replica.onRead(log.read(0, 10), 20)
            val again = replica.onTick(emptyList(), writesSnapshots = false, 30)
                .filterIsInstance<ConfigurationEffect.Append>()
            again.map { it.id } shouldBe listOf("c1")
        }

        test("negative control: without retained ids a late duplicate of a change overwrites a newer change") {
            val original = change("c1", "o1", 0, 1)
            val duplicate = LogRecord(2, encode(original.copy(base = null)))
            val records = listOf(LogRecord(0, encode(original)), LogRecord(1, encode(change("c2", "o1", 1, 2))))
            val folded = records.fold(ConfigurationState()) { state, record -> state.fold(record) }
            val withoutIds = folded.copy(outcomesById = ConfigurationState().outcomesById)
            folded.fold(duplicate).resources.values.single().generation shouldBe 2
            withoutIds.fold(duplicate).resources.values.single().generation.toInt() shouldBeGreaterThan 2
        }
    })
