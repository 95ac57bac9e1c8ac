/**
 * Periodic reads of the membership list.
 */
import type {Clock, MembershipView} from '@briarpin/coordination';

import type {EventLogger} from '@briarpin/telemetry';
import {readMembers} from '@briarpin/platform';

/** Options of {@link followMembership}. */
export interface FollowMembershipOptions {
  readonly platformUrl: string;
  readonly view: MembershipView;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly intervalMilliseconds: number;
  /** Source of numbers in [0, 1); spreads the reads of many processes. */
  readonly random: () => number;
  readonly signal: AbortSignal;
  /** Called after each list that was read. */
  readonly onUpdate: () => void;
}

/**
 * Updates a view of the membership list until the signal is aborted.
 *
 * While the platform does not respond, the last list remains in use.
 *
 * @param options - The platform, the view and the poll interval
 */
export async function followMembership(
  options: FollowMembershipOptions,
): Promise<void> {
  const {clock, signal, view, logger} = options;
  let isUnavailable = false;
  while (!signal.aborted) {
    const members = await readMembers(options.platformUrl, signal);
    if (members.isOk) {
      isUnavailable = false;
      view.update(members.value);
      options.onUpdate();
    } else if (!isUnavailable && !signal.aborted) {
      isUnavailable = true;
      logger.warn('membership_unavailable', {message: members.error});
    }
    const jitter = 0.75 + options.random() / 2;
    await clock.sleep(options.intervalMilliseconds * jitter, signal);
  }
}
