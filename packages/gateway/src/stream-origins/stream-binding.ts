import {isSameOrigin, type StreamOrigin} from '@wisteriadeal/decisions';

/**
 * Binds a stream to the service and build that sent its first event. Endpoints
 * don't check what began the stream that they are asked to continue.
 */
export class StreamBinding {
  private hasEvent = false;

  /**
   * @param bound What began the stream, if the caller takes one up.
   * @param onBegan Called with the first event of this request.
   */
  constructor(
    private bound: StreamOrigin | undefined,
    private readonly onBegan: (origin: StreamOrigin) => void,
  ) {}

  /** What the stream is bound to; undefined before its first event. */
  get origin(): StreamOrigin | undefined {
    return this.bound;
  }

  /** Records an event that is passed on to the caller; the first one binds. */
  bind(origin: StreamOrigin): void {
    this.bound ??= origin;
    if (!this.hasEvent) {
      this.hasEvent = true;
      this.onBegan(this.bound);
    }
  }

  /** Whether an endpoint may begin or continue the stream. */
  admits(endpoint: StreamOrigin): boolean {
    return this.bound === undefined || isSameOrigin(this.bound, endpoint);
  }
}
