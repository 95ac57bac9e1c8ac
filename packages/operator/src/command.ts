/**
 * Exit statuses, context and output functions that the commands share.
 */
import type {
  AppendOnlyLog,
  Clock,
  ConfigurationReplica,
} from '@briarpin/coordination';
import type {ChannelCredentials} from '@grpc/grpc-js';

/** Exit status of a command that succeeded. */
export const EXIT_SUCCESS = 0;

/** Exit status of a command that failed, or whose outcome is unknown. */
export const EXIT_FAILURE = 1;

/** Exit status for invalid arguments, options or settings. */
export const EXIT_USAGE_ERROR = 2;

/** Clients, settings and options of a command. */
export interface CommandContext {
  readonly log: AppendOnlyLog;
  readonly clock: Clock;
  readonly replica: ConfigurationReplica;
  readonly platformUrl: string;
  readonly credentials: ChannelCredentials;
  readonly timeoutMilliseconds: number;
  readonly json: boolean;
  readonly reason: string | undefined;
  /**
   * Offset that a change is based on; undefined for the offset of the value in
   * force.
   */
  readonly baseOffset: number | undefined;
  /** Stops the background work. */
  readonly stop: () => void;
}

/** Writes a line to standard output. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes an error message to standard error. */
export function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}
