import type {DescService} from '@bufbuild/protobuf';
import {ConnectError, createClient, type Client} from '@connectrpc/connect';
import {Fate, hostShortageOf} from '@wisteriadeal/platform';
import {createConnectTransport} from '@connectrpc/connect-node';
import {Agent} from 'node:http';

import {MAXIMUM_PEER_MESSAGE_BYTES} from './peer-messages.js';

/** Whether a failed call may have taken effect; not if this host could not begin its connect. */
export function fateOfCall(error: unknown): Fate {
  return error instanceof ConnectError &&
    hostShortageOf(error.cause) !== undefined
    ? Fate.NotDone
    : Fate.Unknown;
}

/** A client for one host, and its connections. */
export interface PeerClient<Service extends DescService> {
  readonly client: Client<Service>;
  readonly connections: Agent;
}

/**
 * Clients of one service at other hosts, over Connect with HTTP/1.1. With HTTP/2, the
 * library's session raises an uncaught error if the peer sends GOAWAY while the session is
 * being abandoned, which would end the process with all its requests.
 */
export class PeerClients<Service extends DescService> {
  private readonly peers = new Map<string, PeerClient<Service>>();

  constructor(private readonly service: Service) {}

  /** The client for the host at an address; it connects when it is first used. */
  at(address: string): PeerClient<Service> {
    let peer = this.peers.get(address);
    if (peer === undefined) {
      const connections = new Agent({keepAlive: true, noDelay: true});
      const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '1.1',
        nodeOptions: {agent: connections},
        readMaxBytes: MAXIMUM_PEER_MESSAGE_BYTES,
      });
      peer = {client: createClient(this.service, transport), connections};
      this.peers.set(address, peer);
    }
    return peer;
  }

  /** Whether a call to this address would need a new connection. */
  needsConnection(address: string): boolean {
    const kept = this.peers.get(address)?.connections.freeSockets ?? {};
    return Object.keys(kept).length === 0;
  }

  /** Closes a client's connections, since one without an answer may stay unresponsive. */
  closeClient(address: string, peer: PeerClient<Service>): void {
    peer.connections.destroy();
    if (this.peers.get(address) === peer) {
      this.peers.delete(address);
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const [address, peer] of [...this.peers]) {
      this.closeClient(address, peer);
    }
  }
}
