import type {CallerExchange} from './caller-exchange.js';
import type {EndpointExchange} from './endpoint-exchange.js';
import {
  EventStreamSplitter,
  type StreamEvent,
} from './event-stream-splitter.js';
import type {RequestRecord} from './request-record.js';
import type {SilenceWatch} from './silence-watch.js';

/** How passing on one endpoint's part of a stream ended. */
export enum RelayEnd {
  /** The stream is whole. */
  Whole = 'whole',
  /** It was cut, fell silent, or does not follow what was passed on. */
  Cut = 'cut',
  /** The caller has left. */
  CallerLeft = 'caller-left',
}

/**
 * Passes whole events on as they come. Each must follow the one before it: a run
 * that was resumed elsewhere may begin too early or too late, and a stream with a
 * gap or a repeated event is worse to its caller than one that was cut.
 */
export async function relayStream(
  exchange: EndpointExchange,
  caller: CallerExchange,
  record: RequestRecord,
  watch: SilenceWatch,
  now: () => number,
): Promise<RelayEnd> {
  const relay = new StreamRelay(exchange, caller, record, watch, now);
  await exchange.read(chunk => relay.take(chunk));
  return relay.end;
}

class StreamRelay {
  private readonly splitter = new EventStreamSplitter();
  private isOutOfOrder = false;

  constructor(
    private readonly exchange: EndpointExchange,
    private readonly caller: CallerExchange,
    private readonly record: RequestRecord,
    private readonly watch: SilenceWatch,
    private readonly now: () => number,
  ) {}

  /** @returns Where the caller does not read: resolves when more may come. */
  take(chunk: Buffer): Promise<void> | undefined {
    if (this.isOutOfOrder) {
      return undefined;
    }
    const events = this.splitter.push(chunk);
    const passed = inOrder(events, this.record.lastEventId);
    if (passed.length < events.length) {
      this.isOutOfOrder = true;
      this.exchange.cancel('event out of order');
    }
    return passed.length === 0 ? undefined : this.pass(passed);
  }

  get end(): RelayEnd {
    if (this.isOutOfOrder) {
      return RelayEnd.Cut;
    }
    if (this.caller.leaving.aborted) {
      return RelayEnd.CallerLeft;
    }
    const isWhole = this.exchange.isWhole && this.splitter.rest.length === 0;
    return isWhole ? RelayEnd.Whole : RelayEnd.Cut;
  }

  private pass(events: readonly StreamEvent[]): Promise<void> | undefined {
    this.watch.heard();
    for (const {id} of events) {
      this.record.eventPassed(this.now());
      this.record.lastEventId = id ?? this.record.lastEventId;
    }
    return this.caller.write(joined(events));
  }
}

/** The events up to the first that does not follow what was passed on. */
function inOrder(
  events: readonly StreamEvent[],
  lastEventId: string | undefined,
): readonly StreamEvent[] {
  let last = lastEventId;
  const broken = events.findIndex(event => {
    const isBroken = !follows(event, last);
    last = event.id ?? last;
    return isBroken;
  });
  return broken === -1 ? events : events.slice(0, broken);
}

function joined(events: readonly StreamEvent[]): Buffer {
  const [first] = events;
  return events.length === 1 && first !== undefined
    ? first.bytes
    : Buffer.concat(events.map(({bytes}) => bytes));
}

/** Identifiers are whole numbers that count up by one. */
function follows(event: StreamEvent, last: string | undefined): boolean {
  if (event.id === undefined || last === undefined) {
    return true;
  }
  return Number(event.id) === Number(last) + 1;
}
