/**
 * Broken answers of a server that gives one kind after another.
 */
import type http from 'node:http';

import {
  BROKEN_HEAD_KINDS,
  deliver,
  DELIVERIES,
  formatBrokenAnswer,
  type HeadFields,
} from './broken_heads.js';

/** Gives every kind of broken head, each time with the next delivery. */
export class BrokenAnswerCycle {
  private count = 0;

  /** Number of answers given. */
  get answerCount(): number {
    return this.count;
  }

  /** True once every kind has been given. */
  get isComplete(): boolean {
    return this.count >= BROKEN_HEAD_KINDS.length;
  }

  /**
   * Answers with the next kind.
   *
   * @param response - Response of which nothing has been sent
   * @param fields - Fields of the head that are in order
   */
  async answer(
    {req: {socket}}: http.ServerResponse,
    fields: HeadFields = {},
  ): Promise<void> {
    const kind = BROKEN_HEAD_KINDS[this.count % BROKEN_HEAD_KINDS.length];
    const delivery = DELIVERIES[this.count % DELIVERIES.length];
    this.count += 1;
    if (kind !== undefined && delivery !== undefined) {
      await deliver(socket, formatBrokenAnswer(kind, fields), delivery);
    }
  }
}
