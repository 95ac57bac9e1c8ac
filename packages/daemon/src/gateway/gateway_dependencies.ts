/**
 * What the handlers of a gateway share.
 */
import type {ProcessContext} from '../shared/process_context.js';
import type {AccessDirectory} from './access_directory.js';
import type {EndpointDirectory} from './endpoint_directory.js';
import type {SessionLimits} from './generation_session.js';
import type {PrefixHints} from './prefix_hints.js';

/** Parts of a gateway; built by the module that starts it. */
export interface GatewayDependencies {
  readonly context: ProcessContext;
  readonly accessDirectory: AccessDirectory;
  readonly endpointDirectory: EndpointDirectory;
  readonly limits: SessionLimits;
  readonly prefixHints: PrefixHints;
  readonly maximumBodyBytes: number;
}
