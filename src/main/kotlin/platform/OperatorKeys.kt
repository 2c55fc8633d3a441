/*
 * The keys that operators write beside the configuration.
 */
package org.sesamerouter.platform

import org.sesamerouter.evacuation.EvacuationKey

private const val EVACUATION_PREFIX = "evacuate/"

/**
 * Decodes the record of an evacuated data centre; null if it is none. The value says nothing: the key is in force as
 * long as it has one.
 */
fun decodeEvacuation(record: KeyedRecord): EvacuationKey? {
    val dataCentre = record.key.removePrefix(EVACUATION_PREFIX)
    if (dataCentre == record.key || dataCentre.isEmpty()) return null
    return EvacuationKey(dataCentre, record.offset, hasValue = record.value?.isNotEmpty() ?: false)
}
