/**
 * Counts the events of a log.
 */
import type {EventFields, EventLogger} from '../create_logger/create_logger.js';

/**
 * Counts events before they are sampled, including those that are not written.
 *
 * @param logger - Logger that receives the events
 * @param count - Called with the name of each event
 * @returns A logger that counts events and passes them on
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
