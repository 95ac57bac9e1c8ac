/**
 * Types of the validators that are compiled from JSON Schemas.
 */

/** Schema violation that a compiled validator reports. */
export interface SchemaViolation {
  /** JSON pointer to the invalid value. */
  readonly instancePath: string;
  readonly keyword: string;
  readonly message?: string;
  readonly params: Readonly<Record<string, unknown>>;
  /** The invalid value. */
  readonly data?: unknown;
}

/** Compiled validator; stores the violations of its last call in `errors`. */
export interface SchemaValidator<T> {
  (data: unknown): data is T;
  errors?: SchemaViolation[] | null;
}
