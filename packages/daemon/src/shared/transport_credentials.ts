/**
 * Credentials and options of the gRPC connections between processes.
 */
import {readFileSync} from 'node:fs';

import {
  ChannelCredentials,
  ServerCredentials,
  type ChannelOptions,
} from '@grpc/grpc-js';

/** Paths of the PEM files for mutual TLS. */
export interface TlsFiles {
  readonly certificateAuthorityFile: string;
  readonly certificateFile: string;
  readonly keyFile: string;
}

const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

/** gRPC options of every channel and server. */
export const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.enable_retries': 0,
};

/**
 * Creates the credentials of a gRPC client.
 *
 * @param tls - Files for mutual TLS; absent for an unencrypted connection
 * @returns The credentials
 * @throws Error when a file cannot be read
 */
export function createChannelCredentials(
  tls: TlsFiles | undefined,
): ChannelCredentials {
  if (tls === undefined) {
    return ChannelCredentials.createInsecure();
  }
  return ChannelCredentials.createSsl(
    readFileSync(tls.certificateAuthorityFile),
    readFileSync(tls.keyFile),
    readFileSync(tls.certificateFile),
  );
}

/**
 * Creates the credentials of a gRPC server; with TLS, clients must present a
 * certificate.
 *
 * @param tls - Files for mutual TLS; absent for unencrypted connections
 * @returns The credentials
 * @throws Error when a file cannot be read
 */
export function createServerCredentials(
  tls: TlsFiles | undefined,
): ServerCredentials {
  if (tls === undefined) {
    return ServerCredentials.createInsecure();
  }
  const authority = readFileSync(tls.certificateAuthorityFile);
  const pair = {
    private_key: readFileSync(tls.keyFile),
    cert_chain: readFileSync(tls.certificateFile),
  };
  return ServerCredentials.createSsl(authority, [pair], true);
}
