/**
 * Fleet of the demo, with models and a plain service for the workloads of both
 * user groups.
 */
import type {EngineStandInOptions} from '../engine/engine_stand_in.js';
import type {FleetPlan, Location} from '../fleet/fleet.js';

const ISHIKARI: Location = {availabilityZone: 'ishikari-a', region: 'ishikari'};
const KAMIKAWA: Location = {availabilityZone: 'kamikawa-a', region: 'kamikawa'};

const ENGINE: Omit<EngineStandInOptions, 'models'> = {
  memoryCapacityTokens: 20_000,
  stepMilliseconds: 5,
  checksFencing: true,
};

/** Three engines, one plain service, two gateways and four sidecars. */
export const DEMO_PLAN: FleetPlan = {
  organisations: [
    {name: 'sapporo-guild', key: 'key-sapporo-guild'},
    {name: 'asahikawa-guild', key: 'key-asahikawa-guild'},
    {name: 'empanadas-del-sur', key: 'key-empanadas-del-sur'},
    {name: 'choripan-norte', key: 'key-choripan-norte'},
  ],
  configuration: {
    'services.fabricpen': {kind: 'model', models: [{name: 'fabricpen'}]},
    'services.modelo': {kind: 'model', models: [{name: 'modelo'}]},
    'services.remnantdesk': {kind: 'plain'},
    'defaults.deadlineMilliseconds': 60_000,
    'exceptions.choripan-festival': {
      match: {organisation: 'choripan-norte'},
      set: {weight: 2},
      reason: 'allocation window of the January festival',
    },
  },
  gateways: [
    {instance: 'gateway-1', location: ISHIKARI},
    {instance: 'gateway-2', location: KAMIKAWA},
  ],
  engines: [
    {
      instance: 'fabricpen-1',
      service: 'fabricpen',
      location: ISHIKARI,
      options: {...ENGINE, models: ['fabricpen']},
    },
    {
      instance: 'fabricpen-2',
      service: 'fabricpen',
      location: KAMIKAWA,
      options: {...ENGINE, models: ['fabricpen']},
    },
    {
      instance: 'modelo-1',
      service: 'modelo',
      location: ISHIKARI,
      options: {...ENGINE, models: ['modelo']},
    },
  ],
  services: [
    {instance: 'remnantdesk-1', service: 'remnantdesk', location: ISHIKARI},
  ],
};
