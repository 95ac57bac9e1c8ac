/**
 * News of the configuration that travel with other messages.
 */
import type {ConfigurationReplica} from '@briarpin/coordination';
import type {ExchangeRequest} from '@briarpin/messages';

/** What both sides tell each other of their configuration. */
export type ConfigurationNews = Pick<
  ExchangeRequest,
  'configurationVersion' | 'newsAgeMilliseconds' | 'update'
>;

const LARGEST_AGE_MILLISECONDS = 3_600_000;

/**
 * Takes a peer's news of the configuration.
 *
 * @param replica - This process's configuration
 * @param news - What the peer said
 */
export function takeNews(
  replica: ConfigurationReplica,
  news: ConfigurationNews,
): void {
  if (news.update !== undefined) {
    replica.applyUpdate(news.update);
  }
  // The news of a peer that is ahead count once its update has come.
  if (news.configurationVersion === replica.table.version) {
    replica.recordStaleness(news.newsAgeMilliseconds);
  }
}

/** News age of a replica for a message. */
export function toNewsAge(replica: ConfigurationReplica): number {
  const age = replica.stalenessMilliseconds;
  return Math.round(Math.min(LARGEST_AGE_MILLISECONDS, Math.max(0, age)));
}
