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

/** How far a request has come. */
export class RequestProgress {
  private attempts = 0;

  /** What the request is waiting for. */
  stage = RequestStage.Start;

  /** Whether it was handed to a connection to an endpoint. */
  get wasSent(): boolean {
    return this.attempts > 0;
  }

  /** Records that the request is sent to an endpoint. */
  attemptBegins(): void {
    this.attempts++;
    this.stage = RequestStage.Endpoint;
  }
}
