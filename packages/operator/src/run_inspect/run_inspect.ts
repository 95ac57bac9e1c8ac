/**
 * Commands that call the administration service of instances.
 */
import {
  AdministrationClient,
  type HistogramsReply,
  type Member,
  type StatusReply,
} from '@briarpin/messages';
import {readMembers} from '@briarpin/platform';
import {Metadata, type ServiceError} from '@grpc/grpc-js';

import {
  EXIT_SUCCESS,
  EXIT_FAILURE,
  EXIT_USAGE_ERROR,
  print,
  printError,
  type CommandContext,
} from '../command.js';

const CALL_TIMEOUT_MILLISECONDS = 2_000;

type Callback<T> = (error: ServiceError | null, reply: T) => void;

/** Reply of an instance; undefined when the call failed. */
interface InstanceReply<T> {
  readonly member: Member;
  readonly reply: T | undefined;
}

/** Prints the status of every instance. */
export async function runStatus(context: CommandContext): Promise<number> {
  const replies = await callAllInstances<StatusReply>(
    context,
    (client, callback) =>
      void client.readStatus({}, new Metadata(), callOptions(), callback),
  );
  return printReplies(context, replies, ({member, reply}) => {
    const {instance, service, state} = member;
    const status =
      reply === undefined
        ? 'no answer'
        : `${reply.role} ready=${reply.ready} leaving=${reply.leaving} ` +
          `configuration=${reply.configurationVersion} ` +
          `running=${reply.running} waiting=${reply.waiting}`;
    print(`${instance} (${service}, listed ${state}): ${status}`);
  });
}

/** Prints the histograms of every instance. */
export async function runHistograms(context: CommandContext): Promise<number> {
  const replies = await callAllInstances<HistogramsReply>(
    context,
    (client, callback) =>
      void client.readHistograms({}, new Metadata(), callOptions(), callback),
  );
  return printReplies(context, replies, ({member, reply}) => {
    print(`${member.instance}${reply === undefined ? ': no answer' : ''}`);
    for (const summary of reply?.histograms ?? []) {
      print(
        `  ${summary.measure} organisation=${summary.organisation} ` +
          `class=${summary.requestClass} count=${summary.count} ` +
          `p50=${summary.p50} p95=${summary.p95} p99=${summary.p99} ` +
          `max=${summary.maximum}`,
      );
    }
  });
}

/** Prints replies as JSON, or each one as text. */
function printReplies<T>(
  context: CommandContext,
  replies: readonly InstanceReply<T>[] | undefined,
  printReply: (reply: InstanceReply<T>) => void,
): number {
  if (replies === undefined) {
    return EXIT_FAILURE;
  }
  if (context.json) {
    print(JSON.stringify(replies));
  } else {
    replies.forEach(printReply);
  }
  return EXIT_SUCCESS;
}

/**
 * Starts the graceful shutdown of an instance.
 *
 * @param context - Context of the command
 * @param instance - Name of the instance
 * @returns Exit status
 */
export async function runDrain(
  context: CommandContext,
  instance: string | undefined,
): Promise<number> {
  if (instance === undefined) {
    return EXIT_USAGE_ERROR;
  }
  const members = await listMembers(context);
  const member = members?.find(candidate => candidate.instance === instance);
  if (member === undefined) {
    printError(
      `${instance} is not in the membership list; run "briarpin status" to list the instances`,
    );
    return EXIT_FAILURE;
  }
  const {reply} = await callInstance<{running: number}>(
    member,
    context,
    (client, callback) =>
      void client.drain({}, new Metadata(), callOptions(), callback),
  );
  if (reply === undefined) {
    printError(`${instance} did not answer; it may be leaving already`);
    return EXIT_FAILURE;
  }
  print(`${instance} is leaving; ${reply.running} requests are finishing`);
  return EXIT_SUCCESS;
}

async function listMembers(
  context: CommandContext,
): Promise<readonly Member[] | undefined> {
  const members = await readMembers(context.platformUrl);
  if (members.isErr) {
    printError(`the membership list could not be read: ${members.error}`);
    return undefined;
  }
  return members.value;
}

async function callAllInstances<T>(
  context: CommandContext,
  call: (client: AdministrationClient, callback: Callback<T>) => void,
): Promise<readonly InstanceReply<T>[] | undefined> {
  const members = await listMembers(context);
  return (
    members &&
    Promise.all(members.map(member => callInstance(member, context, call)))
  );
}

function callInstance<T>(
  member: Member,
  context: CommandContext,
  call: (client: AdministrationClient, callback: Callback<T>) => void,
): Promise<InstanceReply<T>> {
  const client = new AdministrationClient(member.address, context.credentials);
  return new Promise(resolve => {
    call(client, (error, reply) => {
      client.close();
      resolve({member, reply: error === null ? reply : undefined});
    });
  });
}

function callOptions() {
  return {deadline: Date.now() + CALL_TIMEOUT_MILLISECONDS};
}
