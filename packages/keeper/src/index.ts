/**
 * Binary: log, grants and configuration for the routers of its host.
 */
export {Keeper} from './keeper.js';
export type {KeeperSurroundings} from './keeper-parts.js';
