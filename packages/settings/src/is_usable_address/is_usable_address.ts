/**
 * Check of addresses that other processes have written.
 */
import {isIPv4} from 'node:net';

import type {HostAndPort} from '../split_address/split_address.js';

const MAXIMUM_PORT = 65_535;

/**
 * Returns whether a connection to an address can be tried. With any other one,
 * functions of Node.js throw, or look a name up.
 *
 * @param address - Host and port
 * @returns True for an IPv4 address and a port from 1 to 65,535
 *
 * @example
 * isUsableAddress({host: '10.0.0.1', port: 80}); //=> true
 * isUsableAddress({host: '10.0.0.1', port: 70000}); //=> false
 */
export function isUsableAddress({host, port}: HostAndPort): boolean {
  return (
    isIPv4(host) && Number.isInteger(port) && port >= 1 && port <= MAXIMUM_PORT
  );
}
