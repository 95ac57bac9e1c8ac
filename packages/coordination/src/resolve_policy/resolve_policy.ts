/**
 * Resolves the policy of a request from configured defaults and exceptions.
 */
import {
  validateConfigurationException,
  validatePolicy,
  type ConfigurationException,
  type Policy,
} from '@briarpin/messages';

import type {ConfigurationTable} from '../configuration_table/configuration_table.js';

/** Key prefix of defaults. */
export const DEFAULTS_PREFIX = 'defaults.';

/** Key prefix of exceptions. */
export const EXCEPTIONS_PREFIX = 'exceptions.';

/** Policy that applies when nothing is configured. */
export const BUILT_IN_POLICY: Required<Policy> = {
  defaultClass: 'standard',
  deadlineMilliseconds: 600_000,
  initialMarginDeviations: 2.5,
  preemptionTargetPerThousand: 2,
  waitingMinimumShare: 0.2,
  weight: 1,
  urgentAllowanceTokensPerSecond: 2_000,
  maximumWaitingPerOrganisation: 1_000,
  maximumWaitMilliseconds: 600_000,
  retryBudgetRatio: 0.1,
  crossRegionBytesPerSecond: 1_000_000,
  idempotentRoutes: [],
};

/** Request attributes that exceptions match on. */
export interface PolicySubject {
  readonly organisation?: string;
  readonly service?: string;
  readonly requestClass?: string;
}

/** Parsed defaults and exceptions of one table version. */
interface ParsedPolicies {
  readonly version: number;
  readonly defaults: Required<Policy>;
  readonly exceptions: readonly ConfigurationException[];
}

/** Last parsed policies by table, so that a request does not scan every key. */
const parsedByTable = new WeakMap<ConfigurationTable, ParsedPolicies>();

/**
 * Resolves the policy for the attributes of a request.
 *
 * Defaults override the built-in policy, and each matching exception overrides
 * the defaults in key order, so that the last one takes precedence. Invalid
 * entries are ignored, because the operator's command already rejects them.
 *
 * @param table - The configuration in force
 * @param subject - Request attributes; an absent attribute does not match an
 *     exception that specifies it
 * @returns The policy with all values set
 *
 * @example
 * resolvePolicy(table, {organisation: 'shop-1'}).weight; //=> 1
 */
export function resolvePolicy(
  table: ConfigurationTable,
  subject: PolicySubject,
): Required<Policy> {
  const {defaults, exceptions} = getParsedPolicies(table);
  const matching = exceptions.filter(exception => matches(exception, subject));
  return matching.reduce(
    (policy, exception) => ({...policy, ...exception.set}),
    defaults,
  );
}

function getParsedPolicies(table: ConfigurationTable): ParsedPolicies {
  const cached = parsedByTable.get(table);
  if (cached?.version === table.version) {
    return cached;
  }
  const parsed: ParsedPolicies = {
    version: table.version,
    defaults: parseDefaults(table),
    exceptions: parseExceptions(table),
  };
  parsedByTable.set(table, parsed);
  return parsed;
}

function parseDefaults(table: ConfigurationTable): Required<Policy> {
  const policy: Record<string, unknown> = {...BUILT_IN_POLICY};
  for (const entry of table.list(DEFAULTS_PREFIX)) {
    const name = entry.key.slice(DEFAULTS_PREFIX.length);
    const value: unknown = JSON.parse(entry.valueJson);
    if (validatePolicy({[name]: value})) {
      policy[name] = value;
    }
  }
  return policy as unknown as Required<Policy>;
}

function parseExceptions(
  table: ConfigurationTable,
): readonly ConfigurationException[] {
  return table.list(EXCEPTIONS_PREFIX).flatMap(entry => {
    const exception: unknown = JSON.parse(entry.valueJson);
    return validateConfigurationException(exception) ? [exception] : [];
  });
}

function matches(
  exception: ConfigurationException,
  subject: PolicySubject,
): boolean {
  const {organisation, service, requestClass} = exception.match;
  return (
    (organisation === undefined || organisation === subject.organisation) &&
    (service === undefined || service === subject.service) &&
    (requestClass === undefined || requestClass === subject.requestClass)
  );
}
