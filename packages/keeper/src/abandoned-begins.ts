import type {AbandonRequest, BeginRequest} from '@wisteriadeal/schema';

/** Maximum number of abandoned requests kept, which limits memory. */
const MAXIMUM_REQUESTS = 20_000;

interface AbandonedNumbers {
  readonly listed: Set<number>;
  through: number;
}

/**
 * The begins that routers have reported as not run. An abandon can arrive
 * before the begin that it refers to, or at another keeper than the one that
 * gets or inherits the reservation, so it is kept for later.
 */
export class AbandonedBegins {
  private readonly requests = new Map<string, AbandonedNumbers>();

  /** Records an abandon message of a router incarnation. */
  add(message: AbandonRequest, router: string): void {
    if (message.throughBegin === 0 && message.lostBegins.length === 0) {
      return;
    }
    const numbers = this.getOrCreate(message.requestId, router);
    numbers.through = Math.max(numbers.through, message.throughBegin);
    message.lostBegins.forEach(beginNumber => numbers.listed.add(beginNumber));
  }

  /** Records a begin whose reservation this keeper has released again. */
  addBegin({requestId, beginNumber}: BeginRequest, router: string): void {
    if (beginNumber > 0) {
      this.getOrCreate(requestId, router).listed.add(beginNumber);
    }
  }

  /**
   * Whether a router has reported that a begin of a request did not run. A begin
   * without a number, and a request that another router has taken over, are
   * never covered.
   */
  has(requestId: string, router: string, beginNumber: number): boolean {
    const numbers = this.requests.get(keyOf(requestId, router));
    return (
      beginNumber > 0 &&
      numbers !== undefined &&
      (beginNumber <= numbers.through || numbers.listed.has(beginNumber))
    );
  }

  private getOrCreate(requestId: string, router: string): AbandonedNumbers {
    const key = keyOf(requestId, router);
    const numbers = this.requests.get(key) ?? {listed: new Set(), through: 0};
    this.requests.delete(key);
    this.requests.set(key, numbers);
    this.evictOldest();
    return numbers;
  }

  private evictOldest(): void {
    for (const key of this.requests.keys()) {
      if (this.requests.size <= MAXIMUM_REQUESTS) {
        return;
      }
      this.requests.delete(key);
    }
  }
}

function keyOf(requestId: string, router: string): string {
  return `${router}\0${requestId}`;
}
