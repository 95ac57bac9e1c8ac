/**
 * Parser of settings in JSONC (JSON with comments).
 */
import {describeViolations, type SchemaValidator} from '@briarpin/messages';
import {
  findNodeAtLocation,
  parseTree,
  printParseErrorCode,
  getNodeValue,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {Result} from 'true-myth';

/** Error in a settings file. */
export interface SettingsError {
  readonly kind: 'syntax' | 'schema' | 'file';
  readonly file: string;
  /** Line of the error, from 1; 0 when it refers to no line. */
  readonly line: number;
  /** Path of the key, separated by dots; empty for the whole file. */
  readonly key: string;
  readonly found: string;
  readonly remedy: string;
}

/** Options of {@link parseSettings}. */
export interface ParseSettingsOptions<T> {
  /** File name for error messages. */
  readonly file: string;
  readonly validate: SchemaValidator<T>;
}

/**
 * Parses and validates settings.
 *
 * Reports all errors at once, each with its line, key, invalid value and
 * remedy. Unknown keys are errors.
 *
 * @param text - JSONC text; trailing commas are allowed
 * @param options - File name and validator of the settings
 * @returns The settings, or all errors
 *
 * @example
 * parseSettings('{"platformUrl": 1}', {
 *   file: 'operator.jsonc',
 *   validate: validateOperatorSettings,
 * });
 * //=> Err([{line: 1, key: 'platformUrl', found: '1', ...}])
 */
export function parseSettings<T>(
  text: string,
  options: ParseSettingsOptions<T>,
): Result<T, readonly SettingsError[]> {
  const parseErrors: ParseError[] = [];
  const tree = parseTree(text, parseErrors, {allowTrailingComma: true});
  if (tree === undefined || parseErrors.length > 0) {
    return Result.err(describeSyntaxErrors(text, parseErrors, options.file));
  }
  const value: unknown = getNodeValue(tree);
  if (options.validate(value)) {
    return Result.ok(value);
  }
  const errors = describeViolations(options.validate.errors ?? []).map(
    ({key, found, remedy}): SettingsError => ({
      kind: 'schema',
      file: options.file,
      line: findLineOfKey(text, tree, key),
      key,
      found,
      remedy,
    }),
  );
  return Result.err(errors);
}

function describeSyntaxErrors(
  text: string,
  errors: readonly ParseError[],
  file: string,
): readonly SettingsError[] {
  if (errors.length === 0) {
    return [createSyntaxError(file, 1, 'an empty file')];
  }
  return errors.map(error =>
    createSyntaxError(
      file,
      findLineAtOffset(text, error.offset),
      printParseErrorCode(error.error),
    ),
  );
}

function createSyntaxError(
  file: string,
  line: number,
  found: string,
): SettingsError {
  const remedy = 'write JSON with comments, every key in double quotes';
  return {kind: 'syntax', file, line, key: '', found, remedy};
}

function findLineOfKey(text: string, tree: Node, key: string): number {
  const path = key.split('.');
  while (path.length > 0) {
    const node = findNodeAtLocation(tree, path.map(toPathSegment));
    if (node !== undefined) {
      return findLineAtOffset(text, node.offset);
    }
    path.pop();
  }
  return findLineAtOffset(text, tree.offset);
}

function toPathSegment(name: string): string | number {
  return /^\d+$/.test(name) ? Number(name) : name;
}

function findLineAtOffset(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
