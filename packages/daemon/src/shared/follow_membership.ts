/**
 * Reading the membership list again and again.
 */
import type {Clock, MembershipView} from '@briarpin/coordination';

import type {EventLogger} from '@briarpin/telemetry';
import {readMembers} from '@briarpin/platform';

/** What {@link followMembership} needs. */
export interface FollowMembershipOptions {
  readonly platformUrl: string;
  readonly view: MembershipView;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly intervalMilliseconds: number;
  /** Source of numbers in [0, 1); spreads the reads of many processes. */
  readonly random: () => number;
  readonly signal: AbortSignal;
  /** Told after each list. */
  readonly onUpdate: () => void;
}

/**
 * Keeps a view of the membership list up to date.
 *
 * While the platform does not answer, the last list stays in use.
 *
 * @param options - The platform and the view
 */
export async function followMembership(
  options: FollowMembershipOptions,
): Promise<void> {
  const {clock, signal, view, logger} = options;
  let failing = false;
  while (!signal.aborted) {
    const members = await readMembers(options.platformUrl, signal);
    if (members.isOk) {
      failing = false;
      view.update(members.value);
      options.onUpdate();
    } else if (!failing && !signal.aborted) {
      failing = true;
      logger.warn('membership_unavailable', {message: members.error});
    }
    const jitter = 0.75 + options.random() / 2;
    await clock.sleep(options.intervalMilliseconds * jitter, signal);
  }
}
