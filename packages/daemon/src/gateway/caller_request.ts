/**
 * What the headers of a caller's request say.
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

/** A request whose headers are in order. */
export interface CallerRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly requestClass: RequestClassName;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  readonly policy: Required<Policy>;
}

/**
 * Reads the headers of a caller's request.
 *
 * @param request - The request
 * @param organisation - Whose request
 * @param service - Service that it goes to
 * @param context - Parts of the process
 * @returns What they say, or the error to answer with
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
    return Result.err(createHeaderError('Briarpin-Request-Id', IDENTIFIER_REMEDY));
  }
  const deadline = context.clock.now() + duration;
  return Result.ok({requestId, organisation, requestClass, deadline, policy});
}

/** What an identifier in a header may be. */
export const IDENTIFIER_REMEDY =
  `use at most ${LONGEST_IDENTIFIER_CHARACTERS} printable characters ` +
  'without spaces, or leave it out';

/**
 * Reads an identifier from a header.
 *
 * @param request - The request
 * @param name - Name of the header, in lower case
 * @returns The identifier, a new one when the header is absent, or undefined
 *     when it is not usable
 */
export function readIdentifier(
  request: http.IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  if (value === undefined) {
    return randomUUID();
  }
  const isUsable =
    typeof value === 'string' &&
    value.length <= LONGEST_IDENTIFIER_CHARACTERS &&
    IDENTIFIER_PATTERN.test(value);
  return isUsable ? value : undefined;
}

/** An error in a header. */
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
  const isUsable =
    Number.isInteger(milliseconds) &&
    milliseconds >= 1 &&
    milliseconds <= LONGEST_DEADLINE_MILLISECONDS;
  return isUsable ? milliseconds : undefined;
}
