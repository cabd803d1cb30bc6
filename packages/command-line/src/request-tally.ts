/** Requests with the same outcome and status. */
export interface TallyRow {
  /**
   * The log line's outcome: `answered`, or why the request was not answered.
   */
  readonly outcome: string;
  /** HTTP status sent to the caller; 0 if none was sent. */
  readonly status: number;
  readonly requests: number;
  /** Sum of the maximum tokens that these requests could have used. */
  readonly boundTokens: number;
  /** Fraction of all requests, from 0 to 1. */
  readonly part: number;
  /**
   * Start of the time window in which most of them ended, in the log's time.
   */
  readonly worstAt: string;
  /** Number of requests that ended in that window. */
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
 * Counts requests by outcome and status from gateway log lines. After an
 * incident it shows which failures affected the most requests, before single
 * requests are examined.
 */
export class RequestTally {
  private readonly rows = new Map<string, RowAccumulator>();
  private totalRequests = 0;

  /**
   * @param windowMilliseconds Length of the time windows in which ended
   *     requests are counted.
   */
  constructor(private readonly windowMilliseconds: number) {}

  /** Adds a log line; ignores lines other than those of the event `request`. */
  add(line: string): void {
    const request = parseRequestLine(line);
    if (request === undefined) {
      return;
    }
    this.totalRequests++;
    const row = this.row(request);
    row.requests++;
    row.boundTokens += request.bound;
    const window = Math.floor(
      request.endedAtMilliseconds / this.windowMilliseconds,
    );
    row.requestsByWindow.set(
      window,
      (row.requestsByWindow.get(window) ?? 0) + 1,
    );
  }

  /** Returns the rows with the most requests first. */
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

  private toTallyRow({requestsByWindow, ...row}: RowAccumulator): TallyRow {
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

/**
 * Parses the log line of a finished request; undefined for other lines. The
 * JSON object may have a prefix, since log collectors may prepend a host name
 * or time.
 */
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
        endedAtMilliseconds,
      };
}

function parseJsonObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>;
  } catch {
    // A line of another program, or a truncated one.
    return undefined;
  }
}
