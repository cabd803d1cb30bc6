/**
 * Messages between processes, log records and settings, generated from the protobuf
 * schema in `proto/`.
 */
export * from './generated/wisteriadeal/v1/budget_log_pb.js';
export * from './generated/wisteriadeal/v1/configuration_pb.js';
export * from './generated/wisteriadeal/v1/records_pb.js';
export * from './generated/wisteriadeal/v1/control_pb.js';
export * from './generated/wisteriadeal/v1/crash_suspects_pb.js';
export * from './generated/wisteriadeal/v1/endpoint_places_pb.js';
export * from './generated/wisteriadeal/v1/stream_origins_pb.js';
export * from './generated/wisteriadeal/v1/topic_copies_pb.js';
export * from './generated/wisteriadeal/v1/settings_pb.js';
export * from './generated/wisteriadeal/v1/stand_ins_pb.js';
