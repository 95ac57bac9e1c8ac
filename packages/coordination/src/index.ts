/**
 * Building blocks for processes that coordinate through an append-only log.
 */
export * from './append_only_log/append_only_log.js';
export * from './awaited_read/awaited_read.js';
export * from './claim_log/claim_log.js';
export * from './claim_table/claim_table.js';
export * from './clock/clock.js';
export * from './compute_fingerprint/compute_fingerprint.js';
export * from './configuration_replica/configuration_replica.js';
export * from './configuration_table/configuration_table.js';
export * from './endpoint_registry/endpoint_registry.js';
export * from './evacuated_zones/evacuated_zones.js';
export * from './find_route/find_route.js';
export * from './follow_keyed_topic/follow_keyed_topic.js';
export * from './follow_log/follow_log.js';
export * from './freshness_exchange/freshness_exchange.js';
export * from './in_memory_log/in_memory_log.js';
export * from './is_later_incarnation/is_later_incarnation.js';
export * from './keep_registered/keep_registered.js';
export * from './keeper_selector/keeper_selector.js';
export * from './membership_view/membership_view.js';
export * from './publish_change/publish_change.js';
export * from './rank_by_rendezvous/rank_by_rendezvous.js';
export * from './resolve_policy/resolve_policy.js';
export * from './routing_configuration/routing_configuration.js';
export * from './select_endpoint_subset/select_endpoint_subset.js';
export * from './select_log_pollers/select_log_pollers.js';
export * from './select_readers/select_readers.js';
export * from './software_version_history/software_version_history.js';
export * from './staleness_tracker/staleness_tracker.js';
export * from './stream_origin_table/stream_origin_table.js';
export * from './suspicion_replica/suspicion_replica.js';
export * from './suspicion_table/suspicion_table.js';
export * from './virtual_clock/virtual_clock.js';
export * from './constants.js';
