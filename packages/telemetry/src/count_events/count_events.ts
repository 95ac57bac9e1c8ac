/**
 * Counting the events of a log.
 */
import type {EventFields, EventLogger} from '../create_logger/create_logger.js';

/**
 * Counts events before they are written, sampled or not.
 *
 * @param logger - Where lines go
 * @param count - Told the name of each event
 * @returns A logger that counts
 */
export function countEvents(
  logger: EventLogger,
  count: (event: string) => void,
): EventLogger {
  const write =
    (level: keyof EventLogger) =>
    (event: string, fields: EventFields = {}): void => {
      count(event);
      logger[level](event, fields);
    };
  return {
    error: write('error'),
    warn: write('warn'),
    info: write('info'),
    debug: write('debug'),
  };
}
