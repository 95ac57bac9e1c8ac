/**
 * Pure functions and in-memory state that decide which requests run, when and
 * where, and which are refused.
 */
export * from './admission_lane/admission_lane.js';
export * from './admission_request/admission_request.js';
export * from './admission_rules/admission_rules.js';
export * from './byte_budget/byte_budget.js';
export * from './choose_endpoint/choose_endpoint.js';
export * from './compute_admission_priority/compute_admission_priority.js';
export * from './compute_cold_share/compute_cold_share.js';
export * from './compute_batch_slowdown/compute_batch_slowdown.js';
export * from './compute_engine_priority/compute_engine_priority.js';
export * from './compute_median/compute_median.js';
export * from './compute_return_delay/compute_return_delay.js';
export * from './compute_shutdown_schedule/compute_shutdown_schedule.js';
export * from './create_rejection/create_rejection.js';
export * from './concurrency_ramp/concurrency_ramp.js';
export * from './decide_evacuation_turn/decide_evacuation_turn.js';
export * from './decide_last_request/decide_last_request.js';
export * from './decide_quarantine/decide_quarantine.js';
export * from './decide_retry/decide_retry.js';
export * from './decide_stop_and_copy/decide_stop_and_copy.js';
export * from './decide_trial/decide_trial.js';
export * from './duration_estimator/duration_estimator.js';
export * from './engine_admission/engine_admission.js';
export * from './engine_scheduler/engine_scheduler.js';
export * from './fair_queue/fair_queue.js';
export * from './find_culprit/find_culprit.js';
export * from './find_call_room/find_call_room.js';
export * from './find_engine_room/find_engine_room.js';
export * from './length_distribution/length_distribution.js';
export * from './length_model/length_model.js';
export * from './margin_controller/margin_controller.js';
export * from './pace_estimator/pace_estimator.js';
export * from './peak_predictor/peak_predictor.js';
export * from './place_requests/place_requests.js';
export * from './recent_work/recent_work.js';
export * from './request/request.js';
export * from './retry_budget/retry_budget.js';
export * from './select_endpoint/select_endpoint.js';
export * from './shared_rate_limit/shared_rate_limit.js';
export * from './start_rate/start_rate.js';
export * from './throughput_meter/throughput_meter.js';
export * from './timer_lateness/timer_lateness.js';
export * from './urgent_allowance/urgent_allowance.js';
export * from './windowed_retry_budget/windowed_retry_budget.js';
export * from './constants.js';
