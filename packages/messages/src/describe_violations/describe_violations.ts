/**
 * Human-readable descriptions of schema violations.
 */
import type {SchemaViolation} from '../schema_validator.js';

const MAXIMUM_VALUE_CHARACTERS = 80;

/** Human-readable description of one violation. */
export interface ViolationDescription {
  /** Path of the key, separated by dots; empty for the root. */
  readonly key: string;
  /** The invalid value as JSON, or a phrase such as `nothing`. */
  readonly found: string;
  /** Correction that makes the value valid. */
  readonly remedy: string;
}

/**
 * Describes schema violations for users.
 *
 * Each description contains the key, the invalid value and a remedy, so that
 * users can correct the value without reading the schema.
 *
 * @param violations - Violations of one failed validation
 * @returns One description per violation, in the same order
 *
 * @example
 * validatePolicy({weight: -1});
 * describeViolations(validatePolicy.errors ?? []);
 * //=> [{key: 'weight', found: '-1', remedy: 'must be >= 0.01'}]
 */
export function describeViolations(
  violations: readonly SchemaViolation[],
): readonly ViolationDescription[] {
  return violations.map(describeViolation);
}

function describeViolation(violation: SchemaViolation): ViolationDescription {
  const parent = violation.instancePath.slice(1).split('/').join('.');
  switch (violation.keyword) {
    case 'additionalProperties': {
      const name = String(violation.params['additionalProperty']);
      return {
        key: joinKey(parent, name),
        found: 'an unknown key',
        remedy: 'remove the key or correct its spelling',
      };
    }
    case 'required': {
      const name = String(violation.params['missingProperty']);
      return {
        key: joinKey(parent, name),
        found: 'nothing',
        remedy: 'add the key',
      };
    }
    case 'enum': {
      const allowed = violation.params['allowedValues'] as unknown[];
      return {
        key: parent,
        found: formatValue(violation.data),
        remedy: `use one of ${allowed.map(value => JSON.stringify(value)).join(', ')}`,
      };
    }
    default:
      return {
        key: parent,
        found: formatValue(violation.data),
        remedy: violation.message ?? 'correct the value',
      };
  }
}

function joinKey(parent: string, name: string): string {
  return parent === '' ? name : `${parent}.${name}`;
}

function formatValue(value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing';
  return text.length > MAXIMUM_VALUE_CHARACTERS
    ? `${text.slice(0, MAXIMUM_VALUE_CHARACTERS)}...`
    : text;
}
