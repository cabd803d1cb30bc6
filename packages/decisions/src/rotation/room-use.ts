/** Part of the room from which connections in use leave too little for new ones. */
const TAKEN_PART = 7 / 8;
/** Part of the room below which there is enough for new ones again. */
const FREE_PART = 3 / 4;
/**
 * Time below that part before the host accepts connections again, in milliseconds. The
 * load balancer checks once a second and removes a host after two checks.
 */
const MINIMUM_FREE_MILLISECONDS = 2_000;

/** Callers' connections of a host. */
export interface RoomSample {
  /** Connections on which something is in progress. */
  readonly inUse: number;
  /** Number of connections for which the host has room; may be infinite. */
  readonly room: number;
}

/**
 * Detects that connections in use take almost all of a host's room for them, so that it
 * would soon close new ones unread, while other hosts have room.
 *
 * @example
 * ```ts
 * use.observe(now, {inUse: connections.inUse, room: callerRoom});
 * response.statusCode = use.isTaken ? 503 : 200;
 * ```
 */
export class RoomUse {
  private freeSince: number | undefined;
  private wasTaken = false;

  /** Whether there is too little room for new connections. */
  get isTaken(): boolean {
    return this.wasTaken;
  }

  /**
   * Records the connections. Must be called several times a second.
   *
   * @param now Monotonic clock, in milliseconds.
   */
  observe(now: number, {inUse, room}: RoomSample): void {
    if (inUse >= room * TAKEN_PART) {
      this.wasTaken = true;
    }
    if (inUse >= room * FREE_PART) {
      this.freeSince = undefined;
      return;
    }
    this.freeSince ??= now;
    this.wasTaken &&= now - this.freeSince < MINIMUM_FREE_MILLISECONDS;
  }
}
