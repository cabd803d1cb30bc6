/**
 * Messages between the processes, records on the log and settings, as generated
 * from the schema in `proto/`.
 */
export * from './generated/wisteriadeal/v1/budget_log_pb.js';
export * from './generated/wisteriadeal/v1/configuration_pb.js';
export * from './generated/wisteriadeal/v1/records_pb.js';
export * from './generated/wisteriadeal/v1/control_pb.js';
export * from './generated/wisteriadeal/v1/settings_pb.js';
export * from './generated/wisteriadeal/v1/stand_ins_pb.js';
