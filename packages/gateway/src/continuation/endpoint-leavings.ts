import type {EndpointDirectory} from '../endpoint-directory.js';
import type {KnownEndpoint} from '../known-endpoint.js';

/** Tells the runs at an endpoint that it leaves. */
export class EndpointLeavings {
  private readonly listeners = new Map<KnownEndpoint, Set<() => void>>();

  /**
   * @param drainMilliseconds How long an endpoint stays after it is listed as
   *     leaving.
   */
  constructor(
    directory: EndpointDirectory,
    readonly drainMilliseconds: number,
  ) {
    directory.onLeaving(endpoint => {
      for (const listener of [...(this.listeners.get(endpoint) ?? [])]) {
        listener();
      }
    });
  }

  /**
   * Calls a listener when the endpoint is listed as leaving.
   *
   * @returns Removes the listener.
   */
  watch(endpoint: KnownEndpoint, listener: () => void): () => void {
    const listeners = this.listeners.get(endpoint) ?? new Set();
    this.listeners.set(endpoint, listeners.add(listener));
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0) {
        this.listeners.delete(endpoint);
      }
    };
  }
}
