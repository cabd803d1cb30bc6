/**
 * How long the end of a tunnel is remembered, milliseconds. The other host asks
 * at once; its timeout includes a full link.
 */
export const TUNNEL_END_KEPT_MILLISECONDS = 3_000;

/** The tunnels that ended lately because their endpoints ended the connection. */
export class TunnelEnds {
  /** When each tunnel ended, oldest first, on the monotonic clock. */
  private readonly endedAt = new Map<string, number>();

  /** Records that a tunnel's endpoint ended the connection. */
  record(tunnelId: string): void {
    const now = performance.now();
    this.endedAt.set(tunnelId, now);
    for (const [id, at] of this.endedAt) {
      if (now - at <= TUNNEL_END_KEPT_MILLISECONDS) {
        break;
      }
      this.endedAt.delete(id);
    }
  }

  /** Whether a tunnel was ended by its endpoint. */
  has(tunnelId: string): boolean {
    return this.endedAt.has(tunnelId);
  }
}
