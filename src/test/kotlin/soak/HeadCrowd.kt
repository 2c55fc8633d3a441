/*
 * Clients that send request heads of legal size with very many header lines, and a host process with a small heap to
 * send them to. Nothing here depends on speed: each client ends by itself, and what it was sent is not judged.
 */
package org.sesamerouter.soak

import org.sesamerouter.front.PlatformStandin
import org.sesamerouter.front.RawTarget
import org.sesamerouter.front.send
import org.sesamerouter.platform.SETTINGS_VARIABLE
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val HEAP = "-Xmx28m"
private const val HEAD_BYTES = 16_000 // below max-header-bytes with the lines that each request needs
private const val READ_TIMEOUT_MS = 3_000
private const val UNREAD_BUFFER_BYTES = 4_096
private const val UNREAD_MS = 3_000L
private const val CROWD_TIMEOUT_S = 60L
private const val SAMPLE_MS = 20L
private const val READY_ATTEMPTS = 400
private const val ANSWER_ATTEMPTS = 100
private const val ATTEMPT_MS = 100L
private const val BYTES_PER_KB = 1_024L

/** The header lines of a head; each has a few bytes. */
internal enum class LineShape(private val line: (Int) -> String) {
    EMPTY({ "a:" }),
    SHORT({ "a:b" }),
    DISTINCT({ "${it.toString(Character.MAX_RADIX)}:" }),
    ;

    /** Lines that a decoder counts as [bytes] bytes; it leaves the ends of lines out. */
    fun lines(bytes: Int): String {
        val text = StringBuilder()
        var counted = 0
        var number = 0
        while (true) {
            val next = line(number++)
            counted += next.length
            if (counted > bytes) return text.toString()
            text.append(next).append("\r\n")
        }
    }
}

/** A request of the crowd to [path], without the blank line at its end. */
internal fun crowdedHead(path: String, id: String, shape: LineShape, bytes: Int = HEAD_BYTES): String =
    "GET $path HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k1\r\nRequest-Id: $id\r\n" + shape.lines(bytes)

/** What the crowd saw of the process while it was loaded. */
internal data class ProcessPeak(val residentBytes: Long, val descriptors: Int)

/**
 * A host process with a small heap, the stand-ins of its platform, a target that keeps requests of /book/, and one that
 * answers those of /plan/, which have a stage. A target answers with the line in the header `Answer-Line`, if any.
 */
internal class CrowdedHost(
    private val logs: File,
    private val options: List<String> = listOf(HEAP),
    prepare: (PlatformStandin) -> Unit = {},
) : AutoCloseable {
    private val platform = PlatformStandin()
    private val answering = RawTarget { request, socket ->
        val line = request.headers["answer-line"]?.let { "$it\r\n" }.orEmpty()
        val status = request.headers["answer-status"] ?: "200 OK"
        val head = "HTTP/1.1 $status\r\nRequest-Id: ${request.id}\r\nServer-Stamp: s\r\nContent-Length: 2\r\n"
        socket.send("$head$line\r\nok")
    }
    private val keeping = RawTarget { _, socket -> socket.getInputStream().read() }
    val addresses = freeHostAddresses(1).single()
    private val process: Process

    init {
        logs.mkdirs()
        prepare(platform)
        platform.store.put("keyed.op", "config", crowdDeclarations())
        register("look-0", "look", answering.address)
        register("book-0", "book", keeping.address)
        register("model-0", "model", answering.address)
        register("stock-0", "stock", platform.stageTarget())
        val settings = File(logs, "host.conf").apply { writeText(settings()) }
        val java = File(System.getProperty("java.home"), "bin/java").path
        val common = listOf(
            "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:+ExitOnOutOfMemoryError",
            "-Dio.netty.allocator.type=unpooled", "-cp", testClassPath(), "org.sesamerouter.cli.FrontMainKt",
            "--metrics-port", "${addresses.metrics}",
        )
        val builder = ProcessBuilder(listOf(java) + options + common)
        builder.environment()[SETTINGS_VARIABLE] = settings.path
        process = builder.redirectErrorStream(true).redirectOutput(File(logs, "host.log")).start()
    }

    val isAlive get() = process.isAlive

    private fun register(id: String, service: String, address: String) {
        val entry = """{"service":"$service","address":"$address","zone":"west","version":"v1","slots":99,
            "state":"ready","cold-left-ms":0,"seq-no":1,"born":1780900284873}"""
        platform.store.put("keyed.servers", id, entry)
    }

    private fun settings() = """
        node=host-0
        ip=${addresses.ip}
        zone=west
        listen.front=${addresses.requests}
        listen.ready=${addresses.readiness}
        listen.directory=${addresses.directory}
        port-range=${addresses.link},${addresses.link}
        seeds=${addresses.directory}
        platform.address=${platform.storeAddress()}
        bounds.grace-s=2
    """.trimIndent()

    /** Waits until the host serves; returns false if it never does. */
    fun awaitReady(): Boolean = attempt(READY_ATTEMPTS) { get(addresses.readiness, "/v1/ready") != null }

    /** Sends ordinary requests until one is answered by its target; returns false if none ever is. */
    fun answersOrdinaryRequest(): Boolean = attempt(ANSWER_ATTEMPTS) { number ->
        val head = crowdedHead("/look/a", "ordinary-$number", LineShape.EMPTY, bytes = 0)
        exchange(addresses.requests, "$head\r\n").startsWith("HTTP/1.1 200")
    }

    private fun attempt(attempts: Int, action: (Int) -> Boolean): Boolean = (1..attempts).any { number ->
        (process.isAlive && action(number)).also { if (!it && process.isAlive) Thread.sleep(ATTEMPT_MS) }
    }

    /** Has [clients] clients send [text] to [address] at once, each on its own connection, and watches the process. */
    fun load(clients: Int, address: String = addresses.requests, text: (Int) -> String): ProcessPeak =
        watch(clients) { exchange(address, text(it)) }

    /** Has [clients] clients send [bytes] to [address] at once; they read nothing. */
    fun loadUnread(clients: Int, address: String, bytes: ByteArray): ProcessPeak =
        watch(clients) { sendUnread(address, bytes) }

    private fun watch(clients: Int, client: (Int) -> Unit): ProcessPeak {
        val crowd = Executors.newFixedThreadPool(clients) { Thread(it).apply { isDaemon = true } }
        repeat(clients) { number -> crowd.execute { client(number) } }
        crowd.shutdown()
        var peak = ProcessPeak(0, 0)
        var isOver = false
        val waiting = thread(isDaemon = true) {
            crowd.awaitTermination(CROWD_TIMEOUT_S, TimeUnit.SECONDS)
            isOver = true
        }
        while (waiting.isAlive && !isOver && process.isAlive) {
            peak = ProcessPeak(maxOf(peak.residentBytes, resident()), maxOf(peak.descriptors, descriptors()))
            Thread.sleep(SAMPLE_MS)
        }
        crowd.shutdownNow()
        return peak
    }

    private fun resident(): Long = try {
        File("/proc/${process.pid()}/status").readLines().first { it.startsWith("VmRSS:") }
            .filter(Char::isDigit).toLong() * BYTES_PER_KB
    } catch (_: IOException) {
        0 // the process has ended
    } catch (_: NoSuchElementException) {
        0
    }

    private fun descriptors(): Int = try {
        Files.list(Path.of("/proc/${process.pid()}/fd")).use { it.count().toInt() }
    } catch (_: IOException) {
        0 // the process has ended
    }

    override fun close() {
        process.destroyForcibly().waitFor()
        answering.close()
        keeping.close()
        platform.close()
    }
}

