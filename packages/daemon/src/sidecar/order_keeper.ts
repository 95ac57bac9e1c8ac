/**
 * Orders to the engine beside this sidecar.
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

const INTERVAL_MILLISECONDS = 1_000;
const REFUSED_BACKOFF_MILLISECONDS = 5_000;
/** Age of news above which the configuration is not acted on. */
const NEWS_LIMIT_MILLISECONDS = 3_000;

/**
 * Keeps the engine's models as the configuration wants them.
 *
 * What this endpoint should hold follows from the configuration and the
 * membership list by rendezvous, without agreement. The fencing number is the
 * offset that set the configuration, so an engine that checks refuses what an
 * older one would undo.
 */
export class OrderKeeper {
  private backoffUntil = 0;

  constructor(
    private readonly context: ProcessContext,
    private readonly service: string,
    private readonly engine: EngineClient,
    private readonly runner: ModelRunner,
  ) {}

  /** Compares and orders until the process ends. */
  async run(): Promise<void> {
    const {clock, signal, random} = this.context;
    while (!signal.aborted) {
      // Spread in time: the weight store limits the rate of loads.
      await clock.sleep(INTERVAL_MILLISECONDS * (0.5 + random()), signal);
      if (clock.now() >= this.backoffUntil) {
        await this.orderOnce();
      }
    }
  }

  private async orderOnce(): Promise<void> {
    const order = this.findOrder();
    if (order === undefined) {
      return;
    }
    const answer = await this.engine.order(order);
    const status = answer.isOk ? answer.value.status : 0;
    const {logger, clock, random} = this.context;
    logger.info('engine_order', {
      kind: order.kind,
      model: order.model,
      fencing_number: order.fencingNumber,
      status,
    });
    if (status !== 200) {
      const pause = REFUSED_BACKOFF_MILLISECONDS * (0.5 + random());
      this.backoffUntil = clock.now() + pause;
    }
  }

  private findOrder(): EngineOrder | undefined {
    const {replica} = this.context;
    const held = this.runner.engineLoad?.models;
    const entry = replica.table.find(`services.${this.service}`);
    const value = replica.table.get(`services.${this.service}`);
    if (held === undefined || entry === undefined) {
      return undefined;
    }
    // A process that was paused may hold a configuration of long ago.
    if (replica.stalenessMilliseconds > NEWS_LIMIT_MILLISECONDS) {
      return undefined;
    }
    if (!validateConfigurationService(value)) {
      return undefined;
    }
    const wanted = this.findWanted(value);
    const fencingNumber = entry.offset;
    const missing = wanted.find(model => !held.includes(model));
    if (missing !== undefined) {
      return {kind: 'load', model: missing, fencingNumber};
    }
    const surplus = held.find(model => !wanted.includes(model));
    return surplus === undefined
      ? undefined
      : {kind: 'unload', model: surplus, fencingNumber};
  }

  private findWanted(service: ConfigurationService): readonly string[] {
    const names = this.context.membership
      .listLive(this.service)
      .map(member => member.instance);
    return (service.models ?? [])
      .filter(({name, endpoints}) => {
        const ranked = rankByRendezvous(names, `models/${name}`);
        const chosen = ranked.slice(0, endpoints ?? ranked.length);
        return (
          endpoints === undefined || chosen.includes(this.context.instance)
        );
      })
      .map(({name}) => name);
  }
}
