/**
 * Parsing of the headers of a caller's request.
 */
import {randomUUID} from 'node:crypto';
import type http from 'node:http';

import {resolvePolicy} from '@briarpin/coordination';
import type {Policy} from '@briarpin/messages';
import {REQUEST_CLASSES, type RequestClassName} from '@briarpin/scheduling';
import {Result} from 'true-myth';

import type {ProcessContext} from '../shared/process_context.js';
import {createRequestError, type HttpError} from './http_errors.js';

const LONGEST_DEADLINE_MILLISECONDS = 86_400_000;
const LONGEST_IDENTIFIER_CHARACTERS = 200;
const IDENTIFIER_PATTERN = /^[\x21-\x7e]+$/;

/** Values of the validated headers of a request. */
export interface CallerRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly requestClass: RequestClassName;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  readonly policy: Required<Policy>;
}

/**
 * Parses and validates the headers of a caller's request.
 *
 * The policy of the organisation and the service gives the request class and
 * the deadline when their headers are absent.
 *
 * @param request - The request
 * @param organisation - Organisation that sent the request
 * @param service - Service that the request is for
 * @param context - Shared objects of the process
 * @returns The header values, or the error response for the first invalid
 *     header
 */
export function readCallerRequest(
  request: http.IncomingMessage,
  organisation: string,
  service: string,
  context: ProcessContext,
): Result<CallerRequest, HttpError> {
  const {table} = context.replica;
  const basePolicy = resolvePolicy(table, {organisation, service});
  const requestClass = readRequestClass(request, basePolicy.defaultClass);
  if (requestClass === undefined) {
    return Result.err(
      createHeaderError(
        'Briarpin-Class',
        `use one of ${REQUEST_CLASSES.join(', ')}, or leave it out`,
      ),
    );
  }
  const policy = resolvePolicy(table, {organisation, service, requestClass});
  const duration = readDeadline(request, policy.deadlineMilliseconds);
  if (duration === undefined) {
    const remedy = `use 1 to ${LONGEST_DEADLINE_MILLISECONDS}, or leave it out`;
    return Result.err(createHeaderError('Briarpin-Deadline-Ms', remedy));
  }
  const requestId = readIdentifier(request, 'briarpin-request-id');
  if (requestId === undefined) {
    return Result.err(
      createHeaderError('Briarpin-Request-Id', IDENTIFIER_REMEDY),
    );
  }
  const deadline = context.clock.now() + duration;
  return Result.ok({requestId, organisation, requestClass, deadline, policy});
}

/** Remedy in the error response for an invalid identifier header. */
export const IDENTIFIER_REMEDY =
  `use at most ${LONGEST_IDENTIFIER_CHARACTERS} printable characters ` +
  'without spaces, or leave it out';

/**
 * Reads an identifier from a header.
 *
 * @param request - The request
 * @param name - Name of the header, in lower case
 * @returns The identifier, a random UUID when the header is absent, or
 *     undefined when its value is invalid
 */
export function readIdentifier(
  request: http.IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  if (value === undefined) {
    return randomUUID();
  }
  const isValid =
    typeof value === 'string' &&
    value.length <= LONGEST_IDENTIFIER_CHARACTERS &&
    IDENTIFIER_PATTERN.test(value);
  return isValid ? value : undefined;
}

/**
 * Creates the error response for an invalid header.
 *
 * @param name - Name of the header
 * @param remedy - Values that are allowed
 * @returns A 400 response of the type `bad_header`
 */
export function createHeaderError(name: string, remedy: string): HttpError {
  const message = `the header ${name} is not usable`;
  return createRequestError(400, 'bad_header', message, remedy);
}

function readRequestClass(
  request: http.IncomingMessage,
  defaultClass: RequestClassName,
): RequestClassName | undefined {
  const value = request.headers['briarpin-class'];
  return value === undefined
    ? defaultClass
    : REQUEST_CLASSES.find(name => name === value);
}

function readDeadline(
  request: http.IncomingMessage,
  defaultMilliseconds: number,
): number | undefined {
  const value = request.headers['briarpin-deadline-ms'];
  if (value === undefined) {
    return defaultMilliseconds;
  }
  const milliseconds = Number(value);
  const isValid =
    Number.isInteger(milliseconds) &&
    milliseconds >= 1 &&
    milliseconds <= LONGEST_DEADLINE_MILLISECONDS;
  return isValid ? milliseconds : undefined;
}
