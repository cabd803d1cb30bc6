/** What a request that has not ended is waiting for. */
export enum RequestStage {
  /** Its turn, or the data that a process needs before it serves requests. */
  Start = 'start',
  /** The rest of its body. */
  Body = 'body',
  /** What other hosts know of the stream that it takes up. */
  TakeUp = 'takeUp',
  /** The decision whether it may crash an endpoint. */
  Suspects = 'suspects',
  /** Tokens, either before it is sent or for an answer that is ready. */
  Tokens = 'tokens',
  /** Its admission to the engines. */
  Admission = 'admission',
  /** The choice of an endpoint. */
  Placement = 'placement',
  /** An endpoint's answer. */
  Endpoint = 'endpoint',
  /** The rest of the answer, of which the caller has got a part. */
  Answer = 'answer',
}

/** How long a request may take once it is sent. */
export interface SentDuration {
  /** The request is ended by then, on the monotonic clock in milliseconds. */
  readonly deadlineAt: number;
  /**
   * Typical duration of requests of its kind, in milliseconds; undefined if only
   * the deadline is known.
   */
  readonly typicalMilliseconds: number | undefined;
}

/** Thrown while a request waits that must not be sent to an endpoint any more. */
export class RequestWithdrawnError extends Error {
  override readonly name: string = 'RequestWithdrawnError';
}

/** How far a request has come, and whether it may still be sent. */
export class RequestProgress {
  private attempts = 0;
  private hasWithdrawn = false;
  private interrupt: () => void = () => undefined;

  /** Undefined until the request's route is known. */
  duration: SentDuration | undefined;

  /** What the request is waiting for. */
  stage = RequestStage.Start;

  /** Whether it must not be sent to an endpoint any more. */
  get isWithdrawn(): boolean {
    return this.hasWithdrawn;
  }

  /** Whether it was handed to a connection to an endpoint. */
  get wasSent(): boolean {
    return this.attempts > 0;
  }

  /** Keeps the request from being sent from now on, and ends its wait. */
  withdraw(): void {
    this.hasWithdrawn = true;
    this.interrupt();
  }

  /**
   * Waits for something that the request needs before it is sent.
   *
   * @throws RequestWithdrawnError once the request is withdrawn.
   * @example
   * ```ts
   * const body = await progress.waitFor(RequestStage.Body, caller.readBody(limit));
   * ```
   */
  waitFor<Result>(stage: RequestStage, work: Promise<Result>): Promise<Result> {
    this.stage = stage;
    return new Promise((resolve, reject) => {
      this.interrupt = () => {
        reject(new RequestWithdrawnError());
      };
      if (this.hasWithdrawn) {
        this.interrupt();
      }
      work.then(resolve, reject);
    });
  }

  /** Records that the request is sent to an endpoint. */
  attemptBegins(): void {
    this.attempts++;
    this.stage = RequestStage.Endpoint;
  }
}
