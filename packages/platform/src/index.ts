/**
 * HTTP clients for the log and the membership list of the platform, and what
 * HTTP clients share.
 */
export * from './can_have_body/can_have_body.js';
export * from './confirm_response_end/confirm_response_end.js';
export * from './find_head_fault/find_head_fault.js';
export * from './growing_buffer/growing_buffer.js';
export * from './guarded_agent/guarded_agent.js';
export * from './http_log/http_log.js';
export * from './probe_listener/probe_listener.js';
export * from './read_members/read_members.js';
export * from './send_http/send_http.js';
export * from './track_response_end/track_response_end.js';
export * from './track_response_head/track_response_head.js';
