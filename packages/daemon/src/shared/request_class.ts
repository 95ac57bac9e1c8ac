/**
 * Conversion of request classes between messages and names.
 */
import {RequestClass} from '@briarpin/messages';
import type {RequestClassName} from '@briarpin/scheduling';

const REQUEST_CLASS_BY_NAME: Readonly<Record<RequestClassName, RequestClass>> =
  {
    urgent: RequestClass.URGENT,
    standard: RequestClass.STANDARD,
    deferrable: RequestClass.DEFERRABLE,
  };

/** Converts the name of a request class to its value in messages. */
export function toMessageClass(name: RequestClassName): RequestClass {
  return REQUEST_CLASS_BY_NAME[name];
}

/** Converts a request class to its name; `standard` for any other value. */
export function toClassName(value: RequestClass): RequestClassName {
  switch (value) {
    case RequestClass.URGENT:
      return 'urgent';
    case RequestClass.DEFERRABLE:
      return 'deferrable';
    default:
      return 'standard';
  }
}
