/**
 * The configuration that the operator writes, and entries of servers, after the
 * examples of `fleetbench wire` for the site `hqrta-briarpin`.
 */
export const HOST = 'ficu95.example';
export const KEY = 'xd9dnn2ctnfzs989anu6';
export const OTHER_KEY = 'wsjnbanfqasnmgkcuyj8';
export const TENANT = 'huka270';

/** Paths of the four kinds of request. */
export const PATHS = {
  swatchtext: '/lohu930/2f',
  matchhint: '/pufi791/2f',
  holdlot: '/pule252/2f',
  stockpeek: '/puxa403/2f',
};

/** Creates a version of the configuration. */
export function createConfiguration(version, {keys = [KEY, OTHER_KEY]} = {}) {
  const stream = {
    Type: 'stream',
    Service: 'fabricpen',
    Public: false,
    Sticky: true,
    GapAimMs: 180,
  };
  const call = {
    Service: 'remnantdesk',
    TimeoutMs: 800,
    TargetLatencyMs: 171,
    Priority: 2,
    Public: false,
  };
  const routes = [
    {
      Name: 'r-match',
      PathPrefix: '/pufi791/',
      ...stream,
      TimeoutMs: 6_000,
      TargetLatencyMs: 1_500,
      Priority: 0,
      MaxAttempts: 2,
      Resumable: true,
    },
    {
      Name: 'r-swatch',
      PathPrefix: '/lohu930/',
      ...stream,
      TimeoutMs: 39_000,
      TargetLatencyMs: 1_800,
      Priority: 1,
      MaxAttempts: 1,
      Resumable: false,
    },
    {
      Name: 'r-hold',
      PathPrefix: '/pule252/',
      ...call,
      Type: 'non_idempotent',
      MaxAttempts: 1,
    },
    {
      Name: 'r-stock',
      PathPrefix: '/puxa403/',
      ...call,
      Type: 'idempotent',
      MaxAttempts: 2,
    },
  ];
  return {
    Version: version,
    Routes: routes.map(route => ({Hostname: HOST, ...route})),
    Services: [
      {
        Name: 'fabricpen',
        HealthPath: '/health',
        MaxConns: 242,
        Protocol: 'h1',
        Tls: false,
        Engine: {
          Slots: 24,
          KvTokens: 34_319,
          KvTokenBytes: 163_840,
          LinkMbps: 24_000,
          Moves: true,
          Backups: true,
          Stride: 4,
          most: 12,
          PinMs: 4_000,
          HoldMs: 2_000,
          HandleS: 5,
          Models: [{Name: 'm'}],
        },
      },
      {
        Name: 'remnantdesk',
        HealthPath: '/health',
        MaxConns: 100,
        Protocol: 'h1',
        Tls: false,
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: TENANT, ApiKeys: keys, Priority: 1}],
  };
}
