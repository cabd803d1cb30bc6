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
  readonly endedAtMilliseconds: number;
}

interface RowAccumulator {
  readonly outcome: string;
  readonly status: number;
  requests: number;
  boundTokens: number;
  readonly requestsByWindow: Map<number, number>;
}

/**
 * Counts requests by how they ended, from the lines of gateways' logs: where an
 * incident's harm lies, before single requests are looked at.
 */
export class RequestTally {
  private readonly rows = new Map<string, RowAccumulator>();
  private totalRequests = 0;

  /** @param windowMilliseconds Ends are told by spans of this length. */
  constructor(private readonly windowMilliseconds: number) {}

  /** Takes one line of a log; whatever is no request's end is passed over. */
  add(line: string): void {
    const request = parseRequestLine(line);
    if (request === undefined) {
      return;
    }
    this.totalRequests++;
    const rowOf = this.row(request);
    rowOf.requests++;
    rowOf.boundTokens += request.bound;
    const window = Math.floor(
      request.endedAtMilliseconds / this.windowMilliseconds,
    );
    rowOf.requestsByWindow.set(
      window,
      (rowOf.requestsByWindow.get(window) ?? 0) + 1,
    );
  }

  /** Most frequent first. */
  result(): readonly TallyRow[] {
    return [...this.rows.values()]
      .sort((one, other) => other.requests - one.requests)
      .map(row => this.toTallyRow(row));
  }

  private row({outcome, status}: RequestLine): RowAccumulator {
    const key = `${outcome} ${status}`;
    let row = this.rows.get(key);
    if (row === undefined) {
      row = {
        outcome,
        status,
        requests: 0,
        boundTokens: 0,
        requestsByWindow: new Map(),
      };
      this.rows.set(key, row);
    }
    return row;
  }

  private toTallyRow({
    requestsByWindow: requestsByWindow,
    ...row
  }: RowAccumulator): TallyRow {
    const [worstWindow = [0, 0]] = [...requestsByWindow].sort(
      (one, other) => other[1] - one[1],
    );
    return {
      ...row,
      part: row.requests / this.totalRequests,
      worstAt: new Date(worstWindow[0] * this.windowMilliseconds).toISOString(),
      worstRequests: worstWindow[1],
    };
  }
}

/** A collector may put a host's name or a time before the object. */
function parseRequestLine(line: string): RequestLine | undefined {
  const start = line.indexOf('{');
  const fields = start === -1 ? undefined : parseJsonObject(line.slice(start));
  if (fields?.event !== 'request') {
    return undefined;
  }
  const {outcome, status, bound, time} = fields;
  const endedAtMilliseconds = typeof time === 'string' ? Date.parse(time) : NaN;
  return typeof outcome !== 'string' || Number.isNaN(endedAtMilliseconds)
    ? undefined
    : {
        outcome,
        status: typeof status === 'number' ? status : 0,
        bound: typeof bound === 'number' ? bound : 0,
        endedAtMilliseconds: endedAtMilliseconds,
      };
}

function parseJsonObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    // A line of another program, or one that was cut.
    return undefined;
  }
}
