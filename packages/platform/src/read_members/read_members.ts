/**
 * Reads the platform's membership list over HTTP.
 */
import {validateMemberList, type MemberList} from '@briarpin/messages';
import {Result} from 'true-myth';

import {GuardedAgent} from '../guarded_agent/guarded_agent.js';
import {parseJson, sendHttp} from '../send_http/send_http.js';

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const AGENT = new GuardedAgent({keepAlive: true});

/**
 * Reads the membership list once.
 *
 * @param platformUrl - Base URL of the platform
 * @param signal - Aborts the request
 * @returns The list, or the reason why it could not be read
 */
export async function readMembers(
  platformUrl: string,
  signal?: AbortSignal,
): Promise<Result<MemberList, string>> {
  const response = await sendHttp({
    url: new URL('/members', platformUrl),
    method: 'GET',
    timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    agent: AGENT,
    signal,
  });
  if (response.isErr) {
    return Result.err(response.error.message);
  }
  const body = parseJson(response.value.body);
  return validateMemberList(body)
    ? Result.ok(body)
    : Result.err(`status ${response.value.status} without a membership list`);
}
