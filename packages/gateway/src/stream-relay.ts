import type {CallerExchange} from './caller-exchange.js';
import type {EndpointAttempt} from './endpoint-attempt.js';
import {AnswerFraming, type EndpointExchange} from './endpoint-exchange.js';
import {
  EventStreamSplitter,
  joinEvents,
  type StreamEvent,
} from './event-stream-splitter.js';
import {EventLimit, FillerLimit} from './input-limits/index.js';
import type {RequestRecord} from './request-record.js';

/** How relaying one endpoint's part of a stream ended. */
export enum RelayResult {
  /** The stream is complete. */
  Complete = 'whole',
  /**
   * The stream was cut, timed out, or did not continue from the last delivered
   * event.
   */
  Cut = 'cut',
  /** The caller disconnected. */
  CallerLeft = 'caller-left',
}

/** What is told of a stream while it is relayed. */
export interface StreamListener {
  /**
   * Whether the endpoint's events may be passed on; a promise while that is not known.
   */
  mayPassOn(): true | Promise<boolean>;
  /** Called before the endpoint's first event is passed on; comments are no events. */
  firstEvent(): void;
  /** Called once the stream has gone on for longer than an endpoint that it crashes. */
  outlivedCrash(): void;
}

/**
 * Relays complete events as they arrive. Their identifiers must be consecutive:
 * a run that was resumed at another endpoint may start too early or too late,
 * and a stream with a gap or a repeated event is worse for its caller than one
 * that was cut.
 */
export async function relayStream(
  attempt: EndpointAttempt,
  caller: CallerExchange,
  record: RequestRecord,
  now: () => number,
  listener: StreamListener,
): Promise<RelayResult> {
  const relay = new StreamRelay(attempt, caller, record, now, listener);
  await attempt.exchange.read(chunk => relay.relay(chunk));
  return relay.result;
}

/**
 * Resolves with whether an answer goes on with a stream: its first event follows the last
 * one that was delivered, or it is complete without an event. What was read is held for
 * `relayStream`.
 *
 * @param lastEventId Identifier of the last event that was delivered.
 */
export async function goesOnAfter(
  lastEventId: string | undefined,
  exchange: EndpointExchange,
): Promise<boolean> {
  const splitter = new EventStreamSplitter();
  let first: StreamEvent | undefined;
  await exchange.readBeginning(chunk => {
    first ??= splitter.push(chunk).find(({hasField}) => hasField);
    return first !== undefined;
  });
  return first === undefined
    ? exchange.isComplete && exchange.framing !== AnswerFraming.UntilClose
    : isNextEvent(first, lastEventId);
}

class StreamRelay {
  private readonly splitter = new EventStreamSplitter();
  private readonly limit = new EventLimit();
  private readonly filler = new FillerLimit();
  private isCut = false;
  /** Whether an event, and not only comments, came from this endpoint. */
  private hasEvent = false;
  private hasOutlivedCrash = false;

  constructor(
    private readonly attempt: EndpointAttempt,
    private readonly caller: CallerExchange,
    private readonly record: RequestRecord,
    private readonly now: () => number,
    private readonly listener: StreamListener,
  ) {}

  /**
   * @returns A promise that resolves when more may be written, if the caller
   *     reads too slowly; undefined otherwise.
   */
  relay(chunk: Buffer): Promise<void> | undefined {
    if (this.isCut) {
      return undefined;
    }
    const events = this.splitter.push(chunk);
    const forwardable = eventsInOrder(events, this.record.lastEventId);
    if (forwardable.length < events.length) {
      this.cut('event out of order');
    }
    this.limitEvents(events);
    if (forwardable.length === 0) {
      return undefined;
    }
    const mayPassOn =
      this.hasEvent ||
      !forwardable.some(({hasField}) => hasField) ||
      this.listener.mayPassOn();
    return mayPassOn === true
      ? this.forward(forwardable)
      : this.forwardIf(mayPassOn, forwardable);
  }

  get result(): RelayResult {
    if (this.isCut) {
      return RelayResult.Cut;
    }
    if (this.caller.disconnectSignal.aborted) {
      return RelayResult.CallerLeft;
    }
    return this.isComplete ? RelayResult.Complete : RelayResult.Cut;
  }

  /**
   * Whether the endpoint sent its whole stream. The end of a connection alone
   * doesn't show that: a stream without a length has to end after an event.
   */
  private get isComplete(): boolean {
    const {isComplete, framing} = this.attempt.exchange;
    return (
      isComplete &&
      this.splitter.incompleteBytes === 0 &&
      (this.hasEvent || framing !== AnswerFraming.UntilClose)
    );
  }

  private cut(reason: string): void {
    this.isCut = true;
    this.attempt.exchange.cancel(reason);
  }

  private async forwardIf(
    mayPassOn: Promise<boolean>,
    events: readonly StreamEvent[],
  ): Promise<void> {
    if (await mayPassOn) {
      await this.forward(events);
    } else if (!this.caller.disconnectSignal.aborted) {
      this.cut('endpoint may run another build');
    }
  }

  private limitEvents(events: readonly StreamEvent[]): void {
    const {incompleteBytes} = this.splitter;
    this.attempt.exchange.eventHeld(incompleteBytes);
    const breach =
      this.limit.arrived(incompleteBytes, events.length > 0, this.now()) ??
      this.filler.arrived(sizesOf(events));
    if (breach !== undefined) {
      this.attempt.exchange.endInput(breach);
    }
  }

  private forward(events: readonly StreamEvent[]): Promise<void> | undefined {
    this.attempt.monitor.eventReceived();
    if (!this.hasEvent && events.some(({hasField}) => hasField)) {
      this.hasEvent = true;
      this.listener.firstEvent();
    }
    if (!this.hasOutlivedCrash && !this.attempt.hasJustBegun) {
      this.hasOutlivedCrash = true;
      this.listener.outlivedCrash();
    }
    const now = this.now();
    this.attempt.work.eventsReceived(events.length, now);
    for (const event of events) {
      this.record.eventDelivered(event, now);
    }
    const writable = this.caller.write(joinEvents(events));
    if (writable !== undefined) {
      this.limit.restartTime();
    }
    return writable;
  }
}

/** The events before the first one that is out of order. */
function eventsInOrder(
  events: readonly StreamEvent[],
  lastEventId: string | undefined,
): readonly StreamEvent[] {
  let last = lastEventId;
  const firstOutOfOrder = events.findIndex(event => {
    const isOutOfOrder = !isNextEvent(event, last);
    last = event.id ?? last;
    return isOutOfOrder;
  });
  return firstOutOfOrder === -1 ? events : events.slice(0, firstOutOfOrder);
}

/** Bytes of events with an identifier and of all others. */
function sizesOf(events: readonly StreamEvent[]): {
  readonly fillerBytes: number;
  readonly numberedBytes: number;
} {
  let fillerBytes = 0;
  let numberedBytes = 0;
  for (const {id, length} of events) {
    if (id === undefined) {
      fillerBytes += length;
    } else {
      numberedBytes += length;
    }
  }
  return {fillerBytes, numberedBytes};
}

/** Event identifiers are integers that increase by one. */
function isNextEvent(event: StreamEvent, last: string | undefined): boolean {
  if (event.id === undefined || last === undefined) {
    return true;
  }
  return Number(event.id) === Number(last) + 1;
}
