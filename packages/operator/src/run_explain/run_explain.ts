/**
 * briarpin explain REQUEST_ID [FILE].
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

import {EXIT_DONE, EXIT_REFUSED, print, printError} from '../command.js';
import {explainRequest} from '../explain_request/explain_request.js';

/**
 * Explains a request from a log file or standard input.
 *
 * @param requestId - The request
 * @param file - Log of any instances; standard input when absent
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
    printError(`${(error as Error).message}; name a log that can be read`);
    return EXIT_REFUSED;
  }
  const explanation = explainRequest(lines, requestId);
  if (explanation === undefined) {
    printError(`no line names ${requestId}; give the logs of all gateways`);
    return EXIT_REFUSED;
  }
  if (json) {
    print(JSON.stringify(explanation));
    return EXIT_DONE;
  }
  explanation.steps.forEach(({time, instance, text}) =>
    print(`${time}  ${instance}  ${text}`),
  );
  print(`cause: ${explanation.cause}`);
  return EXIT_DONE;
}
