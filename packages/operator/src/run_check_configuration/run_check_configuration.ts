/**
 * `briarpin check --configuration FILE`: checks a routing configuration before
 * it is written to the store.
 */
import {readFileSync} from 'node:fs';

import {
  checkRouting,
  compareRouting,
  parseRoutingRecord,
  readInstanceSettings,
  SETTINGS_FILE_VARIABLE,
  type RoutingDifference,
  type RoutingFinding,
  type RoutingRecord,
} from '@briarpin/machines';
import {Result} from 'true-myth';

import {EXIT_FAILURE, EXIT_SUCCESS, print, printError} from '../command.js';

/** Options of {@link runCheckConfiguration}. */
export interface CheckConfigurationOptions {
  /** File with the version in force, to which the new one is compared. */
  readonly against?: string;
  /** True to print JSON. */
  readonly json: boolean;
  /** Environment, which may name the settings file of an instance. */
  readonly environment: NodeJS.ProcessEnv;
}

/** Errors of a configuration and its differences from the version in force. */
interface Report {
  readonly errors: readonly RoutingFinding[];
  readonly differences: readonly RoutingDifference[];
}

/**
 * Checks a routing configuration with the decoder of the gateway and prints its
 * errors and its differences from the version in force. Differences are no
 * errors.
 *
 * @param file - Path of the configuration, as JSON
 * @param options - Version in force, output format and environment
 * @returns Exit status
 */
export function runCheckConfiguration(
  file: string,
  options: CheckConfigurationOptions,
): number {
  const report = createReport(file, options);
  if (options.json) {
    print(JSON.stringify(report, null, 2));
  } else {
    printReport(file, report);
  }
  return report.errors.length === 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

function createReport(
  file: string,
  {against, environment}: CheckConfigurationOptions,
): Report {
  const record = readRecord(file);
  const inForce = against === undefined ? undefined : readRecord(against);
  const errors = [
    ...record.match({
      Ok: valid => checkRouting(valid, {regions: readRegions(environment)}),
      Err: invalid => invalid,
    }),
    ...(inForce?.isErr ? inForce.error : []),
  ];
  if (!record.isOk || !inForce?.isOk) {
    return {errors, differences: []};
  }
  return {
    errors: [...errors, ...checkVersion(inForce.value, record.value)],
    differences: compareRouting(inForce.value, record.value),
  };
}

function readRecord(
  file: string,
): Result<RoutingRecord, readonly RoutingFinding[]> {
  let value: Buffer;
  try {
    value = readFileSync(file);
  } catch (error) {
    return Result.err([{subject: file, message: (error as Error).message}]);
  }
  return parseRoutingRecord(value).mapErr(violations =>
    violations.map(({key, found, remedy}) => ({
      subject: key === '' ? file : `${file}: ${key}`,
      message: `found ${found}; ${remedy}`,
    })),
  );
}

/** Returns the regions of the platform; undefined if no settings name them. */
function readRegions(
  environment: NodeJS.ProcessEnv,
): ReadonlySet<string> | undefined {
  if (environment[SETTINGS_FILE_VARIABLE] === undefined) {
    return undefined;
  }
  return readInstanceSettings(environment).match({
    Ok: ({regionsByAvailabilityZone}) =>
      new Set(regionsByAvailabilityZone.values()),
    Err: () => undefined,
  });
}

/** Gateways ignore a configuration whose version is not higher. */
function checkVersion(
  {Version: inForce}: RoutingRecord,
  {Version: version}: RoutingRecord,
): RoutingFinding[] {
  return version > inForce
    ? []
    : [
        {
          subject: 'Version',
          message: `${version} does not replace ${inForce}, which is in force`,
        },
      ];
}

function printReport(file: string, {errors, differences}: Report): void {
  errors.forEach(({subject, message}) => printError(`${subject}: ${message}`));
  differences.forEach(difference => print(formatDifference(difference)));
  if (errors.length === 0) {
    print(`${file}: no faults found`);
  }
}

function formatDifference({
  kind,
  path,
  before,
  after,
}: RoutingDifference): string {
  return kind === 'changed'
    ? `changed ${path}: ${before} -> ${after}`
    : `${kind} ${path}`;
}
