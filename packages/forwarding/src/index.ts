/**
 * Forwards requests unchanged, by route, to a changing set of endpoints.
 */
export * from './admit_request/admit_request.js';
export * from './count_engine_work/count_engine_work.js';
export * from './choose_placement/choose_placement.js';
export * from './cold_endpoints/cold_endpoints.js';
export * from './compute_memory_limit/compute_memory_limit.js';
export * from './crash_quarantine/crash_quarantine.js';
export * from './dialect/dialect.js';
export * from './endpoint_client/endpoint_client.js';
export * from './endpoint_eligibility/endpoint_eligibility.js';
export * from './engine_queue/engine_queue.js';
export * from './endpoint_doubts/endpoint_doubts.js';
export * from './endpoint_ends/endpoint_ends.js';
export * from './endpoint_loads/endpoint_loads.js';
export * from './endpoint_limits/endpoint_limits.js';
export * from './error_response/error_response.js';
export * from './evacuation_turn/evacuation_turn.js';
export * from './evacuator/evacuator.js';
export * from './event_splitter/event_splitter.js';
export * from './exchange/exchange.js';
export type {ForwardingContext} from './forwarding_context/forwarding_context.js';
export * from './forwarding_gateway/forwarding_gateway.js';
export * from './gateway_mesh/gateway_mesh.js';
export * from './gateway_returns/gateway_returns.js';
export * from './list_shared_parts/list_shared_parts.js';
export * from './organisation_work/organisation_work.js';
export * from './memory_budget/memory_budget.js';
export * from './preconnecting_agent/preconnecting_agent.js';
export * from './request_durations/request_durations.js';
export * from './retry_budgets/retry_budgets.js';
export * from './run_evacuation/run_evacuation.js';
export * from './stopped_run/stopped_run.js';
export * from './run_mover/run_mover.js';
export * from './shutdown/shutdown.js';
export * from './stream_origins/stream_origins.js';
export * from './stream_session/stream_session.js';
