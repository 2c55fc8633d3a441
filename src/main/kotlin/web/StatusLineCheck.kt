/*
 * Which status lines are valid: Netty also takes words that are no status, such as 000, 2000 or +200, and separators
 * other than a space.
 */
package org.sesamerouter.web

private const val CODE_LENGTH = 3
private const val FIRST_CLASS = '1'
private const val LAST_CLASS = '5'
private const val SPACE = ' '.code.toByte()
private val VERSIONS = listOf("HTTP/1.1", "HTTP/1.0")

/** Checks a status line word by word; a line is one version, a space, three digits from 100 to 599, and a reason. */
internal class StatusLineCheck {
    private var versionEnd = 0

    fun onVersion(end: Int) {
        versionEnd = end
    }

    /** Checks the separators of the code at [start] in [line]; a reason that follows has to be behind a space. */
    fun onCode(line: ByteArray, start: Int) {
        require(start == versionEnd + 1 && line[versionEnd] == SPACE) { "no single space before the status" }
    }

    fun onReason(line: ByteArray, codeEnd: Int) {
        require(line[codeEnd] == SPACE) { "no space behind the status" }
    }

    /** Checks the words of a line. */
    fun check(version: String, code: String) {
        require(version in VERSIONS) { "a version that is not that of HTTP/1.1" }
        val isValid = code.length == CODE_LENGTH && code[0] in FIRST_CLASS..LAST_CLASS && code.all { it in '0'..'9' }
        require(isValid) { "a status that is not three digits from 100 to 599" }
    }
}
