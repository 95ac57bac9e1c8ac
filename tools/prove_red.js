/**
 * Shows that each promise's test is red without its mechanism.
 *
 * Takes one mechanism at a time out of the compiled code, runs the tests that
 * should notice, and puts it back. Exits 1 when a test stays green. Arguments
 * narrow the mechanisms to those whose description contains one of them.
 */
import {spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';

const TEST_TIMEOUT_MILLISECONDS = 60_000;

/** What is taken out, and which test should notice. */
const MUTATIONS = [
  {
    promise: 'tokens once, in order, one generation',
    mechanism: 'tokens already held are dropped',
    file: 'packages/daemon/dist/sidecar/generation.js',
    from: 'texts.slice(Math.max(0, this.tokenCount - firstIndex))',
    to: 'texts.slice()',
    test: 'sidecar/generation',
  },
  {
    promise: 'tokens once, in order, one generation',
    mechanism: 'a broken engine stream is continued',
    file: 'packages/daemon/dist/sidecar/model_runner.js',
    from: "while (end.kind === 'broken' &&",
    to: 'while (false &&',
    test: 'invariants/tokens_once',
  },
  {
    promise: 'tokens once, in order, one generation',
    mechanism: 'a delivered generation is continued, not started anew',
    file: 'packages/daemon/dist/gateway/generation_session.js',
    from: "if (end.kind === 'broken' && isDelivered) {",
    to: 'if (false) {',
    test: 'invariants/tokens_once',
  },
  {
    promise: 'the whole answer to its own request',
    mechanism: 'a stream that failed does not look finished',
    file: 'packages/daemon/dist/gateway/completion_writer.js',
    from: '`event: error\\ndata: ${formatErrorBody(error)}\\n\\n`',
    to: 'LAST_EVENT',
    test: 'invariants/whole_answers',
  },
  {
    promise: '"not run" is true',
    mechanism: 'one attempt that may have run makes the outcome unknown',
    file: 'packages/daemon/dist/gateway/generation_session.js',
    from: 'this.isOnlyNotRun ? Outcome.NOT_RUN : Outcome.UNKNOWN',
    to: 'Outcome.NOT_RUN',
    test: 'invariants/not_run',
  },
  {
    promise: 'at most once',
    mechanism: 'a claim before the call is sent',
    file: 'packages/daemon/dist/sidecar/service_runner.js',
    from: 'return call.idempotent',
    to: 'return true',
    test: 'invariants/at_most_once',
  },
  {
    promise: 'at most once',
    mechanism: 'the lowest offset holds the key',
    file: 'packages/coordination/dist/claim_table/claim_table.js',
    from: 'if (holder !== undefined) {',
    to: 'if (false) {',
    test: 'claim_table',
  },
  {
    promise: 'at most once',
    mechanism: 'an abandoned attempt never holds a key again',
    file: 'packages/coordination/dist/claim_table/claim_table.js',
    from: 'if (this.abandoned.has(entry.attempt)) {',
    to: 'if (false) {',
    test: 'claim_table',
  },
  {
    promise: 'leaving and graceful shutdown',
    mechanism: 'the process ends when every stream has been read',
    file: 'packages/daemon/dist/sidecar/sidecar.js',
    from: 'await context.clock.sleep(DRAIN_POLL_MILLISECONDS);',
    to: 'server.forceShutdown(); break;',
    test: 'invariants/leaving',
  },
  {
    promise: 'leaving and graceful shutdown',
    mechanism: 'a replacement under the same name is not leaving',
    file: 'packages/coordination/dist/membership_view/membership_view.js',
    from: '?.address !== address',
    to: '=== undefined',
    test: 'membership_view',
  },
  {
    promise: 'configuration',
    mechanism: 'a change based on an older value is rejected',
    file: 'packages/coordination/dist/configuration_table/configuration_table.js',
    from: "change.baseOffset === current.offset ? 'accepted' : 'conflict'",
    to: "'accepted'",
    test: 'configuration_table',
  },
  {
    promise: 'configuration',
    mechanism: 'the larger offset of a key wins',
    file: 'packages/coordination/dist/configuration_table/configuration_table.js',
    from: 'current.offset < entry.offset',
    to: 'true',
    test: 'configuration_table',
  },
  {
    promise: 'configuration',
    mechanism: 'a restatement must reach back to the earliest record',
    file: 'packages/coordination/dist/configuration_replica/configuration_replica.js',
    from: 'restatement.through < this.earliest - 1',
    to: 'false',
    test: 'configuration_replica',
  },
  {
    promise: 'configuration',
    mechanism: 'news age from a read of the log',
    file: 'packages/coordination/dist/configuration_replica/configuration_replica.js',
    from: 'this.options.clock.now() - ageMilliseconds',
    to: 'this.options.clock.now()',
    test: 'configuration_replica',
  },
  {
    promise: 'orders with fencing numbers',
    mechanism: 'the offset of the configuration as fencing number',
    file: 'packages/daemon/dist/sidecar/order_keeper.js',
    from: 'const fencingNumber = entry.offset;',
    to: 'const fencingNumber = 1;',
    test: 'invariants/orders',
  },
  {
    promise: 'a crashing request',
    mechanism: 'a suspect runs alone',
    file: 'packages/scheduling/dist/decide_quarantine/decide_quarantine.js',
    from: "return deaths > 0 ? 'run_alone' : 'run';",
    to: "return 'run';",
    test: 'engine_scheduler',
  },
  {
    promise: 'a crashing request',
    mechanism: 'refusal after two deaths',
    file: 'packages/scheduling/dist/decide_quarantine/decide_quarantine.js',
    from: "return 'refuse';",
    to: "return 'run_alone';",
    test: 'invariants/crashing_request',
  },
  {
    promise: 'retries of all gateways together',
    mechanism: 'a process that starts holds no retries',
    file: 'packages/forwarding/dist/retry_budgets/retry_budgets.js',
    from: 'isKnown && needed <= slack * RESERVED_SHARE ? RESERVED_RETRIES : 0',
    to: 'slack / 3',
    test: 'soak/retry_limit',
  },
  {
    promise: 'retries of all gateways together',
    mechanism: 'a reserve only after a whole window',
    file: 'packages/forwarding/dist/retry_budgets/retry_budgets.js',
    from: 'isKnown && needed',
    to: 'needed',
    test: 'forwarding/dist/retry_budgets',
  },
  {
    promise: 'retries of all gateways together',
    mechanism: 'retries are counted in their window',
    file: 'packages/scheduling/dist/windowed_retry_budget/windowed_retry_budget.js',
    from: 'allowed - this.retries.count(now)',
    to: 'allowed',
    test: 'soak/retry_limit',
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

/** Runs a test without a mechanism; true when it fails. */
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
