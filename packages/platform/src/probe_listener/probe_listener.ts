/**
 * Finds out whether a process listens at an address.
 */
import net from 'node:net';

/** Time after which an address that does not respond is left undecided. */
const PROBE_TIMEOUT_MILLISECONDS = 400;

/** Address of a server. */
export interface ListenerAddress {
  readonly host: string;
  readonly port: number;
}

/** What a connection attempt shows about an address. */
export type ListenerState = 'listening' | 'not_listening' | 'undecided';

/**
 * Opens a connection to an address and closes it again.
 *
 * @param address - Host and port
 * @returns `not_listening` only when the host refused the connection; never
 *     rejected
 */
export function probeListener({
  host,
  port,
}: ListenerAddress): Promise<ListenerState> {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const settle = (state: ListenerState) => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(PROBE_TIMEOUT_MILLISECONDS, () => settle('undecided'));
    socket.once('connect', () => settle('listening'));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === 'ECONNREFUSED' ? 'not_listening' : 'undecided'),
    );
  });
}
