/**
 * Computation of the priority that is sent to an engine with a generation.
 */
import {REQUEST_CLASSES, type RequestClassName} from '../request/request.js';

const CLASS_PRIORITY_STEP = 100;
const BUFFERED_PENALTY = 50;

/** Inputs of {@link computeEnginePriority}. */
export interface PriorityInputs {
  /** Scheduling class; may differ from the requested class. */
  readonly schedulingClass: RequestClassName;
  /** True when the response is sent only once it is complete. */
  readonly isBuffered: boolean;
}

/**
 * Computes the priority of a generation at its engine.
 *
 * An engine that runs out of memory suspends the generation with the lowest
 * priority. The least urgent class is suspended first; within a class a
 * buffered response is suspended before a stream, because a pause in it is not
 * visible to the client.
 *
 * @param inputs - Scheduling class and kind of delivery
 * @returns The priority; the lowest one is suspended first
 *
 * @example
 * computeEnginePriority({schedulingClass: 'urgent', isBuffered: false});
 * //=> 300
 */
export function computeEnginePriority(inputs: PriorityInputs): number {
  const rank =
    REQUEST_CLASSES.length - REQUEST_CLASSES.indexOf(inputs.schedulingClass);
  const penalty = inputs.isBuffered ? BUFFERED_PENALTY : 0;
  return rank * CLASS_PRIORITY_STEP - penalty;
}
