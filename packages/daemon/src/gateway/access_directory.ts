/**
 * Lookup of organisations, services and models in the current configuration.
 */
import type {ConfigurationTable} from '@briarpin/coordination';
import {
  validateConfigurationOrganisation,
  validateConfigurationService,
} from '@briarpin/messages';
import {createHash} from 'node:crypto';

import {isSameDigest} from '../shared/is_same_digest.js';

const ORGANISATIONS_PREFIX = 'organisations.';
const SERVICES_PREFIX = 'services.';
const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/**
 * Maps keys to organisations and models to services.
 */
export class AccessDirectory {
  private organisationByDigest = new Map<string, string>();
  private serviceByModel = new Map<string, string>();
  private plainServices = new Set<string>();

  /**
   * Rebuilds the lookup tables from a configuration.
   *
   * Entries that do not match their schema are skipped.
   */
  update(table: ConfigurationTable): void {
    this.organisationByDigest = new Map();
    for (const entry of table.list(ORGANISATIONS_PREFIX)) {
      const value: unknown = JSON.parse(entry.valueJson);
      if (validateConfigurationOrganisation(value)) {
        const name = entry.key.slice(ORGANISATIONS_PREFIX.length);
        value.keySha256.forEach(digest =>
          this.organisationByDigest.set(digest, name),
        );
      }
    }
    this.updateServices(table);
  }

  /**
   * Finds the organisation whose key a request carries.
   *
   * @param authorization - Value of the Authorization header
   * @returns Name of the organisation; undefined when the key is absent or
   *     unknown
   */
  findOrganisation(authorization: string | undefined): string | undefined {
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (key === undefined) {
      return undefined;
    }
    const digest = createHash('sha256').update(key).digest();
    for (const [digestHex, organisation] of this.findCandidates(digest)) {
      if (isSameDigest(Buffer.from(digestHex, 'hex'), digest)) {
        return organisation;
      }
    }
    return undefined;
  }

  /** Finds the service whose engines serve a model. */
  findModelService(model: string): string | undefined {
    return this.serviceByModel.get(model);
  }

  /** Returns true when a plain service with this name is configured. */
  isPlainService(service: string): boolean {
    return this.plainServices.has(service);
  }

  private findCandidates(
    digest: Buffer,
  ): readonly (readonly [string, string])[] {
    const digestHex = digest.toString('hex');
    const organisation = this.organisationByDigest.get(digestHex);
    return organisation === undefined ? [] : [[digestHex, organisation]];
  }

  private updateServices(table: ConfigurationTable): void {
    this.serviceByModel = new Map();
    this.plainServices = new Set();
    for (const entry of table.list(SERVICES_PREFIX)) {
      const value: unknown = JSON.parse(entry.valueJson);
      if (!validateConfigurationService(value)) {
        continue;
      }
      const name = entry.key.slice(SERVICES_PREFIX.length);
      if (value.kind === 'plain') {
        this.plainServices.add(name);
      }
      for (const model of value.models ?? []) {
        this.serviceByModel.set(model.name, name);
      }
    }
  }
}
