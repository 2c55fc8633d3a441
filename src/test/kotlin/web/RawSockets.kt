/*
 * Callers and targets on plain sockets, which send and read exactly what a test gives them.
 */
package org.sesamerouter.web

import java.net.Socket

internal fun Socket.write(text: String) = getOutputStream().run {
    write(text.toByteArray())
    flush()
}

/** Reads a head to its blank line, or to the end of the connection. */
internal fun Socket.readHead(): String {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val next = getInputStream().read()
        if (next < 0) break
        head.append(next.toChar())
    }
    return head.toString()
}
