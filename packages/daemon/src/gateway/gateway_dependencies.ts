/**
 * Objects that the request handlers of a gateway share.
 */
import type {ProcessContext} from '../shared/process_context.js';
import type {AccessDirectory} from './access_directory.js';
import type {EndpointDirectory} from './endpoint_directory.js';
import type {SessionLimits} from './generation_session.js';
import type {PrefixHints} from './prefix_hints.js';

/** Dependencies of request handlers, created when the gateway starts. */
export interface GatewayDependencies {
  readonly context: ProcessContext;
  readonly accessDirectory: AccessDirectory;
  readonly endpointDirectory: EndpointDirectory;
  readonly limits: SessionLimits;
  readonly prefixHints: PrefixHints;
  /** Maximum size of a request body, in bytes. */
  readonly maximumBodyBytes: number;
}
