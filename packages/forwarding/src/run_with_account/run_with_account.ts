/**
 * Lifetime of the memory account of a request.
 */
import type {ServerResponse} from 'node:http';

import type {
  MemoryAccount,
  MemoryBudget,
} from '../memory_budget/memory_budget.js';

/**
 * Serves a request with an account that is closed once the request has been
 * served and its response has been sent or cannot be sent any more.
 *
 * @param budget - Memory of the gateway
 * @param response - Response to the caller
 * @param serve - Serves the request
 */
export async function runWithAccount(
  budget: MemoryBudget,
  response: ServerResponse,
  serve: (account: MemoryAccount) => Promise<void>,
): Promise<void> {
  const account = budget.openAccount();
  try {
    await serve(account);
  } finally {
    if (response.closed) {
      account.close();
    } else {
      response.once('close', () => account.close());
    }
  }
}
