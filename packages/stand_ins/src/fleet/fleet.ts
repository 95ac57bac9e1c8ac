/**
 * Small fleet for tests and the demo: stand-ins run in this process, daemons
 * as child processes.
 */
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import type {Member} from '@briarpin/messages';
import type {GatewaySettings, SidecarSettings} from '@briarpin/settings';

import {
  EngineStandIn,
  type EngineStandInOptions,
} from '../engine/engine_stand_in.js';
import {PlainServiceStandIn} from '../plain_service/plain_service_stand_in.js';
import {PlatformStandIn} from '../platform/platform_stand_in.js';
import {DaemonProcess} from './daemon_process.js';

const LOOPBACK_ANY_PORT = '127.0.0.1:0';
const GATEWAY_SERVICE = 'gateway';

/** Availability zone and region of an instance. */
export interface Location {
  readonly availabilityZone: string;
  readonly region: string;
}

/** Organisation and its API key. */
export interface FleetOrganisation {
  readonly name: string;
  readonly key: string;
}

/** Composition of a fleet. */
export interface FleetPlan {
  readonly organisations: readonly FleetOrganisation[];
  /** Initial values of the configuration stream, by key. */
  readonly configuration: Readonly<Record<string, unknown>>;
  readonly gateways: readonly {instance: string; location: Location}[];
  readonly engines: readonly {
    readonly instance: string;
    readonly service: string;
    readonly location: Location;
    readonly options: EngineStandInOptions;
  }[];
  /** Sidecars of plain services; those of one service share its endpoint. */
  readonly services: readonly {
    readonly instance: string;
    readonly service: string;
    readonly location: Location;
  }[];
  readonly gatewaySettings?: Partial<GatewaySettings>;
  readonly sidecarSettings?: Partial<SidecarSettings>;
  /** True to copy the logs of the daemons to standard error. */
  readonly echo?: boolean;
  /** Options of Node.js for the daemons. */
  readonly nodeOptions?: readonly string[];
}

/** Running gateway and its base URL. */
export interface FleetGateway {
  readonly process: DaemonProcess;
  readonly url: string;
}

/** Polling intervals short enough for a fleet on one machine. */
const SHORT_INTERVAL_SETTINGS = {
  membershipPollMilliseconds: 100,
  logLongPollMilliseconds: 500,
};

