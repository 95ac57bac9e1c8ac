/**
 * Parser of addresses of the form host:port.
 */

/** Host and port of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address at its last colon into host and port.
 *
 * @param address - Address of the form host:port, already validated by a schema
 * @returns Host and port
 *
 * @example
 * splitAddress('127.0.0.1:8080'); //=> {host: '127.0.0.1', port: 8080}
 */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
