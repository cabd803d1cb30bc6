import {isSameOrigin, type StreamOrigin} from '@wisteriadeal/decisions';

import type {KnownEndpoint} from '../endpoint-directory.js';

/** The run that brought the first event of a stream. */
export interface FirstRun {
  readonly endpoint: KnownEndpoint;
  /** Monotonic clock, milliseconds. */
  readonly sentAt: number;
}

/**
 * Binds a stream to the service and build that sent its first event. Endpoints
 * don't check what began the stream that they are asked to continue.
 */
export class StreamBinding {
  private firstRun: FirstRun | undefined;

  /**
   * @param takenUp What began the stream, if the caller takes one up.
   * @param onFirstEvent Called with the first event of this request.
   */
  constructor(
    private readonly takenUp: StreamOrigin | undefined,
    private readonly onFirstEvent: (run: FirstRun) => void,
  ) {}

  /** Whether only endpoints of the build that began the stream may continue it. */
  get isBound(): boolean {
    return this.takenUp !== undefined || this.firstRun !== undefined;
  }

  /** Records a run whose first event is passed on to the caller. */
  bind(endpoint: KnownEndpoint, sentAt: number): void {
    if (this.firstRun === undefined) {
      this.firstRun = {endpoint, sentAt};
      this.onFirstEvent(this.firstRun);
    }
  }

  /** Whether an endpoint may begin or continue the stream now. */
  admits(endpoint: KnownEndpoint, now: number): boolean {
    if (!this.isBound) {
      return true;
    }
    const {origin} = this;
    const candidate = endpoint.originAt(now);
    return (
      origin !== undefined &&
      candidate !== undefined &&
      isSameOrigin(origin, candidate)
    );
  }

  /** Undefined if it is not known; the list may tell of another build later. */
  private get origin(): StreamOrigin | undefined {
    const {takenUp, firstRun} = this;
    return takenUp ?? firstRun?.endpoint.originAt(firstRun.sentAt);
  }
}