/** Running fleet. */
export class Fleet {
  readonly platform = new PlatformStandIn();
  readonly engines = new Map<string, EngineStandIn>();
  readonly services = new Map<string, PlainServiceStandIn>();
  readonly gateways = new Map<string, FleetGateway>();
  readonly sidecars = new Map<string, DaemonProcess>();
  private readonly members = new Map<string, Member>();
  private readonly endpointUrls = new Map<string, string>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'briarpin-'));
  private platformUrl = '';

  private constructor(private readonly plan: FleetPlan) {}

  /**
   * Starts a fleet and waits until each gateway has the configuration and is
   * connected to every endpoint.
   */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = new Fleet(plan);
    await fleet.startAll();
    return fleet;
  }

  /** Base URL of the platform. */
  get platformAddress(): string {
    return this.platformUrl;
  }

  /** Base URLs of the gateways. */
  get gatewayUrls(): readonly string[] {
    return [...this.gateways.values()].map(({url}) => url);
  }

  /** Returns the base URL of a sidecar's endpoint; empty when it has none. */
  endpointUrl(instance: string): string {
    return this.endpointUrls.get(instance) ?? '';
  }

  /** Returns a gateway; throws when the fleet has none of this name. */
  gateway(instance: string): FleetGateway {
    return requireValue(this.gateways.get(instance), instance);
  }

  /** Returns a sidecar; throws when the fleet has none of this name. */
  sidecar(instance: string): DaemonProcess {
    return requireValue(this.sidecars.get(instance), instance);
  }

  /** Returns an engine; throws when the fleet has none of this name. */
  engine(instance: string): EngineStandIn {
    return requireValue(this.engines.get(instance), instance);
  }

  /** Returns a plain service; throws when the fleet has none of this name. */
  service(name: string): PlainServiceStandIn {
    return requireValue(this.services.get(name), name);
  }

  /**
   * Appends a configuration change, as the operator's command does.
   *
   * @returns Offset of the change
   */
  configure(key: string, value: unknown): number {
    const records = this.platform.records('configuration');
    const offset = (records.at(-1)?.offset ?? 0) + 1;
    const bases = records.filter(
      record => (record.value as {key?: string}).key === key,
    );
    const baseOffset = bases.at(-1)?.offset ?? 0;
    const changeId = `fleet-${offset}`;
    return this.platform.append('configuration', {
      kind: 'change',
      changeId,
      key,
      value,
      baseOffset,
    });
  }

  /** Sets an instance's state in the membership list; `gone` removes it. */
  setMemberState(instance: string, state: Member['state'] | 'gone'): void {
    const member = this.members.get(instance);
    if (member === undefined || state === 'gone') {
      this.members.delete(instance);
    } else {
      this.members.set(instance, {...member, state});
    }
    this.publishMembers();
  }

  /**
   * Starts a new sidecar process for the same instance and endpoint. The
   * previous process is not stopped.
   */
  async restartSidecar(instance: string): Promise<DaemonProcess> {
    const engine = this.plan.engines.find(entry => entry.instance === instance);
    const service = this.plan.services.find(
      entry => entry.instance === instance,
    );
    const entry = requireValue(engine ?? service, instance);
    const kind = engine === undefined ? 'plain' : 'model';
    return this.startSidecar(instance, entry.service, entry.location, kind);
  }

  /** Starts an additional gateway and adds it to the membership list. */
  async startGateway(
    instance: string,
    location: Location,
  ): Promise<FleetGateway> {
    const settings: GatewaySettings = {
      instance,
      ...location,
      listenAddress: LOOPBACK_ANY_PORT,
      internalAddress: LOOPBACK_ANY_PORT,
      platformUrl: this.platformUrl,
      ...SHORT_INTERVAL_SETTINGS,
      ...this.plan.gatewaySettings,
    };
    const daemon = this.startDaemon(instance, 'gateway', settings);
    const started = await daemon.waitFor('started');
    const gateway: FleetGateway = {
      process: daemon,
      url: `http://127.0.0.1:${started['callers_port']}`,
    };
    this.gateways.set(instance, gateway);
    this.addMember(
      instance,
      GATEWAY_SERVICE,
      location,
      started['internal_port'],
    );
    return gateway;
  }

  /** Waits until a gateway is connected to the given endpoints. */
  async waitForEndpoints(
    gateway: FleetGateway,
    instances: readonly string[],
  ): Promise<void> {
    for (const instance of instances) {
      await gateway.process.waitFor(
        'endpoint_connected',
        fields => fields['endpoint'] === instance,
      );
    }
  }

  /** Kills every daemon, suspended ones too, and stops the stand-ins. */
  async stop(): Promise<void> {
    const daemons = [
      ...[...this.gateways.values()].map(({process: daemon}) => daemon),
      ...this.sidecars.values(),
    ];
    for (const daemon of daemons) {
      daemon.signal('SIGCONT');
      daemon.signal('SIGKILL');
    }
    await Promise.all(daemons.map(daemon => daemon.exited));
    for (const endpoint of [
      ...this.engines.values(),
      ...this.services.values(),
    ]) {
      await endpoint.stop();
    }
    await this.platform.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async startAll(): Promise<void> {
    this.platformUrl = await this.platform.start();
    for (const {name, key} of this.plan.organisations) {
      const keySha256 = [createHash('sha256').update(key).digest('hex')];
      this.configure(`organisations.${name}`, {keySha256});
    }
    for (const [key, value] of Object.entries(this.plan.configuration)) {
      this.configure(key, value);
    }
    await this.startEndpoints();
    const {gateways} = this.plan;
    await Promise.all(
      gateways.map(({instance, location}) =>
        this.startGateway(instance, location),
      ),
    );
    const instances = [...this.sidecars.keys()];
    for (const gateway of this.gateways.values()) {
      await this.waitForEndpoints(gateway, instances);
      await gateway.process.waitFor('configuration');
    }
  }

  private async startEndpoints(): Promise<void> {
    for (const {instance, options} of this.plan.engines) {
      const engine = new EngineStandIn(options);
      this.endpointUrls.set(instance, await engine.start());
      this.engines.set(instance, engine);
    }
    for (const {instance, service} of this.plan.services) {
      const endpoint = this.services.get(service) ?? new PlainServiceStandIn();
      if (!this.services.has(service)) {
        this.services.set(service, endpoint);
        this.endpointUrls.set(service, await endpoint.start());
      }
      this.endpointUrls.set(instance, this.endpointUrl(service));
    }
    const {engines, services} = this.plan;
    await Promise.all([
      ...engines.map(({instance, service, location}) =>
        this.startSidecar(instance, service, location, 'model'),
      ),
      ...services.map(({instance, service, location}) =>
        this.startSidecar(instance, service, location, 'plain'),
      ),
    ]);
  }

  private async startSidecar(
    instance: string,
    service: string,
    location: Location,
    endpointKind: 'model' | 'plain',
  ): Promise<DaemonProcess> {
    const settings: SidecarSettings = {
      instance,
      ...location,
      service,
      endpointKind,
      endpointUrl: this.endpointUrl(instance),
      internalAddress: LOOPBACK_ANY_PORT,
      platformUrl: this.platformUrl,
      loadReportMilliseconds: 50,
      ...SHORT_INTERVAL_SETTINGS,
      ...this.plan.sidecarSettings,
    };
    const daemon = this.startDaemon(instance, 'sidecar', settings);
    const started = await daemon.waitFor('started');
    this.sidecars.set(instance, daemon);
    this.addMember(instance, service, location, started['internal_port']);
    return daemon;
  }

  private startDaemon(
    instance: string,
    role: 'gateway' | 'sidecar',
    settings: GatewaySettings | SidecarSettings,
  ): DaemonProcess {
    const file = join(this.folder, `${instance}.jsonc`);
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    const {echo, nodeOptions} = this.plan;
    return new DaemonProcess(instance, role, file, echo, nodeOptions);
  }

  private addMember(
    instance: string,
    service: string,
    location: Location,
    port: string | undefined,
  ): void {
    const address = `127.0.0.1:${port}`;
    const state = 'live';
    this.members.set(instance, {
      instance,
      service,
      address,
      ...location,
      state,
    });
    this.publishMembers();
  }

  private publishMembers(): void {
    this.platform.setMembers([...this.members.values()]);
  }
}

function requireValue<T>(value: T | undefined, name: string): T {
  if (value === undefined) {
    throw new Error(`fleet has no instance or service named ${name}`);
  }
  return value;
}
