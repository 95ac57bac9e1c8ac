/**
 * Tells the quarantine how an endpoint ended.
 */
import type {EndpointEntry, LeavingReason} from '@briarpin/coordination';
import type {ForwardingContext} from '@briarpin/forwarding';

/**
 * Records how an endpoint ended. A peer's report does not tell whether there was
 * a notice.
 */
export function recordEndpointEnd(
  quarantine: ForwardingContext['quarantine'],
  entry: EndpointEntry,
  reason: LeavingReason,
): void {
  if (reason === 'draining' || reason === 'told_by_endpoint') {
    quarantine.recordShutdown(entry);
  } else if (reason !== 'told_by_peer') {
    quarantine.recordCrash(entry);
  }
}
