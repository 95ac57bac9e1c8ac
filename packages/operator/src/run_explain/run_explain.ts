/**
 * `briarpin explain REQUEST_ID [FILE]`: explains the outcome of a request.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

import {EXIT_SUCCESS, EXIT_FAILURE, print, printError} from '../command.js';
import {explainRequest} from '../explain_request/explain_request.js';

/**
 * Prints the timeline of a request and the cause of its outcome.
 *
 * @param requestId - Request id
 * @param file - Path of the log of any instances; standard input when absent
 * @param json - True to print JSON
 * @returns Exit status
 */
export async function runExplain(
  requestId: string,
  file: string | undefined,
  json: boolean,
): Promise<number> {
  const lines: string[] = [];
  try {
    const input = file === undefined ? process.stdin : createReadStream(file);
    for await (const line of createInterface({input})) {
      lines.push(line);
    }
  } catch (error) {
    printError(
      `${(error as Error).message}; specify a log file that can be read`,
    );
    return EXIT_FAILURE;
  }
  const explanation = explainRequest(lines, requestId);
  if (explanation === undefined) {
    printError(
      `no line contains the request id ${requestId}; pass the logs of all gateways`,
    );
    return EXIT_FAILURE;
  }
  if (json) {
    print(JSON.stringify(explanation));
    return EXIT_SUCCESS;
  }
  explanation.steps.forEach(({time, instance, text}) =>
    print(`${time}  ${instance}  ${text}`),
  );
  print(`cause: ${explanation.cause}`);
  return EXIT_SUCCESS;
}
