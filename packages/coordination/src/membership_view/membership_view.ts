/**
 * Membership list combined with the leave reports of instances.
 */
import type {Member, MemberList} from '@briarpin/messages';

/**
 * Last membership list read, combined with later reports from instances.
 *
 * The list may be stale. An instance that has reported that it is leaving is
 * treated as leaving until it reports otherwise, or until the list drops it or
 * shows another address, where a replacement has started under the same name.
 */
export class MembershipView {
  private members: MemberList = [];
  private byInstance = new Map<string, Member>();
  /** Address from which each leaving instance has reported, by instance. */
  private readonly reportedLeaving = new Map<string, string>();

  /** All members of the last list. */
  get all(): MemberList {
    return this.members;
  }

  /**
   * Replaces the list and drops the reports that no longer match it.
   *
   * @param members - New membership list
   */
  update(members: MemberList): void {
    this.members = members;
    this.byInstance = new Map(members.map(member => [member.instance, member]));
    for (const [instance, address] of this.reportedLeaving) {
      if (this.byInstance.get(instance)?.address !== address) {
        this.reportedLeaving.delete(instance);
      }
    }
  }

  /**
   * Records whether an instance has reported that it is leaving.
   *
   * @param member - The instance, with the address that sent the report
   * @param leaving - Latest report of the instance
   */
  recordLeaving(member: Member, leaving: boolean): void {
    const {instance, address} = member;
    if (leaving) {
      this.reportedLeaving.set(instance, address);
    } else {
      this.reportedLeaving.delete(instance);
    }
  }

  /**
   * Lists the members of a service that may receive new work.
   *
   * @param service - Name of the service
   * @returns Live members
   */
  listLive(service: string): readonly Member[] {
    return this.members.filter(
      member => member.service === service && this.isLive(member.instance),
    );
  }

  /** Returns whether an instance may receive new work. */
  isLive(instance: string): boolean {
    const isListed = this.byInstance.get(instance)?.state === 'live';
    return isListed && !this.reportedLeaving.has(instance);
  }

  /** Finds a member in any state. */
  find(instance: string): Member | undefined {
    return this.byInstance.get(instance);
  }
}
