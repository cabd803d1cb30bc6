import type {ConnectRouter} from '@connectrpc/connect';
import {registerInspection} from '@wisteriadeal/runtime';
import {KeeperService} from '@wisteriadeal/schema';

import type {KeeperParts} from './keeper-parts.js';

/** Registers the services of a keeper for routers, peers and operators. */
export function registerKeeper(
  router: ConnectRouter,
  parts: KeeperParts,
): void {
  router.service(KeeperService, {
    routerSession: messages => parts.sessions.serve(messages),
    replicate: messages => parts.witnessService.replicate(messages),
    followStream: (request, context) =>
      parts.relayServer.follow(request, context.signal),
    transferGrant: request => parts.transfers.handleRequest(request),
    keepEntries: request => parts.keptEntries.keep(request),
    gossip: message => {
      parts.membership.recordHeartbeat(message);
      return parts.gossipMessage();
    },
  });
  registerInspection(router, parts.inspection);
}
