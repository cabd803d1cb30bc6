import {isSameOrigin, type StreamOrigin} from '@wisteriadeal/decisions';

import type {KnownEndpoint} from '../known-endpoint.js';
import type {EndpointPath} from '../endpoint-path.js';

/** The run that brought the first event of a stream. */
export interface FirstRun {
  readonly endpoint: KnownEndpoint;
  readonly path: EndpointPath;
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
  bind(run: FirstRun): void {
    if (this.firstRun === undefined) {
      this.firstRun = run;
      this.onFirstEvent(run);
    }
  }

  /** Whether an endpoint may begin or continue the stream over a path now. */
  admits(endpoint: KnownEndpoint, path: EndpointPath, now: number): boolean {
    return !this.isBound || this.fits(path.originOf(endpoint, now));
  }

  /** Whether an endpoint may continue the stream if this host is mistaken about its end. */
  mayAdmit(endpoint: KnownEndpoint, now: number): boolean {
    return !this.isBound || this.fits(endpoint.listedOriginAt(now));
  }

  private fits(candidate: StreamOrigin | undefined): boolean {
    const {origin} = this;
    return (
      origin !== undefined &&
      candidate !== undefined &&
      isSameOrigin(origin, candidate)
    );
  }

  /** Undefined if it is not known; the list may tell of another build later. */
  private get origin(): StreamOrigin | undefined {
    return this.takenUp ?? (this.firstRun && originOf(this.firstRun));
  }
}

/** What a run began at, by what is known now; undefined if it is not known. */
export function originOf({
  endpoint,
  path,
  sentAt,
}: FirstRun): StreamOrigin | undefined {
  return path.originOf(endpoint, sentAt);
}
