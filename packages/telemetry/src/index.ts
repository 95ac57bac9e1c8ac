/**
 * Telemetry of a process: logs, metrics, histograms and the logging of failed
 * background tasks.
 */
export * from './count_events/count_events.js';
export * from './create_logger/create_logger.js';
export * from './gateway_metrics/gateway_metrics.js';
export * from './histogram_registry/histogram_registry.js';
export * from './limit_events/limit_events.js';
export * from './open_log_stream/open_log_stream.js';
export * from './parse_log_line/parse_log_line.js';
export * from './pause_detector/pause_detector.js';
export * from './queue_metrics/queue_metrics.js';
export * from './run_task/run_task.js';
