/**
 * What a process tells about itself: logs, histograms, failed tasks.
 */
export * from './create_logger/create_logger.js';
export * from './histogram_registry/histogram_registry.js';
export * from './run_task/run_task.js';