/** Sends [text] and reads until the connection ends or nothing comes for [READ_TIMEOUT_MS]; returns what came. */
internal fun exchange(address: String, text: String): String {
    val received = StringBuilder()
    try {
        Socket().use { socket ->
            socket.connect(InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt()))
            socket.soTimeout = READ_TIMEOUT_MS
            socket.send(text)
            while (!received.contains("\r\n\r\nok")) {
                val next = socket.getInputStream().read()
                if (next < 0) break
                received.append(next.toChar())
            }
        }
    } catch (_: IOException) {
        // A refused client sees its connection reset; what the process does is judged, not this.
    }
    return received.toString()
}

/** Sends [bytes] and keeps the connection open for [UNREAD_MS] without reading. */
private fun sendUnread(address: String, bytes: ByteArray) {
    try {
        Socket().use { socket ->
            socket.receiveBufferSize = UNREAD_BUFFER_BYTES
            socket.connect(InetSocketAddress(address.substringBefore(':'), address.substringAfter(':').toInt()))
            val writing = thread(isDaemon = true) {
                try {
                    socket.getOutputStream().write(bytes)
                } catch (_: IOException) {
                    // The host closed the connection, or this client did.
                }
            }
            Thread.sleep(UNREAD_MS)
            socket.close()
            writing.join()
        }
    } catch (_: IOException) {
        // A refused client sees its connection reset; what the process does is judged, not this.
    }
}

private fun crowdDeclarations() = """
    {"version":1,"routes":[
      {"name":"look","host":"shop.example","path-prefix":"/look/","kind":"safe","timeout-ms":5000,
       "target-latency-ms":1000,"priority":1,"service":"look","max-attempts":2,"public":false},
      {"name":"book","host":"shop.example","path-prefix":"/book/","kind":"unsafe","timeout-ms":5000,
       "target-latency-ms":1000,"priority":1,"service":"book","max-attempts":1,"public":false},
      {"name":"plan","host":"shop.example","path-prefix":"/plan/","kind":"safe","timeout-ms":5000,
       "target-latency-ms":4000,"priority":1,"service":"model","max-attempts":1,"public":false,
       "stages":[{"service":"stock","after":[],"bytes":1000}]}],
     "services":[
      {"name":"model","health-path":"/health","max-conns":99},
      {"name":"stock","health-path":"/health","max-conns":99,
       "pieces":{"slots":1,"queue":2,"batch":17,"call-ms":30.0,"item-ms":1.0,"headroom-mb":8.0}},
      {"name":"look","health-path":"/health","max-conns":99},
      {"name":"book","health-path":"/health","max-conns":99}],
     "tenants":[{"name":"choir","api-keys":["k1"],"priority":1}],
     "limits":{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":10000,"idle-timeout-ms":10000}}
""".trimIndent()
