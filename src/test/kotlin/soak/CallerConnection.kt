/*
 * A caller's connection to a host: sends one request at a time and tells how each ended. It uses a plain socket, since
 * the difference between a reset and an orderly end shows whether the host had read the request.
 */
package org.sesamerouter.soak

import org.sesamerouter.clock.Clock
import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException

private const val CONNECT_TIMEOUT_MS = 1_000
private const val LEAVE_SLACK_MS = 700L // callers leave this long after their deadline
private const val MAX_LINE_BYTES = 16_384
private const val HEX = 16

/** A connection to life [life] of host [host]. Not thread-safe. */
internal class CallerConnection(address: String, val host: Int, val life: Int, private val clock: Clock) :
    AutoCloseable {
    private val socket = Socket().apply {
        tcpNoDelay = true
        connect(
            InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt()),
            CONNECT_TIMEOUT_MS,
        )
    }
    private val input = BufferedInputStream(socket.getInputStream())
    private var leaveMs = 0L

    /** Whether the host asked to close the connection. */
    var isCloseAsked = false
        private set

    /** Whether the host has closed the connection to mark the end of an answer. */
    var isEnded = false
        private set

    /** Sends [request] with [key] and returns how it ended. */
    fun exchange(request: SoakRequest, key: String): CallerRecord {
        val startedMs = clock.nowMs()
        leaveMs = startedMs + request.deadlineMs + LEAVE_SLACK_MS
        val answer = Answer()
        var sentMs = startedMs
        val ending = try {
            socket.getOutputStream().write(encode(request, key))
            sentMs = clock.nowMs()
            readAnswer(answer)
            Ending.ANSWERED
        } catch (e: SocketTimeoutException) {
            Ending.LEFT
        } catch (e: EOFException) {
            if (answer.isStarted || wasRead()) Ending.CUT else Ending.UNREAD
        } catch (e: IOException) {
            if (answer.isStarted) Ending.CUT else Ending.UNREAD
        }
        val body = answer.body.toByteArray().decodeToString()
        val stamp = answer.headers["server-stamp"]
        val endedMs = clock.nowMs()
        return CallerRecord(request, host, life, startedMs, sentMs, endedMs, ending, answer.status, stamp, body)
    }

    /**
     * Returns whether the host had read all data before it closed the connection. Otherwise its system has reset the
     * connection by now, and a write fails at once.
     */
    private fun wasRead(): Boolean = try {
        socket.getOutputStream().write('\r'.code)
        true
    } catch (e: IOException) {
        false
    }

    private fun encode(request: SoakRequest, key: String): ByteArray {
        val middle = if (request.hasCrashingPart) CRASHING_PART else "ok"
        val head = listOf(
            "POST ${request.kind.pathPrefix}x HTTP/1.1",
            "Host: shop.example",
            "Request-Id: ${request.id}",
            "Deadline-Ms: ${request.deadlineMs}",
            "Authorization: Bearer $key",
            "Pieces: ${request.pieces},${request.pieces}",
            "Piece-Key: key of ${request.id}",
            "Token-Counts: 15,${request.steps}",
            "Prefix-Hash: ab:10,$middle:4,${request.id.hashCode().toString(HEX).removePrefix("-")}:5",
            "Content-Length: ${request.body.length}",
        )
        return (head.joinToString("\r\n", postfix = "\r\n\r\n") + request.body).toByteArray()
    }

    private class Answer {
        var isStarted = false
        var status = 0
        var headers: Map<String, String> = emptyMap()
        val body = ByteArrayOutputStream()
    }

    private fun readAnswer(answer: Answer) {
        answer.status = readLine(answer).split(' ')[1].toInt()
        val headers = HashMap<String, String>()
        while (true) {
            val line = readLine(answer)
            if (line.isEmpty()) break
            headers[line.substringBefore(':').lowercase()] = line.substringAfter(':').trim()
        }
        answer.headers = headers
        isCloseAsked = headers["connection"].equals("close", ignoreCase = true)
        val length = headers["content-length"]
        if (headers["transfer-encoding"] != "chunked") {
            if (length == null) readToEnd(answer) else readBytes(length.toInt(), answer)
            return
        }
        while (true) {
            val size = readLine(answer).toInt(HEX)
            readBytes(size, answer)
            readLine(answer)
            if (size == 0) return
        }
    }

    private fun readByte(): Int = readByteOrEnd().also { if (it < 0) throw EOFException("the connection ended") }

    /** Returns the next byte, or a negative number if the host has closed the connection in order. */
    private fun readByteOrEnd(): Int {
        val leftMs = leaveMs - clock.nowMs()
        if (leftMs <= 0) throw SocketTimeoutException("left at the deadline")
        if (input.available() == 0) socket.soTimeout = leftMs.toInt()
        return input.read()
    }

    private fun readToEnd(answer: Answer) {
        while (true) {
            val byte = readByteOrEnd()
            isEnded = byte < 0
            if (isEnded) return
            answer.body.write(byte)
        }
    }

    private fun readBytes(count: Int, answer: Answer) = repeat(count) { answer.body.write(readByte()) }

    private fun readLine(answer: Answer): String {
        val line = StringBuilder()
        while (line.length < MAX_LINE_BYTES) {
            val byte = readByte()
            answer.isStarted = true
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.append(byte.toChar())
        }
        throw IOException("a line of over $MAX_LINE_BYTES bytes")
    }

    override fun close() = socket.close()
}
