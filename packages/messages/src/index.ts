/**
 * Messages between processes, and JSON documents exchanged with callers,
 * engines and the platform. Generated from `proto/` and `schemas/`.
 */
export * from './generated/briarpin.js';
export * from './generated/claim_batch.js';
export * from './generated/completion_request.js';
export * from './generated/configuration_change.js';
export {
  validateConfigurationException,
  type ConfigurationException,
} from './generated/configuration_exception.js';
export * from './generated/configuration_organisation.js';
export * from './generated/configuration_restatement.js';
export * from './generated/configuration_service.js';
export * from './generated/engine_load.js';
export * from './generated/engine_order.js';
export * from './generated/engine_token_event.js';
export {FreshnessMessage, type FreshnessAnswer} from './generated/freshness.js';
export {
  GatewayNews,
  type ArrivedEndpoint,
  type DoubtfulEndpoint,
  type CrashSuspicion,
  type EndpointLimit,
  type EndpointWork,
  type LeavingEndpoint,
  type OrganisationWork,
} from './generated/gateway_news.js';
export * from './generated/gateway_registration.js';
export * from './generated/log_page.js';
export * from './generated/member_list.js';
export * from './generated/policy.js';
export {
  StreamOriginMessage,
  type StreamOriginGroup,
} from './generated/stream_origins.js';
export * from './generated/suspicion_record.js';
export type {SchemaValidator, SchemaViolation} from './schema_validator.js';
export {
  describeViolations,
  type ViolationDescription,
} from './describe_violations/describe_violations.js';
