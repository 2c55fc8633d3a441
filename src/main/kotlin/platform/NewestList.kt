/*
 * The newest records of all keys of a topic, which the store returns in pages. The topic changes between two pages, so
 * a list is no state at one moment: what it is certain of ends where the stream ended at its first page. A removal
 * behind that offset, of a key that an earlier page has, is in no page; it has to be read from the stream.
 */
package org.sesamerouter.platform

import kotlinx.serialization.Serializable

// Of records that are of no use, only the keys are kept: 3 MB if each has 255 bytes.
private const val MAX_UNUSED_KEYS = 10_000
private val UNUSED_VALUE = ByteArray(0)

/** A record of a page; [value] is encoded as Base64. */
@Serializable
internal data class NewestItem(val key: String, val value: String? = null, val offset: Long)

/** A page; with [more], the next one continues after the last key. */
@Serializable
internal data class NewestPage(val items: List<NewestItem>, val more: Boolean = false, val end: Long)

/** What follows a page. */
internal sealed interface ListStep {
    /** The next page is needed. */
    data object ReadNext : ListStep

    data class Complete(val records: KeyedRecords) : ListStep

    /** The list cannot be completed; what it has so far must not be taken for all that exists. */
    data class Unusable(val cause: String) : ListStep
}

/**
 * Collects the pages of one list; [decode] reads a record and returns null if nothing can use its value. Such a value
 * is not kept beyond its page. Not thread-safe.
 */
internal class NewestList(private val decode: (NewestItem) -> KeyedRecord?) {
    private val records = ArrayList<KeyedRecord>()
    private var unused = 0
    private var era = 0L
    private var firstEnd: Long? = null

    /** The key after which the next page starts; null for the first one. */
    var after: String? = null
        private set

    fun onPage(page: NewestPage, era: Long): ListStep {
        if (firstEnd != null && this.era != era) {
            restart() // the pages before this one describe the store before it was restored
            return ListStep.ReadNext
        }
        this.era = era
        val end = firstEnd ?: page.end.also { firstEnd = it }
        page.items.mapNotNullTo(records) { decode(it) ?: unusedRecord(it) }
        if (!page.more) return ListStep.Complete(KeyedRecords(records, end, era, maxOf(end, page.end)))
        val last = page.items.lastOrNull()?.key
        if (last == null || last == after) return ListStep.Unusable("a page with more behind it has no new key")
        after = last
        return ListStep.ReadNext
    }

    private fun unusedRecord(item: NewestItem): KeyedRecord? =
        if (unused++ < MAX_UNUSED_KEYS) KeyedRecord(item.key, UNUSED_VALUE, item.offset) else null

    private fun restart() {
        records.clear()
        unused = 0
        firstEnd = null
        after = null
    }
}
