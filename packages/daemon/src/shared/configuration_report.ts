/**
 * Configuration state that processes include in messages to each other.
 */
import type {ConfigurationReplica} from '@briarpin/coordination';
import type {ExchangeRequest} from '@briarpin/messages';

/** Configuration version, its staleness and changes, as one side sends them. */
export type ConfigurationReport = Pick<
  ExchangeRequest,
  'configurationVersion' | 'newsAgeMilliseconds' | 'update'
>;

const MAXIMUM_REPORTED_AGE_MILLISECONDS = 3_600_000;

/**
 * Applies a peer's report to the configuration of this process.
 *
 * @param replica - Configuration of this process
 * @param report - Report that the peer sent
 */
export function applyConfigurationReport(
  replica: ConfigurationReplica,
  report: ConfigurationReport,
): void {
  if (report.update !== undefined) {
    replica.applyUpdate(report.update);
  }
  // The reported staleness counts only when both versions are equal: that of a
  // peer that is ahead counts once its update has been applied.
  if (report.configurationVersion === replica.table.version) {
    replica.recordStaleness(report.newsAgeMilliseconds);
  }
}

/**
 * Returns the staleness of a replica for a message, in whole milliseconds from
 * 0 to one hour.
 */
export function toReportedAge(replica: ConfigurationReplica): number {
  const age = replica.stalenessMilliseconds;
  return Math.round(
    Math.min(MAXIMUM_REPORTED_AGE_MILLISECONDS, Math.max(0, age)),
  );
}
