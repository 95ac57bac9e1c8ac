/**
 * Endpoints whose entries may be of an incarnation that has ended.
 */
import {
  isOfSameIncarnation,
  type EndpointEntry,
  type EndpointRegistry,
} from '@briarpin/coordination';

/**
 * Remembers the endpoints at whose address nothing listened. What answers there
 * later may be another incarnation, until an entry that was written after that is
 * known: the store may be away meanwhile.
 */
export class EndpointDoubts {
  /** Newest entries of endpoints when nothing listened, by identifier. */
  private readonly refused = new Map<string, EndpointEntry>();

  /**
   * @param endpoints - Newest entries
   */
  constructor(
    private readonly endpoints: Pick<
      EndpointRegistry,
      'find' | 'mayHaveOtherSoftware'
    >,
  ) {}

  /** Records that nothing listened at the address of an endpoint. */
  recordRefusal(endpoint: EndpointEntry): void {
    this.forgetGone();
    const current = this.endpoints.find(endpoint.id);
    if (current !== undefined && isOfSameIncarnation(current, endpoint)) {
      this.refused.set(endpoint.id, current);
    }
  }

  /**
   * Returns whether an endpoint that answers now may be a later incarnation than
   * its entry says.
   */
  isInDoubt(endpoint: EndpointEntry): boolean {
    if (this.endpoints.mayHaveOtherSoftware(endpoint)) {
      return true;
    }
    const refused = this.refused.get(endpoint.id);
    if (refused === undefined || !isOfSameIncarnation(refused, endpoint)) {
      return false;
    }
    const current = this.endpoints.find(endpoint.id) ?? endpoint;
    return (current.sequence ?? 0) <= (refused.sequence ?? 0);
  }

  private forgetGone(): void {
    for (const id of this.refused.keys()) {
      if (this.endpoints.find(id) === undefined) {
        this.refused.delete(id);
      }
    }
  }
}
