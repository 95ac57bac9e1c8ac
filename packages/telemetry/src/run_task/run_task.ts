/**
 * Tasks that run beside the one who starts them.
 */
import type {EventLogger} from '../create_logger/create_logger.js';

/**
 * Runs a task in the background.
 *
 * A task handles its own expected errors. One that throws has a defect: it is
 * logged, and the process goes on with its other work.
 *
 * @param name - Name of the task for the log
 * @param logger - Log
 * @param task - The task
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
