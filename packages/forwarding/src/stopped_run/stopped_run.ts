/**
 * A run that was stopped to go on at another engine.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import type {MemorySource} from '../dialect/dialect.js';

/** A run that has ended at its source and must resume on another engine. */
export type StoppedRun =
  /** The run was stopped and copied completely; it resumes at the target. */
  | {
      readonly kind: 'stopped';
      readonly target: EndpointEntry;
      readonly memorySource: MemorySource;
    }
  /**
   * A copy call after the first copy got no answer, usually because the source
   * exited; the target holds all but the newest tokens.
   */
  | {
      readonly kind: 'source_lost';
      readonly target: EndpointEntry;
      readonly memorySource: MemorySource;
    }
  /**
   * The run was stopped, its last copy was refused, and it may not resume at its
   * source; the target holds all but the newest tokens.
   */
  | {
      readonly kind: 'stopped_at_copy';
      readonly target: EndpointEntry;
      readonly memorySource: MemorySource;
    }
  /** The run was stopped, and only its source holds the memory. */
  | {
      readonly kind: 'stopped_at_source';
      readonly memorySource: MemorySource;
    };
