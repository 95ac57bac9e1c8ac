/**
 * Times of the steps of a graceful shutdown.
 */

/** Time in which the platform deregisters an instance that is not ready. */
const DEREGISTRATION_MILLISECONDS = 3_000;

/** Largest part of the grace period that waits for the deregistration. */
const MAXIMUM_DEREGISTRATION_SHARE = 0.5;

/**
 * Time before the answers at which new connections are refused; their requests
 * would hardly be served any more.
 */
const LISTENING_RESERVE_MILLISECONDS = 500;

/** Largest part of the grace period that this reserve takes. */
const MAXIMUM_LISTENING_SHARE = 0.1;

/**
 * Time before the end of the grace period at which what has no answer yet is
 * answered with a failure; long enough to write the answers.
 */
const ANSWER_RESERVE_MILLISECONDS = 500;

/** Time before the end of the grace period at which the process ends. */
const CLOSE_RESERVE_MILLISECONDS = 150;

/** Time in which a process ends whose timer was late. */
const END_MILLISECONDS = 50;

/** Largest parts of the grace period that these reserves take. */
const MAXIMUM_ANSWER_SHARE = 0.15;
const MAXIMUM_CLOSE_SHARE = 0.1;
const MAXIMUM_END_SHARE = 0.05;

/** Largest part of the grace period that the lateness of timers takes. */
const MAXIMUM_LATENESS_SHARE = 0.1;

/** Input of {@link computeShutdownSchedule}. */
export interface ShutdownConditions {
  /** Time between the request to stop and the end of the process by force. */
  readonly graceMilliseconds: number;
  /** By how much timers of the process have lately been late. */
  readonly latenessMilliseconds: number;
}

/** Steps of a shutdown, in milliseconds after the request to stop. */
export interface ShutdownSchedule {
  /** The platform sends no new connections if another instance takes them. */
  readonly deregisteredMilliseconds: number;
  /** New connections are refused. */
  readonly stopListeningMilliseconds: number;
  /** Requests that have no answer are answered with a failure. */
  readonly answerMilliseconds: number;
  /** All connections are closed and the process ends. */
  readonly closeMilliseconds: number;
}

/**
 * Computes the steps of a graceful shutdown, so that the answers are written
 * before the process is ended by force.
 *
 * @param conditions - Grace period, and how late timers are
 * @returns The steps, in this order
 *
 * @example
 * computeShutdownSchedule({graceMilliseconds: 8_000, latenessMilliseconds: 0});
 * //=> {deregisteredMilliseconds: 3000, stopListeningMilliseconds: 7000,
 * //    answerMilliseconds: 7500, closeMilliseconds: 7850}
 */
export function computeShutdownSchedule({
  graceMilliseconds,
  latenessMilliseconds,
}: ShutdownConditions): ShutdownSchedule {
  const lateness = Math.min(
    latenessMilliseconds,
    graceMilliseconds * MAXIMUM_LATENESS_SHARE,
  );
  const answerReserve = Math.min(
    ANSWER_RESERVE_MILLISECONDS,
    graceMilliseconds * MAXIMUM_ANSWER_SHARE,
  );
  const closeReserve = Math.min(
    CLOSE_RESERVE_MILLISECONDS,
    graceMilliseconds * MAXIMUM_CLOSE_SHARE,
  );
  const endDuration = Math.min(
    END_MILLISECONDS,
    graceMilliseconds * MAXIMUM_END_SHARE,
  );
  const listeningReserve = Math.min(
    LISTENING_RESERVE_MILLISECONDS,
    graceMilliseconds * MAXIMUM_LISTENING_SHARE,
  );
  // The timer is late, and the answers of a slow process take longer.
  const answerMilliseconds = graceMilliseconds - answerReserve - 2 * lateness;
  return {
    deregisteredMilliseconds: Math.min(
      DEREGISTRATION_MILLISECONDS,
      graceMilliseconds * MAXIMUM_DEREGISTRATION_SHARE - lateness,
    ),
    stopListeningMilliseconds: answerMilliseconds - listeningReserve,
    answerMilliseconds,
    closeMilliseconds:
      graceMilliseconds - Math.max(closeReserve, lateness + endDuration),
  };
}
