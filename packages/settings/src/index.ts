/**
 * Settings of the processes, read from JSONC files (JSON with comments) and
 * validated against schemas.
 */
export * from './check_addresses/check_addresses.js';
export * from './format_settings_error/format_settings_error.js';
export * from './generated/gateway_settings.js';
export * from './generated/operator_settings.js';
export * from './generated/sidecar_settings.js';
export * from './is_usable_address/is_usable_address.js';
export * from './parse_settings/parse_settings.js';
export * from './read_settings/read_settings.js';
export * from './split_address/split_address.js';
