/**
 * Reconciliation of the models that the engine of this sidecar has loaded.
 */
import {rankByRendezvous} from '@briarpin/coordination';
import {
  validateConfigurationService,
  type ConfigurationService,
  type EngineOrder,
} from '@briarpin/messages';

import type {EngineClient} from '../engine/engine_client.js';
import type {ProcessContext} from '../shared/process_context.js';
import type {ModelRunner} from './model_runner.js';

const RECONCILE_INTERVAL_MILLISECONDS = 1_000;
const REJECTION_BACKOFF_MILLISECONDS = 5_000;
/** Staleness of the configuration above which no order is sent. */
const MAXIMUM_STALENESS_MILLISECONDS = 3_000;

/**
 * Loads and unloads models of the engine as the configuration requires.
 *
 * Rendezvous hashing over the configuration and the membership list determines
 * the models of this endpoint, without coordination between sidecars. The
 * fencing number is the log offset of the configuration entry, so an engine
 * that checks it rejects orders that derive from an older configuration.
 */
export class ModelReconciler {
  private backoffUntil = 0;

  constructor(
    private readonly context: ProcessContext,
    private readonly service: string,
    private readonly engine: EngineClient,
    private readonly runner: ModelRunner,
  ) {}

  /** Reconciles periodically until the process ends. */
  async run(): Promise<void> {
    const {clock, signal, random} = this.context;
    while (!signal.aborted) {
      // Jitter spreads the loads, because the weight store limits their rate.
      await clock.sleep(
        RECONCILE_INTERVAL_MILLISECONDS * (0.5 + random()),
        signal,
      );
      if (clock.now() >= this.backoffUntil) {
        await this.reconcile();
      }
    }
  }

  private async reconcile(): Promise<void> {
    const order = this.findOrder();
    if (order === undefined) {
      return;
    }
    const response = await this.engine.sendOrder(order);
    const status = response.isOk ? response.value.status : 0;
    const {logger, clock, random} = this.context;
    logger.info('engine_order', {
      kind: order.kind,
      model: order.model,
      fencing_number: order.fencingNumber,
      status,
    });
    if (status !== 200) {
      const backoff = REJECTION_BACKOFF_MILLISECONDS * (0.5 + random());
      this.backoffUntil = clock.now() + backoff;
    }
  }

  private findOrder(): EngineOrder | undefined {
    const {replica} = this.context;
    const loadedModels = this.runner.engineLoad?.models;
    const entry = replica.table.find(`services.${this.service}`);
    const value = replica.table.get(`services.${this.service}`);
    if (loadedModels === undefined || entry === undefined) {
      return undefined;
    }
    // A process that was suspended may hold an outdated configuration.
    if (replica.stalenessMilliseconds > MAXIMUM_STALENESS_MILLISECONDS) {
      return undefined;
    }
    if (!validateConfigurationService(value)) {
      return undefined;
    }
    const desiredModels = this.findDesiredModels(value);
    const fencingNumber = entry.offset;
    const missing = desiredModels.find(model => !loadedModels.includes(model));
    if (missing !== undefined) {
      return {kind: 'load', model: missing, fencingNumber};
    }
    const excess = loadedModels.find(model => !desiredModels.includes(model));
    return excess === undefined
      ? undefined
      : {kind: 'unload', model: excess, fencingNumber};
  }

  private findDesiredModels(service: ConfigurationService): readonly string[] {
    const instances = this.context.membership
      .listLive(this.service)
      .map(member => member.instance);
    return (service.models ?? [])
      .filter(({name, endpoints}) => {
        const ranked = rankByRendezvous(instances, `models/${name}`);
        const chosen = ranked.slice(0, endpoints ?? ranked.length);
        return (
          endpoints === undefined || chosen.includes(this.context.instance)
        );
      })
      .map(({name}) => name);
  }
}
