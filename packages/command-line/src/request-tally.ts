/** Requests that ended alike. */
export interface TallyRow {
  /** What the request's line says: `answered`, or the reason that it was not. */
  readonly outcome: string;
  /** Status that the caller got; 0 where it got none. */
  readonly status: number;
  readonly requests: number;
  /** The most tokens that they could have used. */
  readonly boundTokens: number;
  /** Their part of all requests, from 0 to 1. */
  readonly part: number;
  /** When most of them ended: the beginning of that span, as the log tells time. */
  readonly worstAt: string;
  /** How many ended in that span. */
  readonly worstRequests: number;
}

interface RequestLine {
  readonly outcome: string;
  readonly status: number;
  readonly bound: number;
  readonly endedAt: number;
}

interface OpenRow {
  readonly outcome: string;
  readonly status: number;
  requests: number;
  boundTokens: number;
  readonly bySpan: Map<number, number>;
}

/**
 * Counts requests by how they ended, from the lines of gateways' logs: where an
 * incident's harm lies, before single requests are looked at.
 */
export class RequestTally {
  private readonly rows = new Map<string, OpenRow>();
  private total = 0;

  /** @param spanMilliseconds Ends are told by spans of this length. */
  constructor(private readonly spanMilliseconds: number) {}

  /** Takes one line of a log; whatever is no request's end is passed over. */
  add(line: string): void {
    const request = requestLine(line);
    if (request === undefined) {
      return;
    }
    this.total++;
    const row = this.row(request);
    row.requests++;
    row.boundTokens += request.bound;
    const span = Math.floor(request.endedAt / this.spanMilliseconds);
    row.bySpan.set(span, (row.bySpan.get(span) ?? 0) + 1);
  }

  /** Most frequent first. */
  result(): readonly TallyRow[] {
    return [...this.rows.values()]
      .sort((one, other) => other.requests - one.requests)
      .map(row => this.closed(row));
  }

  private row({outcome, status}: RequestLine): OpenRow {
    const key = `${outcome} ${status}`;
    let row = this.rows.get(key);
    if (row === undefined) {
      row = {outcome, status, requests: 0, boundTokens: 0, bySpan: new Map()};
      this.rows.set(key, row);
    }
    return row;
  }

  private closed({bySpan, ...row}: OpenRow): TallyRow {
    const [worst = [0, 0]] = [...bySpan].sort(
      (one, other) => other[1] - one[1],
    );
    return {
      ...row,
      part: row.requests / this.total,
      worstAt: new Date(worst[0] * this.spanMilliseconds).toISOString(),
      worstRequests: worst[1],
    };
  }
}

/** A collector may put a host's name or a time before the object. */
function requestLine(line: string): RequestLine | undefined {
  const start = line.indexOf('{');
  const fields = start === -1 ? undefined : parsed(line.slice(start));
  if (fields?.event !== 'request') {
    return undefined;
  }
  const {outcome, status, bound, time} = fields;
  const endedAt = typeof time === 'string' ? Date.parse(time) : NaN;
  return typeof outcome !== 'string' || Number.isNaN(endedAt)
    ? undefined
    : {
        outcome,
        status: typeof status === 'number' ? status : 0,
        bound: typeof bound === 'number' ? bound : 0,
        endedAt,
      };
}

function parsed(text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    // A line of another program, or one that was cut.
    return undefined;
  }
}
