/*
 * Configures logging from the settings: text or JSON lines on standard error.
 */
package org.sesamerouter.cli

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import net.logstash.logback.encoder.LogstashEncoder
import org.sesamerouter.front.DECISION_LOGGER
import org.sesamerouter.settings.LogSettings
import org.slf4j.LoggerFactory

/** Applies [settings] to all loggers. */
internal fun configureLogs(settings: LogSettings) {
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    context.reset()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = context
    appender.target = "System.err"
    appender.encoder = createEncoder(settings.format, context)
    appender.start()
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.toLevel(settings.level)
    root.addAppender(appender)
    context.getLogger("io.netty").level = Level.WARN
}

/** Writes the lines of the decision log unformatted to standard output, and warnings to standard error. */
internal fun configureFrontLogs() {
    configureLogs(LogSettings(level = "warn"))
    val context = LoggerFactory.getILoggerFactory() as LoggerContext
    val encoder = PatternLayoutEncoder()
    encoder.context = context
    encoder.pattern = "%m%n"
    encoder.start()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = context
    appender.target = "System.out"
    appender.encoder = encoder
    appender.start()
    val decisionLogger = context.getLogger(DECISION_LOGGER)
    decisionLogger.isAdditive = false
    decisionLogger.level = Level.INFO
    decisionLogger.addAppender(appender)
}

private fun createEncoder(format: String, context: LoggerContext): Encoder<ILoggingEvent> {
    if (format == "json") return LogstashEncoder().also { it.start() }
    val encoder = PatternLayoutEncoder()
    encoder.context = context
    encoder.pattern = "%d{HH:mm:ss.SSS} %-5level %logger{0}: %msg%n"
    encoder.start()
    return encoder
}
