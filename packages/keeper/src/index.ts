/**
 * The keeper process: follows the log, and serves grants, configuration and
 * membership to the routers of its host.
 */
export {Keeper} from './keeper.js';
export type {KeeperDependencies} from './keeper-parts.js';
