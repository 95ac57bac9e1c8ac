/**
 * Runs tasks in the background.
 */
import type {EventLogger} from '../create_logger/create_logger.js';

/**
 * Runs a task in the background.
 *
 * A task handles its own expected errors. An exception indicates a defect; it
 * is logged, and the process continues with its other work.
 *
 * @param name - Name of the task in the log
 * @param logger - Logger for exceptions of the task
 * @param task - Task to run
 */
export function runTask(
  name: string,
  logger: EventLogger,
  task: () => Promise<void>,
): void {
  task().catch((error: unknown) => {
    const message = error instanceof Error ? error.stack : String(error);
    logger.error('task_failed', {task: name, message});
  });
}
