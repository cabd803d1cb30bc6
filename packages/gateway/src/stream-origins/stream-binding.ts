import {isSameOrigin, type StreamOrigin} from '@wisteriadeal/decisions';

import type {KnownEndpoint} from '../known-endpoint.js';
import type {EndpointPath} from '../endpoint-path.js';

/** The run that brought the first event of a stream. */
export interface FirstRun {
  readonly endpoint: KnownEndpoint;
  readonly path: EndpointPath;
  /**
   * Time since which what answers has been running, at the latest; monotonic clock,
   * milliseconds.
   */
  readonly openSince: number;
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
   * @param isListReadable Whether the list of endpoints will tell of other starts.
   */
  constructor(
    private readonly takenUp: StreamOrigin | undefined,
    private readonly onFirstEvent: (run: FirstRun) => void,
    private readonly isListReadable: () => boolean = () => true,
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

  /**
   * Whether another run may go on with the stream, as far as the run tells that brought its
   * first event. One that left the list as it began is never confirmed.
   */
  get mayContinue(): boolean {
    return (
      !this.isBound ||
      (this.origin !== undefined && this.isSettled(this.firstRun))
    );
  }

  /**
   * Whether the events of a run may be passed on. Undefined if it is not known yet what
   * runs there, or what began the stream.
   */
  mayPassOn(run: FirstRun): boolean | undefined {
    if (!this.isBound) {
      return true;
    }
    const {origin} = this;
    const candidate = originOf(run);
    if (origin === undefined || candidate === undefined) {
      const unknown = candidate === undefined ? run : this.firstRun;
      return unknown?.endpoint.isReplacedByOther === true ? false : undefined;
    }
    if (!isSameOrigin(origin, candidate)) {
      return false;
    }
    return this.isSettled(run) && this.isSettled(this.firstRun)
      ? true
      : undefined;
  }

  /** Whether the list can tell no more of what ran there. */
  private isSettled(run: FirstRun | undefined): boolean {
    return isConfirmed(run) || !this.isListReadable();
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
  openSince,
}: FirstRun): StreamOrigin | undefined {
  return path.originOf(endpoint, openSince);
}

function isConfirmed(run: FirstRun | undefined): boolean {
  return run?.path.isConfirmed(run.endpoint, run.openSince) ?? true;
}
