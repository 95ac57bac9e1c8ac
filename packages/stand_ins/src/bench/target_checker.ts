/**
 * Checks of benchmark results against their targets.
 */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

const KNOWN_FAILURES_PATH = fileURLToPath(
  new URL('../../../../KNOWN-RED.txt', import.meta.url),
);

/**
 * Compares benchmark results with their targets and prints each comparison.
 *
 * A failed check whose name is listed in KNOWN-RED.txt is printed, but does not
 * fail the run.
 */
export class TargetChecker {
  private readonly knownFailures = readFileSync(KNOWN_FAILURES_PATH, 'utf8');
  private failedCount = 0;
  private passedCount = 0;
  private knownFailureCount = 0;

  /** True if no check has failed, except for known failures. */
  get hasPassed(): boolean {
    return this.failedCount === 0;
  }

  /** Checks that a value is at most its target. */
  checkAtMost(name: string, value: number, target: number): void {
    this.recordCheck(
      name,
      value <= target,
      `${formatNumber(value)} <= ${target}`,
    );
  }

  /** Checks that a value is at least its target. */
  checkAtLeast(name: string, value: number, target: number): void {
    this.recordCheck(
      name,
      value >= target,
      `${formatNumber(value)} >= ${target}`,
    );
  }

  /** Prints the numbers of passed checks, failed checks and known failures. */
  printSummary(): void {
    printLine(
      `\n${this.passedCount} checks passed, ${this.failedCount} failed, ` +
        `${this.knownFailureCount} known failures`,
    );
  }

  private recordCheck(name: string, isMet: boolean, comparison: string): void {
    const isKnownFailure = this.knownFailures.includes(`bench: ${name}\n`);
    if (isMet) {
      this.passedCount += 1;
    } else if (isKnownFailure) {
      this.knownFailureCount += 1;
    } else {
      this.failedCount += 1;
    }
    const status = isMet
      ? 'ok       '
      : isKnownFailure
        ? 'KNOWN RED'
        : 'FAILED   ';
    printLine(`  ${status} ${name}: ${comparison}`);
  }
}

/** Writes a line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Formats a number with three significant digits. */
export function formatNumber(value: number): string {
  return Number.isFinite(value)
    ? String(Number(value.toPrecision(3)))
    : String(value);
}
