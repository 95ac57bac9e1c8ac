/**
 * Types of compiled validators, at the path that generated modules import.
 */
export type {SchemaValidator, SchemaViolation} from '@briarpin/messages';
