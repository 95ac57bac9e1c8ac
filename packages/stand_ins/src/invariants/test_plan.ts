/**
 * Fleet plan and names shared by the tests that run real processes.
 */
import type {EngineStandInOptions} from '../engine/engine_stand_in.js';
import type {FleetPlan, Location} from '../fleet/fleet.js';

/** Location of every instance of a test. */
export const LOCATION: Location = {availabilityZone: 'cuyo-a', region: 'cuyo'};

/** API key of the first organisation. */
export const KEY = 'key-one';

/** API key of the second organisation. */
export const OTHER_KEY = 'key-two';

/** Model that every engine has loaded. */
export const MODEL = 'modelo';

/** Path of a call that is not idempotent. */
export const RESERVATION_PATH = '/services/plataforma/reservations';

/** Differences from the default test fleet. */
export interface TestPlanOptions {
  readonly engines?: number;
  readonly serviceSidecars?: number;
  readonly gateways?: number;
  readonly engineOptions?: Partial<EngineStandInOptions>;
  readonly configuration?: Readonly<Record<string, unknown>>;
  readonly sidecarSettings?: FleetPlan['sidecarSettings'];
  readonly gatewaySettings?: FleetPlan['gatewaySettings'];
  readonly nodeOptions?: FleetPlan['nodeOptions'];
}

/**
 * Creates a plan of two gateways and two engines, without plain services.
 *
 * @param options - Differences from this plan
 * @returns The plan
 */
export function createTestPlan(options: TestPlanOptions = {}): FleetPlan {
  const engine: EngineStandInOptions = {
    memoryCapacityTokens: 50_000,
    stepMilliseconds: 4,
    models: [MODEL],
    checksFencing: true,
    ...options.engineOptions,
  };
  return {
    organisations: [
      {name: 'one', key: KEY},
      {name: 'two', key: OTHER_KEY},
    ],
    configuration: {
      'services.modelo': {kind: 'model', models: [{name: MODEL}]},
      'services.plataforma': {kind: 'plain'},
      'defaults.deadlineMilliseconds': 30_000,
      ...options.configuration,
    },
    gateways: createNumberedNames('gateway', options.gateways ?? 2).map(
      instance => ({
        instance,
        location: LOCATION,
      }),
    ),
    engines: createNumberedNames('modelo', options.engines ?? 2).map(
      instance => ({
        instance,
        service: 'modelo',
        location: LOCATION,
        options: engine,
      }),
    ),
    services: createNumberedNames(
      'plataforma',
      options.serviceSidecars ?? 0,
    ).map(instance => ({instance, service: 'plataforma', location: LOCATION})),
    sidecarSettings: options.sidecarSettings,
    gatewaySettings: options.gatewaySettings,
    nodeOptions: options.nodeOptions,
  };
}

function createNumberedNames(name: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `${name}-${index + 1}`);
}
