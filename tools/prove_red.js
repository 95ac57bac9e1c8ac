/**
 * Mutation tests: checks that the tests of each guarantee fail without the
 * mechanism behind it.
 *
 * Disables one mechanism at a time in the compiled code, runs the tests that
 * should fail, and restores the code. Exits with 1 if a test still passes. With
 * arguments, runs only the mechanisms whose description contains one of them.
 */
import {spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';

const TEST_TIMEOUT_MILLISECONDS = 60_000;

/** Mutations of the compiled code, each with the tests that should fail. */
const MUTATIONS = [
  {
    promise: 'tokens are delivered once, in order and from one generation',
    mechanism: 'tokens that were already received are dropped',
    file: 'packages/daemon/dist/sidecar/generation.js',
    from: 'texts.slice(Math.max(0, this.tokenCount - firstIndex))',
    to: 'texts.slice()',
    test: 'sidecar/generation',
  },
  {
    promise: 'tokens are delivered once, in order and from one generation',
    mechanism: 'an interrupted engine stream is resumed',
    file: 'packages/daemon/dist/sidecar/model_runner.js',
    from: "while (end.kind === 'broken' &&",
    to: 'while (false &&',
    test: 'invariants/tokens_once',
  },
  {
    promise: 'tokens are delivered once, in order and from one generation',
    mechanism: 'a partially delivered generation is resumed, not restarted',
    file: 'packages/daemon/dist/gateway/generation_session.js',
    from: "if (result.kind === 'broken' && isDelivered) {",
    to: 'if (false) {',
    test: 'invariants/tokens_once',
  },
  {
    promise: 'a response is complete and belongs to its request',
    mechanism: 'a failed stream ends with an error event',
    file: 'packages/daemon/dist/gateway/completion_writer.js',
    from: '`event: error\\ndata: ${formatErrorBody(error)}\\n\\n`',
    to: 'LAST_EVENT',
    test: 'invariants/whole_answers',
  },
  {
    promise:
      'the outcome "not run" is reported only if the request did not run',
    mechanism: 'the outcome is unknown if any attempt may have run',
    file: 'packages/daemon/dist/gateway/generation_session.js',
    from: 'this.isCertainlyNotRun ? Outcome.NOT_RUN : Outcome.UNKNOWN',
    to: 'Outcome.NOT_RUN',
    test: 'invariants/not_run',
  },
  {
    promise:
      'the outcome "not run" is reported only if the request did not run',
    mechanism: 'a process that started later cannot tell',
    file: 'packages/daemon/dist/sidecar/model_runner.js',
    from: 'return this.remembersSince(ageMilliseconds)',
    to: 'return true',
    test: 'sidecar/revoke',
  },
  {
    promise: 'a non-idempotent call runs at most once',
    mechanism: 'the key is claimed before the call is sent',
    file: 'packages/daemon/dist/sidecar/service_runner.js',
    from: 'this.answerInTime(call, call.idempotent',
    to: 'this.answerInTime(call, true',
    test: 'invariants/at_most_once',
  },
  {
    promise: 'a non-idempotent call runs at most once',
    mechanism: 'the claim with the lowest offset holds the key',
    file: 'packages/coordination/dist/claim_table/claim_table.js',
    from: 'if (holder !== undefined) {',
    to: 'if (false) {',
    test: 'claim_table',
  },
  {
    promise: 'a non-idempotent call runs at most once',
    mechanism: 'an abandoned attempt cannot claim a key again',
    file: 'packages/coordination/dist/claim_table/claim_table.js',
    from: 'if (this.abandoned.has(entry.attempt)) {',
    to: 'if (false) {',
    test: 'claim_table',
  },
  {
    promise: 'shutdown is graceful',
    mechanism: 'the process exits only after all streams have been read',
    file: 'packages/daemon/dist/sidecar/sidecar.js',
    from: 'await clock.sleep(DRAIN_POLL_MILLISECONDS);',
    to: 'server.forceShutdown(); break;',
    test: 'invariants/leaving',
  },
  {
    promise: 'shutdown is graceful',
    mechanism: 'a replacement with the same name is not marked as leaving',
    file: 'packages/coordination/dist/membership_view/membership_view.js',
    from: '?.address !== address',
    to: '=== undefined',
    test: 'membership_view',
  },
  {
    promise: 'configuration is consistent',
    mechanism: 'a change based on an outdated value is rejected',
    file: 'packages/coordination/dist/configuration_table/configuration_table.js',
    from: "change.baseOffset === current.offset ? 'accepted' : 'conflict'",
    to: "'accepted'",
    test: 'configuration_table',
  },
  {
    promise: 'configuration is consistent',
    mechanism: 'the entry with the larger offset replaces the other',
    file: 'packages/coordination/dist/configuration_table/configuration_table.js',
    from: 'current.offset < entry.offset',
    to: 'true',
    test: 'configuration_table',
  },
  {
    promise: 'configuration is consistent',
    mechanism:
      'a restatement must cover all records before the earliest retained one',
    file: 'packages/coordination/dist/configuration_replica/configuration_replica.js',
    from: 'restatement.through < this.earliest - 1',
    to: 'false',
    test: 'configuration_replica',
  },
  {
    promise: 'configuration is consistent',
    mechanism: 'staleness is counted from the read of the log',
    file: 'packages/coordination/dist/configuration_replica/configuration_replica.js',
    from: 'this.options.clock.now() - ageMilliseconds',
    to: 'this.options.clock.now()',
    test: 'configuration_replica',
  },
  {
    promise: 'orders carry fencing numbers',
    mechanism: 'the fencing number is the offset of the configuration',
    file: 'packages/daemon/dist/sidecar/model_reconciler.js',
    from: 'const fencingNumber = entry.offset;',
    to: 'const fencingNumber = 1;',
    test: 'invariants/orders',
  },
  {
    promise: 'a crashing request is quarantined',
    mechanism: 'a suspected request runs in isolation',
    file: 'packages/scheduling/dist/decide_quarantine/decide_quarantine.js',
    from: "return crashCount > 0 ? 'run_alone' : 'run';",
    to: "return 'run';",
    test: 'engine_scheduler',
  },
  {
    promise: 'a crashing request is quarantined',
    mechanism: 'a request is refused after two crashes',
    file: 'packages/scheduling/dist/decide_quarantine/decide_quarantine.js',
    from: "return 'refuse';",
    to: "return 'run_alone';",
    test: 'invariants/crashing_request',
  },
  {
    promise: 'a crashing request is quarantined on machines',
    mechanism: 'a request is refused after three crashes',
    file: 'packages/forwarding/dist/crash_quarantine/crash_quarantine.js',
    from: 'if (culprit === undefined ||',
    to: 'if (true ||',
    test: 'machine/crashing_request',
  },
  {
    promise: 'a broken answer without a length does not look complete',
    mechanism: 'a stream that ends inside an event is broken off',
    file: 'packages/forwarding/dist/endpoint_stream/endpoint_stream.js',
    from: 'hasEvents && this.splitter.isInsideEvent',
    to: 'false',
    test: 'machine/unframed_answers',
  },
  {
    promise: 'a broken answer without a length does not look complete',
    mechanism: 'another process at the address proves the end of an endpoint',
    file: 'packages/forwarding/dist/endpoint_ends/endpoint_ends.js',
    from: 'isOther(listener, endpoint) ||',
    to: '',
    test: 'machine/unframed_answers',
  },
  {
    promise: 'a whole answer without a length reaches its caller',
    mechanism: 'an entry that is gone does not prove the end of its endpoint',
    file: 'packages/forwarding/dist/endpoint_ends/endpoint_ends.js',
    from: "(listener.state === 'undecided' && this.isGone(endpoint))",
    to: 'this.isGone(endpoint)',
    test: 'machine/unframed_answers',
  },
  {
    promise: 'what a stopping gateway takes is answered',
    mechanism: 'a late stream is taken only if its limit ends it in time',
    file: 'packages/scheduling/dist/decide_last_request/decide_last_request.js',
    from: '? limitMilliseconds',
    to: '? 3 * expectedMilliseconds',
    test: 'machine/late_streams',
  },
  {
    promise: 'a key that was taken away is rejected in time',
    mechanism: 'a store that lacks what others have read confirms nothing',
    file: 'packages/coordination/dist/freshness_exchange/freshness_exchange.js',
    from: 'if (!this.hasNewestVersion()) {',
    to: 'if (false) {',
    test: 'restored_store',
  },
  {
    promise: 'a key that was taken away is rejected in time',
    mechanism: 'a gateway that starts after a restoration waits for the others',
    file: 'packages/coordination/dist/freshness_exchange/freshness_exchange.js',
    from: 'era <= FIRST_STORE_ERA ||',
    to: 'true ||',
    test: 'machine/restored_keys',
  },
  {
    promise: 'a stream goes on only at the version that began it',
    mechanism: 'an endpoint that refused a connection is in doubt',
    file: 'packages/forwarding/dist/pin_stream_origin/pin_stream_origin.js',
    from: 'doubts.isInDoubt(endpoint)',
    to: 'false',
    test: 'machine/stream_versions',
  },
  {
    promise: 'a stream goes on only at the version that began it',
    mechanism: 'the version is looked at again when a stream breaks off',
    file: 'packages/forwarding/dist/pin_stream_origin/pin_stream_origin.js',
    from: 'exchange.origin !== undefined && endpoints.hasOtherSoftware(endpoint)',
    to: 'false',
    test: 'machine/stream_versions',
  },
  {
    promise: 'callers get answers only',
    mechanism: 'a response with an odd status is no answer',
    file: 'packages/forwarding/dist/endpoint_client/endpoint_client.js',
    from: 'status < FIRST_FINAL_STATUS || status > LAST_FINAL_STATUS',
    to: 'false',
    test: 'machine/odd_statuses',
  },
  {
    promise: 'a response of one server delays no other request',
    mechanism: 'an event that does not end is broken off',
    file: 'packages/forwarding/dist/endpoint_stream/endpoint_stream.js',
    from: 'unfinishedBytes > maximumUnfinishedBytes',
    to: 'false',
    test: 'machine/endless_answers',
  },
  {
    promise: 'a response of one server delays no other request',
    mechanism: 'blank lines are no events',
    file: 'packages/forwarding/dist/event_splitter/event_splitter.js',
    from: 'isBlank && this.hasField',
    to: 'isBlank',
    test: 'event_splitter',
  },
  {
    promise: 'a response of one server delays no other request',
    mechanism: 'bytes before a head are limited',
    file: 'packages/forwarding/dist/limit_head_bytes/limit_head_bytes.js',
    from: 'bytes > maximumBytes',
    to: 'false',
    test: 'machine/endless_answers',
  },
  {
    promise: 'a key that was taken away is rejected in time',
    mechanism: 'only the last page of a read confirms the copy',
    file: 'packages/coordination/dist/follow_keyed_topic/follow_keyed_topic.js',
    from: 'if (hasMore) {',
    to: 'if (false) {',
    test: 'coordination/dist/freshness_exchange',
  },
  {
    promise: 'a stream continues only at the software version where it began',
    mechanism: 'a stream that is not named waits for a read of the endpoints',
    file: 'packages/forwarding/dist/resolve_stream_origin/resolve_stream_origin.js',
    from: '(await endpointsRead.wait(READ_TIMEOUT_MILLISECONDS))',
    to: 'true',
    test: 'forwarding/dist/resolve_stream_origin',
  },
  {
    promise: 'a process survives what others write',
    mechanism: 'an address that cannot be connected to names no endpoint',
    file: 'platform/dist/decode_endpoint/decode_endpoint.js',
    from: '!isUsableAddress(address)',
    to: 'false',
    test: 'machine/odd_entries',
  },
  {
    promise: 'a response is complete and belongs to its request',
    mechanism: 'a connection that ends inside a head is a failure',
    file: 'packages/forwarding/dist/endpoint_client/endpoint_client.js',
    from: "request.on('error', fail);",
    to: "request.on('error', () => undefined);",
    test: 'machine/cut_heads',
  },
  {
    promise: 'live endpoints are used',
    mechanism: 'an entry that is gone is no notice of its endpoint',
    file: 'packages/coordination/dist/endpoint_registry/endpoint_registry.js',
    from: 'if (departure.hasNotice) {',
    to: 'if (true) {',
    test: 'machine/lapsed_entries',
  },
  {
    promise: 'live endpoints are used',
    mechanism: 'a late entry of an earlier incarnation is no restart',
    file: 'packages/coordination/dist/judge_entry/judge_entry.js',
    from: "? 'replaces' : 'competes'",
    to: "? 'replaces' : 'replaces'",
    test: 'endpoint_registry/endpoint_registry.test',
  },
  {
    promise: 'live endpoints are used',
    mechanism: 'a restart is no notice of its endpoint',
    file: 'packages/coordination/dist/create_departure/create_departure.js',
    from: "reason === 'draining' ||",
    to: "reason !== 'entry_removed' ||",
    test: 'create_departure',
  },
  {
    promise: 'every request is answered',
    mechanism: 'an exchange that closes without a response is settled',
    file: 'packages/forwarding/dist/endpoint_client/endpoint_client.js',
    from: "request.on('close', () =>",
    to: "request.on('unused', () =>",
    test: 'machine/upgraded_responses',
  },
  {
    promise: 'an endpoint receives what it asks for',
    mechanism: 'an endpoint that asks for a pause is no candidate',
    file: 'packages/forwarding/dist/endpoint_limits/endpoint_limits.js',
    from: 'this.pauses.computeWaitMilliseconds(endpointId) > 0',
    to: 'false',
    test: 'forwarding/dist/endpoint_limits',
  },
  {
    promise: 'a crashing request is quarantined on machines',
    mechanism: 'suspicions that the store lacks are written to it',
    file: 'packages/coordination/dist/suspicion_replica/suspicion_replica.js',
    from: 'if (missing.length === 0) {',
    to: 'if (true) {',
    test: 'suspicion_replica',
  },
  {
    promise: 'all gateways together keep the limit of an endpoint',
    mechanism: 'the requests of other gateways are counted',
    file: 'packages/forwarding/dist/endpoint_limits/endpoint_limits.js',
    from: 'if (sent > 0) {',
    to: 'if (false) {',
    test: 'endpoint_limits',
  },
  {
    promise: 'retries of all gateways stay within the budget',
    mechanism: 'a starting process reserves no retries',
    file: 'packages/forwarding/dist/retry_budgets/retry_budgets.js',
    from: 'isKnown && needed <= slack * RESERVED_SHARE ? RESERVED_RETRIES : 0',
    to: 'slack / 3',
    test: 'soak/retry_limit',
  },
  {
    promise: 'retries of all gateways stay within the budget',
    mechanism: 'retries are reserved only after a complete window',
    file: 'packages/forwarding/dist/retry_budgets/retry_budgets.js',
    from: 'isKnown && needed',
    to: 'needed',
    test: 'forwarding/dist/retry_budgets',
  },
  {
    promise: 'retries of all gateways stay within the budget',
    mechanism: 'retries of the current window are counted',
    file: 'packages/scheduling/dist/windowed_retry_budget/windowed_retry_budget.js',
    from: 'allowed - this.retries.count(now)',
    to: 'allowed',
    test: 'soak/retry_limit',
  },
  {
    promise: 'a stopping gateway answers every request that it has taken',
    mechanism: 'requests without an answer are answered before the end',
    file: 'packages/forwarding/dist/caller_server/caller_server.js',
    from: 'this.open.forEach(open => open.interrupt());',
    to: '',
    test: 'soak/stopping_gateway.test',
  },
  {
    promise: 'a stopping gateway answers every request that it has taken',
    mechanism: 'it ends early only when nothing is left unread',
    file: 'packages/forwarding/dist/shutdown/shutdown.js',
    from: 'wasDone && isDoneNow',
    to: 'isDoneNow',
    test: 'soak/stopping_gateway_states',
  },
  {
    promise: 'a stopping gateway answers every request that it has taken',
    mechanism: 'a second signal does not end it at once',
    file: 'packages/daemon/dist/machine/wire_machine.js',
    from: 'return shutDown;',
    to: 'return Promise.resolve();',
    test: 'soak/gateway_signals',
  },
  {
    promise: 'a stopping gateway rejects what would not end',
    mechanism: 'the expected duration is compared with the time left',
    file: 'packages/scheduling/dist/decide_last_request/decide_last_request.js',
    from: 'neededMilliseconds + MARGIN_MILLISECONDS <= remainingMilliseconds',
    to: 'true',
    test: 'machine/streams',
  },
  {
    promise: 'a stream continues only at the software version where it began',
    mechanism: 'a copy goes to an engine of the version of its source',
    file: 'packages/forwarding/dist/choose_placement/choose_placement.js',
    from: 'softwareVersion === source.softwareVersion',
    to: 'true',
    test: 'choose_placement',
  },
  {
    promise: 'a stream continues only at the software version where it began',
    mechanism: 'a stream that is taken up is pinned to its origin',
    file: 'packages/forwarding/dist/endpoint_eligibility/endpoint_eligibility.js',
    from: '(origin === undefined || isAtOrigin(entry, origin))',
    to: 'true',
    test: 'stream_versions',
  },
  {
    promise: 'a stream continues only at the software version where it began',
    mechanism:
      'the history of versions reaches back to streams of late callers',
    file: 'packages/forwarding/dist/compute_take_up_time/compute_take_up_time.js',
    from: 'TAKE_UP_MILLISECONDS = 60_000',
    to: 'TAKE_UP_MILLISECONDS = 0',
    test: 'compute_take_up_time',
  },
  {
    promise: 'a stream continues only at the software version where it began',
    mechanism: 'the history of versions starts anew after a time without reads',
    file: 'packages/coordination/dist/software_version_history/software_version_history.js',
    from: 'this.startedAt === undefined || this.hasGap()',
    to: 'this.startedAt === undefined',
    test: 'endpoint_registry',
  },
  {
    promise: 'a stream continues only at the software version where it began',
    mechanism: 'an earlier incarnation from a copy of the store is ignored',
    file: 'packages/coordination/dist/judge_entry/judge_entry.js',
    from: 'replacedEntry === undefined && !isEarlier(entry, current.entry)',
    to: 'true',
    test: 'machine/stream_versions',
  },
  {
    promise: 'a stream continues only at the software version where it began',
    mechanism: 'other software means another incarnation',
    file: 'packages/coordination/dist/is_of_same_incarnation/is_of_same_incarnation.js',
    from: 'entry.softwareVersion === otherEntry.softwareVersion',
    to: 'true',
    test: 'machine/stream_versions',
  },
  {
    promise: 'a stream that callers take up elsewhere goes on',
    mechanism: 'the other gateways are told where a stream began',
    file: 'packages/forwarding/dist/stream_origins/stream_origins.js',
    from: 'this.send(keepers,',
    to: 'this.send([],',
    test: 'forwarding/dist/stream_origins',
  },
  {
    promise: 'a stream that callers take up elsewhere goes on',
    mechanism: 'a gateway that does not know a stream asks the others',
    file: 'packages/forwarding/dist/stream_origins/stream_origins.js',
    from: 'await this.ask(requestId);',
    to: '',
    test: 'forwarding/dist/stream_origins',
  },
  {
    promise: 'an endpoint that asked for a pause gets no requests in it',
    mechanism: 'copy calls wait for the end of a pause',
    file: 'packages/forwarding/dist/run_evacuation/run_evacuation.js',
    from: 'await waitForPause(run, context);',
    to: '',
    test: 'machine/endpoint_pauses',
  },
  {
    promise: 'an endpoint that asked for a pause gets no requests in it',
    mechanism: 'a connection that opens within a pause is not used',
    file: 'packages/forwarding/dist/endpoint_client/endpoint_client.js',
    from: 'if (isPaused())',
    to: 'if (false)',
    test: 'forwarding/dist/endpoint_client',
  },
  {
    promise: 'a stream holds nothing but the events of its run',
    mechanism: 'a response without events does not go on with a stream',
    file: 'packages/forwarding/dist/stream_session/stream_session.js',
    from: 'this.writer.sentEvents > 0 && !isEventStream(result.response)',
    to: 'false',
    test: 'machine/broken_streams',
  },
  {
    promise: 'a stream holds nothing but the events of its run',
    mechanism: 'an error response after the first event is not passed on',
    file: 'packages/forwarding/dist/stream_session/stream_session.js',
    from: 'if (!this.exchange.response.headersSent)',
    to: 'if (true)',
    test: 'machine/broken_streams',
  },
  {
    promise: 'an unexpected error ends one request only',
    mechanism: 'a handler that throws has its connection closed',
    file: 'packages/forwarding/dist/caller_server/caller_server.js',
    from: 'this.endFailedRequest(open, error);',
    to: 'throw error;',
    test: 'forwarding/dist/caller_server',
  },
  {
    promise: 'an unexpected error ends one request only',
    mechanism: 'numbers of entries are limited to the fields of reports',
    file: 'platform/dist/decode_endpoint/decode_endpoint.js',
    from: 'Math.max(0, record.ColdRemainingMs ?? 0)',
    to: 'record.ColdRemainingMs ?? 0',
    test: 'machine/malformed_entries',
  },
  {
    promise: 'an unexpected error ends one request only',
    mechanism: 'numbers of headers are limited to the fields of messages',
    file: 'platform/dist/request_dialect/request_dialect.js',
    from: 'Math.min(value, MAXIMUM_NUMBER)',
    to: 'value',
    test: 'request_dialect',
  },
  {
    promise: 'a refusal belongs to the request that it answers',
    mechanism: 'an unnamed refusal on a used connection proves nothing',
    file: 'packages/forwarding/dist/endpoint_client/endpoint_client.js',
    from: 'metadata.isNotRun && !request.reusedSocket',
    to: 'metadata.isNotRun',
    test: 'machine/kept_connections',
  },
  {
    promise: 'a refusal belongs to the request that it answers',
    mechanism: 'bytes on an idle connection close it',
    file: 'packages/platform/dist/guarded_agent/guarded_agent.js',
    from: 'const guard = () => socket.destroy();',
    to: 'const guard = () => undefined;',
    test: 'guarded_agent',
  },
  {
    promise: 'a configuration never counts as more recent than it is',
    mechanism: 'the age in an answer counts from the question',
    file: 'packages/coordination/dist/freshness_exchange/freshness_exchange.js',
    from: 'const stateAt = askedAt - ageMilliseconds;',
    to: 'const stateAt = this.options.stalenessTracker.readTime() - ageMilliseconds;',
    test: 'freshness_exchange',
  },
  {
    promise: 'a configuration never counts as more recent than it is',
    mechanism: 'a newer version does not confirm an older copy',
    file: 'packages/coordination/dist/freshness_exchange/freshness_exchange.js',
    from: 'own >= version &&\n            this.hasNewestVersion() &&',
    to: '',
    test: 'freshness_exchange',
  },
  {
    promise: 'a stopping gateway serves what can end',
    mechanism: 'one long pause is not taken for late timers',
    file: 'packages/scheduling/dist/timer_lateness/timer_lateness.js',
    from: 'return this.secondLargest;',
    to: 'return this.largest;',
    test: 'forwarding/dist/shutdown',
  },
  {
    promise: 'requests stay in their allowed regions',
    mechanism: 'the filter applies allowed regions',
    file: 'packages/forwarding/dist/endpoint_eligibility/endpoint_eligibility.js',
    from: 'region !== undefined && regions.has(region)',
    to: 'true',
    test: 'machine/allowed_regions',
  },
  {
    promise: 'an evacuated zone receives nothing new',
    mechanism: 'the filter excludes evacuated zones',
    file: 'packages/forwarding/dist/endpoint_eligibility/endpoint_eligibility.js',
    from: 'isAllowed(entry) && !evacuatedZones.has(entry.availabilityZone)',
    to: 'isAllowed(entry)',
    test: 'machine/evacuated_zones',
  },
  {
    promise: 'an evacuated zone receives nothing new',
    mechanism: 'a gateway whose evacuated zones differ reads the store',
    file: 'packages/coordination/dist/freshness_exchange/freshness_exchange.js',
    from: 'if (evacuatedZones.differsFrom(availabilityZones)) {',
    to: 'if (false) {',
    test: 'freshness_zones',
  },
  {
    promise: 'a cold endpoint receives no more than it tolerates',
    mechanism: 'requests to cold endpoints are counted in a window',
    file: 'packages/forwarding/dist/cold_endpoints/cold_endpoints.js',
    from: 'endpoint.sentAt.push(this.options.now());',
    to: '',
    test: 'machine/cold_endpoints',
  },
  {
    promise: 'a cold endpoint receives no more than it tolerates',
    mechanism: 'endpoints of a restored zone are cold',
    file: 'packages/forwarding/dist/cold_endpoints/cold_endpoints.js',
    from: 'this.restoredAt.set(availabilityZone, this.options.now());',
    to: '',
    test: 'machine/cold_endpoints',
  },
];

let green = 0;
const words = process.argv.slice(2);
const chosen = MUTATIONS.filter(
  ({mechanism}) =>
    words.length === 0 || words.some(word => mechanism.includes(word)),
);
for (const mutation of chosen) {
  const isRed = proveRed(mutation);
  green += isRed ? 0 : 1;
  const verdict = isRed ? 'red  ' : 'GREEN';
  console.log(
    `${verdict} ${mutation.promise}: without "${mutation.mechanism}"`,
  );
}
console.log(`${chosen.length - green} red, ${green} green`);
process.exitCode = green === 0 ? 0 : 1;

/**
 * Runs the tests of a mutation on the mutated code, then restores the code.
 *
 * @returns True if the tests fail, as expected
 * @throws If the file does not contain the fragment to replace
 */
function proveRed({file, from, to, test}) {
  const original = readFileSync(file, 'utf8');
  if (!original.includes(from)) {
    throw new Error(`${file} no longer holds "${from}"; mend this list`);
  }
  writeFileSync(file, original.replace(from, to));
  try {
    const {status} = spawnSync(process.execPath, ['tools/run_tests.js', test], {
      timeout: TEST_TIMEOUT_MILLISECONDS,
      stdio: 'ignore',
    });
    return status !== 0;
  } finally {
    writeFileSync(file, original);
  }
}
