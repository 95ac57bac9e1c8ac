/**
 * Runs a daemon as a child process of the demo or a test.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

import {parseLogLine} from '@briarpin/telemetry';

const DAEMON_SCRIPT = fileURLToPath(
  new URL('../../../daemon/dist/briarpind.js', import.meta.url),
);

/** Fields of one log line of a daemon. */
export type LogFields = Readonly<Record<string, string>>;

interface LineWaiter {
  readonly matches: (fields: LogFields) => boolean;
  readonly resolve: (fields: LogFields) => void;
}

/** Running daemon and its log. */
export class DaemonProcess {
  private readonly child: ChildProcess;
  private readonly lines: LogFields[] = [];
  private waiters: LineWaiter[] = [];
  /** Resolves with the exit code; null when a signal terminated it. */
  readonly exited: Promise<number | null>;

  /**
   * Starts the daemon.
   *
   * @param instance - Name of its instance
   * @param role - Role of the daemon
   * @param settingsFile - Path of its settings file
   * @param echo - True to copy its log to standard error
   * @param nodeOptions - Options of Node.js for the process
   */
  constructor(
    readonly instance: string,
    readonly role: 'gateway' | 'sidecar',
    settingsFile: string,
    echo = false,
    nodeOptions: readonly string[] = [],
  ) {
    const parameters = [
      ...nodeOptions,
      DAEMON_SCRIPT,
      role,
      '--settings',
      settingsFile,
    ];
    this.child = spawn(process.execPath, parameters, {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.exited = new Promise(resolve =>
      this.child.once('exit', code => resolve(code)),
    );
    const {stderr} = this.child;
    if (stderr !== null) {
      createInterface({input: stderr}).on('line', line => {
        if (echo) {
          process.stderr.write(`${line}\n`);
        }
        this.recordLine(parseLogLine(line));
      });
    }
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Log lines received so far, in order. */
  get log(): readonly LogFields[] {
    return this.lines;
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /**
   * Returns the first matching log line, received already or in the future.
   *
   * @param event - Name of the event
   * @param matches - Further condition on the fields
   * @returns Fields of the line
   * @throws Error when the process exits first
   */
  async waitFor(
    event: string,
    matches: (fields: LogFields) => boolean = () => true,
  ): Promise<LogFields> {
    const isMatch = (fields: LogFields) =>
      fields['event'] === event && matches(fields);
    const existing = this.lines.find(isMatch);
    if (existing !== undefined) {
      return existing;
    }
    return this.waitForNext(event, matches);
  }

  /**
   * Waits for the next matching log line, ignoring lines received already.
   *
   * @param event - Name of the event
   * @param matches - Further condition on the fields
   * @returns Fields of the line
   * @throws Error when the process exits first
   */
  async waitForNext(
    event: string,
    matches: (fields: LogFields) => boolean = () => true,
  ): Promise<LogFields> {
    const isMatch = (fields: LogFields) =>
      fields['event'] === event && matches(fields);
    const line = new Promise<LogFields>(resolve =>
      this.waiters.push({matches: isMatch, resolve}),
    );
    const exitedFirst = this.exited.then(code => {
      throw new Error(
        `${this.instance} exited with code ${code} before event "${event}"`,
      );
    });
    return Promise.race([line, exitedFirst]);
  }

  private recordLine(fields: LogFields): void {
    this.lines.push(fields);
    this.waiters = this.waiters.filter(waiter => {
      const isMatch = waiter.matches(fields);
      if (isMatch) {
        waiter.resolve(fields);
      }
      return !isMatch;
    });
  }
}
