/**
 * One daemon as a child process of a demo or a test.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

import {parseLogLine} from '@briarpin/telemetry';

const DAEMON = fileURLToPath(
  new URL('../../../daemon/dist/briarpind.js', import.meta.url),
);

/** Fields of one line of a daemon's log. */
export type LogFields = Readonly<Record<string, string>>;

interface LineWaiter {
  readonly matches: (fields: LogFields) => boolean;
  readonly resolve: (fields: LogFields) => void;
}

/** A daemon that is running. */
export class DaemonProcess {
  private readonly child: ChildProcess;
  private readonly lines: LogFields[] = [];
  private waiters: LineWaiter[] = [];
  /** Resolves with the exit code; null when a signal ended it. */
  readonly exited: Promise<number | null>;

  /**
   * @param instance - Name of its instance
   * @param role - Its role
   * @param settingsFile - Its settings
   * @param echo - True to show its log
   */
  constructor(
    readonly instance: string,
    readonly role: 'gateway' | 'sidecar',
    settingsFile: string,
    echo = false,
  ) {
    const parameters = [DAEMON, role, '--settings', settingsFile];
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
        this.takeLine(parseLogLine(line));
      });
    }
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Every line so far. */
  get log(): readonly LogFields[] {
    return this.lines;
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /**
   * Waits for a line of the log, one that has come already included.
   *
   * @param event - Name of the event
   * @param matches - Narrows the lines
   * @returns Its fields
   * @throws Error when the process ends first
   */
  async waitFor(
    event: string,
    matches: (fields: LogFields) => boolean = () => true,
  ): Promise<LogFields> {
    const isWanted = (fields: LogFields) =>
      fields['event'] === event && matches(fields);
    const known = this.lines.find(isWanted);
    if (known !== undefined) {
      return known;
    }
    return this.waitForNext(event, matches);
  }

  /**
   * Waits for a line of the log that has not come yet.
   *
   * @param event - Name of the event
   * @param matches - Narrows the lines
   * @returns Its fields
   * @throws Error when the process ends first
   */
  async waitForNext(
    event: string,
    matches: (fields: LogFields) => boolean = () => true,
  ): Promise<LogFields> {
    const isWanted = (fields: LogFields) =>
      fields['event'] === event && matches(fields);
    const line = new Promise<LogFields>(resolve =>
      this.waiters.push({matches: isWanted, resolve}),
    );
    const ended = this.exited.then(code => {
      throw new Error(`${this.instance} ended with ${code} before "${event}"`);
    });
    return Promise.race([line, ended]);
  }

  private takeLine(fields: LogFields): void {
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
