import type {
  ArrivalAdmission,
  ArrivedRequest,
  LoopLoad,
  RefusedArrival,
} from '@wisteriadeal/decisions';

import type {CallerExchange} from './caller-exchange.js';
import type {LoopWatch} from './loop-watch.js';

/** A request that was read and not begun. */
export interface WaitingArrival extends ArrivedRequest {
  readonly caller: CallerExchange;
}

/** What becomes of requests that were read. */
export interface ArrivalActions {
  /** Serves it. */
  begin(caller: CallerExchange): void;
  /** Answers that it was not run. */
  refuse(refused: RefusedArrival<WaitingArrival>): void;
  /** Its caller has gone. */
  left(caller: CallerExchange): void;
}

/**
 * Holds requests that were read until a close that stands behind them would have shown,
 * and then begins or refuses them. A caller that has left by then costs no more than
 * reading its request.
 */
export class ArrivalQueue {
  private waiting: WaitingArrival[] = [];
  private readonly unanswered = new Set<CallerExchange>();
  private hasConnected = false;
  /** The last turn of the loop in which no connection came. */
  private unhiddenAt: number;
  private isTurning = false;

  constructor(
    private readonly admission: ArrivalAdmission,
    private readonly watch: LoopWatch,
    private readonly now: () => number,
    private readonly actions: ArrivalActions,
  ) {
    this.unhiddenAt = now();
  }

  /** A connection was accepted in this turn. */
  connected(): void {
    this.hasConnected = true;
  }

  /** A request has ended, in whatever way. */
  ended(caller: CallerExchange): void {
    this.unanswered.delete(caller);
  }

  /** A turn of the loop has ended. */
  turned(): void {
    if (!this.hasConnected) {
      this.unhiddenAt = this.now();
    }
    this.hasConnected = false;
  }

  /**
   * A request was read.
   *
   * @param isFirst Whether it came on a new connection: that may have waited unseen
   *     since the last turn of the loop in which none came.
   */
  add(arrival: WaitingArrival, isFirst: boolean): void {
    const longest = isFirst ? this.hiddenMilliseconds() : 0;
    const hidden = Math.min(longest, arrival.objectiveMilliseconds) / 2;
    this.waiting.push({...arrival, cameAt: arrival.cameAt - hidden});
    this.turnLater();
  }

  private turnLater(): void {
    if (this.isTurning) {
      return;
    }
    this.isTurning = true;
    this.watch.working();
    setImmediate(() => {
      this.isTurning = false;
      this.turn();
    });
  }

  private turn(): void {
    this.dropLeft();
    const ready = this.waiting.filter(({caller}) => caller.mayBegin());
    const plan = this.admission.plan(ready, this.load(), this.now());
    this.waiting = this.waiting.filter(arrival => !ready.includes(arrival));
    for (const arrival of plan.begun) {
      this.begin(arrival);
    }
    for (const refused of plan.refused) {
      this.actions.refuse(refused);
    }
    if (this.waiting.length > 0) {
      this.turnLater();
    }
  }

  private begin(arrival: WaitingArrival): void {
    const {caller} = arrival;
    this.unanswered.add(caller);
    caller.whenAnswering(() => {
      this.unanswered.delete(caller);
      this.admission.answered(this.load(), this.now());
    });
    this.actions.begin(caller);
  }

  private dropLeft(): void {
    const left = this.waiting.filter(({caller}) => caller.leaving.aborted);
    if (left.length === 0) {
      return;
    }
    this.waiting = this.waiting.filter(arrival => !left.includes(arrival));
    for (const {caller} of left) {
      this.actions.left(caller);
    }
  }

  private load(): LoopLoad {
    return {
      busyMilliseconds: this.watch.reading.busyMilliseconds,
      unanswered: this.unanswered.size,
    };
  }

  /** Nothing is left in the sockets when the loop pauses. */
  private hiddenMilliseconds(): number {
    const {busyMilliseconds} = this.watch.reading;
    return Math.min(busyMilliseconds, this.now() - this.unhiddenAt);
  }
}
