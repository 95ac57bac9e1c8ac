/**
 * A gateway is cut off from the store for nine seconds, while a key is taken away
 * and the configuration changes often. When it is back, it accepts the key.
 */
import {
  createConfiguration,
  createRoute,
  runCase,
  sleep,
} from '../stand_ins/deployment.mjs';
import {Proxy} from '../stand_ins/proxy.mjs';

/** One of four machines is cut off for 9 s: less than the share of 0.35. */
const GATEWAYS = 4;
const CUT_MILLISECONDS = 9_000;
/** Two times `big_config` with 350 routes. */
const MORE_ROUTES = 700;
/** `config_storm`, once: 4 s, every 0.33 s. */
const STORM_VERSIONS = 12;
const STORM_INTERVAL_MILLISECONDS = 330;
const REVOKE_MILLISECONDS = 5_000;
const REQUEST_INTERVAL_MILLISECONDS = 15;

const KEPT = {Name: 'quilters', ApiKeys: ['key-1'], Priority: 1};
const BOTH = {...KEPT, ApiKeys: ['key-1', 'key-2']};
const BASE = createConfiguration();
const ROUTES = [
  ...BASE.Routes,
  ...Array.from({length: MORE_ROUTES}, (_, index) =>
    createRoute(`more-${index}`, {
      Type: 'idempotent',
      Service: 'desk',
      MaxAttempts: 2,
      Sticky: false,
      Resumable: false,
    }),
  ),
];

let version = BASE.Version;

await runCase(
  import.meta.url,
  {...BASE, Routes: ROUTES, Tenants: [BOTH]},
  async (deployment, hasTrouble) => {
    for (const id of ['desk-1', 'desk-2', 'desk-3']) {
      await deployment.startServer({id, service: 'desk'});
    }
    const proxy = new Proxy(deployment.storePort);
    const port = await proxy.listen();
    const gateway = await deployment.startGateway('front-1', port);
    for (let index = 2; index <= GATEWAYS; index += 1) {
      await deployment.startGateway(`front-${index}`);
    }
    await sleep(5_000);
    if (hasTrouble) {
      deployment.record('front-1 is cut off from the store');
      proxy.cut();
    }
    const healsAt = deployment.now() + CUT_MILLISECONDS;
    let tenants = [BOTH];
    let revokedAt;
    for (let index = 0; index < STORM_VERSIONS; index += 1) {
      if (index === 8) {
        tenants = [KEPT];
      }
      writeConfiguration(deployment, tenants);
      if (index === 8) {
        revokedAt = deployment.now();
        deployment.record('store: key-2 is taken away');
      }
      await sleep(STORM_INTERVAL_MILLISECONDS);
    }
    await sleep(Math.max(0, healsAt - deployment.now()));
    proxy.heal();
    deployment.record('front-1 reaches the store again');
    const answers = await sendWithKey(deployment, gateway);
    const ran = new Set(
      [...deployment.servers.values()].flatMap(({runs}) =>
        runs.map(({id}) => id),
      ),
    );
    const late = answers.filter(
      ({id, sentAt}) => ran.has(id) && sentAt > revokedAt + REVOKE_MILLISECONDS,
    );
    for (const {id, sentAt, status} of late) {
      const seconds = ((sentAt - revokedAt) / 1_000).toFixed(3);
      deployment.record(
        `${id}, sent with key-2 ${seconds} s after it was taken away, ran and ` +
          `ended with ${status}`,
      );
    }
    deployment.record(
      `${answers.length} requests with key-2: ${late.length} ran`,
    );
    return late.length === 0;
  },
);

/** Writes the next version: one route gets another time-out. */
function writeConfiguration(deployment, tenants) {
  version += 3;
  const [first, ...rest] = ROUTES;
  deployment.store.put('keyed.op', 'config', {
    ...BASE,
    Version: version,
    Routes: [{...first, TimeoutMs: 1_000 + version}, ...rest],
    Tenants: tenants,
  });
}

/** Sends requests with the key that was taken away, for four seconds. */
async function sendWithKey(deployment, gateway) {
  const pending = [];
  const endsAt = deployment.now() + 4_000;
  while (deployment.now() < endsAt) {
    pending.push(
      deployment.send(gateway, {
        requestPath: '/stock/indigo',
        headers: {Authorization: 'Token key-2'},
      }),
    );
    await sleep(REQUEST_INTERVAL_MILLISECONDS);
  }
  return Promise.all(pending);
}
