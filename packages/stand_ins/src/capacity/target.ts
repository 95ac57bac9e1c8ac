/**
 * Target size of a deployment and the settings for the capacity computation.
 */

/** Required size, load and limits of a deployment. */
export const TARGET = {
  gateways: 370,
  sidecars: 600,
  requestsPerSecond: 7_400,
  tokensPerSecond: 2_300_000,
  betweenTokensMilliseconds: 78,
  organisations: 8_900,
  models: 3,
  availabilityZones: 5,
  changesPerDay: 1_000,
  controlCorePercent: 1.2,
  controlBytesPerSecond: 22_000,
  memoryBytes: 256_000_000,
} as const;

/**
 * Settings that the capacity is computed with: defaults, except where a comment
 * gives the default.
 */
export const SETTINGS = {
  endpointsPerService: 8,
  /** Increased for the target size; the default is 1 s. */
  membershipPollSeconds: 10,
  bytesPerMember: 150,
  pollersPerAvailabilityZone: 3,
  configurationReadsPerSecond: 1,
  suspicionPollSeconds: 10,
  predictionsPerSecond: 10,
  histogramSeries: 512,
  claimAppendsPerSecond: 300,
  bytesPerChange: 300,
  rackInstances: 20,
} as const;
