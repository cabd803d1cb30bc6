import {
  callerRoom,
  maximumCallerRoom,
  minimumCallerRoom,
  RoomUse,
  tunnelRoom,
} from '@wisteriadeal/decisions';
import {
  descriptorLimit,
  openDescriptors,
  type EventLog,
} from '@wisteriadeal/runtime';

import type {CallerServer} from './caller-server.js';
import type {EndpointConnectionPool} from './endpoint-connection-pool.js';
import type {TunnelServer} from './tunnel-server.js';

/** What holds connections of a host. */
export interface HostConnectionParts {
  readonly callers: Pick<
    CallerServer,
    'openRequests' | 'connectionsInUse' | 'connectionCounts'
  >;
  readonly connections: EndpointConnectionPool;
  readonly tunnels: Pick<TunnelServer, 'openTunnels'>;
  readonly events: EventLog;
  /**
   * Connections that the machine allows the process; undefined if only the process's
   * limit on descriptors bounds them.
   */
  readonly connectionLimit: number | undefined;
}

/** Counts the connections and the file descriptors that this host holds. */
export class HostConnections {
  private readonly limit: number | undefined;
  private readonly roomUse = new RoomUse();

  constructor(private readonly parts: HostConnectionParts) {
    this.limit = parts.connectionLimit ?? descriptorLimit();
  }

  /** Numbers by kind, without those that the system does not tell. */
  get known(): Readonly<Record<string, number>> {
    const {callers, connections, tunnels} = this.parts;
    const {connectionCounts} = callers;
    const {used, kept} = connections.counts;
    const open = openDescriptors();
    return {
      callers: connectionCounts.connections,
      callersIdle: connectionCounts.idle,
      endpoints: used + kept,
      endpointsIdle: kept,
      tunnels: tunnels.openTunnels,
      ...(this.limit === undefined ? {} : {callerRoom: this.callerRoom}),
      ...(open === undefined ? {} : {openDescriptors: open}),
      ...(this.limit === undefined ? {} : {connectionLimit: this.limit}),
    };
  }

  /** Number of callers' connections that leave room for what the host needs itself. */
  get callerRoom(): number {
    return this.callerRoomBeside(this.parts.connections.counts.kept);
  }

  /** @param kept Number of connections to endpoints that stay although they are idle. */
  private callerRoomBeside(kept: number): number {
    const {callers, connections, tunnels} = this.parts;
    const {used} = connections.counts;
    return callerRoom({
      limit: this.limit,
      used,
      kept,
      requests: callers.openRequests,
      tunnels: tunnels.openTunnels,
    });
  }

  /**
   * Makes room for callers' connections beyond `callerRoom`: of the reserve, then of kept
   * connections to endpoints.
   *
   * @returns For how many.
   */
  increaseCallerRoom(count: number): number {
    const {connections, tunnels} = this.parts;
    const maximum = maximumCallerRoom({
      limit: this.limit,
      ...connections.counts,
      tunnels: tunnels.openTunnels,
    });
    const spare = Math.max(0, maximum - this.callerRoom);
    return spare + connections.closeLongestIdle(Math.max(0, count - spare));
  }

  /** The smallest that `callerRoom` can be. */
  get minimumCallerRoom(): number {
    return minimumCallerRoom(this.limit);
  }

  /** Whether callers' connections in use leave too little room for new ones. */
  get isRoomTaken(): boolean {
    return this.roomUse.isTaken;
  }

  /**
   * Updates `isRoomTaken`. Must be called several times a second.
   *
   * @param now Monotonic clock, milliseconds.
   */
  observe(now: number): void {
    const wasTaken = this.isRoomTaken;
    const sample = {
      inUse: this.parts.callers.connectionsInUse,
      room: this.callerRoomBeside(0),
    };
    this.roomUse.observe(now, sample);
    if (this.isRoomTaken !== wasTaken) {
      this.parts.events.info('room for callers changed', {
        isTaken: this.isRoomTaken,
        ...sample,
        ...this.known,
      });
    }
  }

  /** Whether there is room for another tunnel. */
  get hasTunnelRoom(): boolean {
    return this.parts.tunnels.openTunnels < tunnelRoom(this.limit);
  }
}
