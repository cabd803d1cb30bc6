import type {
  ArrivalAdmission,
  ArrivedRequest,
  LoopLoad,
  RefusedArrival,
} from '@wisteriadeal/decisions';

import type {CallerExchange} from './caller-exchange.js';
import type {EventLoopMonitor} from './event-loop-monitor.js';

/** A request that was read and not started yet. */
export interface QueuedRequest extends ArrivedRequest {
  readonly caller: CallerExchange;
}

/** Callbacks for requests that leave the queue. */
export interface ArrivalHandlers {
  /** Serves the request. */
  begin(caller: CallerExchange): void;
  /** Replies that the request was not run. */
  refuse(refused: RefusedArrival<QueuedRequest>): void;
  /** The caller has disconnected. */
  callerLeft(caller: CallerExchange): void;
}

/**
 * Holds requests until a connection close queued behind them would have been
 * read, and then starts or refuses them. A caller that has already left costs
 * no more than reading its request.
 */
export class ArrivalQueue {
  private waiting: QueuedRequest[] = [];
  private readonly unanswered = new Set<CallerExchange>();
  private hasAcceptedConnection = false;
  /**
   * End of the last event loop turn without an accepted connection, on the
   * monotonic clock in milliseconds.
   */
  private lastTurnWithoutAcceptAt: number;
  private isTurnScheduled = false;

  constructor(
    private readonly admission: ArrivalAdmission,
    private readonly loopMonitor: EventLoopMonitor,
    private readonly now: () => number,
    private readonly handlers: ArrivalHandlers,
  ) {
    this.lastTurnWithoutAcceptAt = now();
  }

  /** Records that a connection was accepted in this turn. */
  connectionAccepted(): void {
    this.hasAcceptedConnection = true;
  }

  /** Records that a request has ended, with or without an answer. */
  requestEnded(caller: CallerExchange): void {
    this.unanswered.delete(caller);
  }

  /** Records the end of an event loop turn. */
  turnEnded(): void {
    if (!this.hasAcceptedConnection) {
      this.lastTurnWithoutAcceptAt = this.now();
    }
    this.hasAcceptedConnection = false;
  }

  /**
   * Adds a request that was read.
   *
   * @param isFirst Whether the request is the first on its connection, which
   *     may have waited to be accepted since the last turn without an accepted
   *     connection.
   */
  add(arrival: QueuedRequest, isFirst: boolean): void {
    const maximumUnread = isFirst ? this.maximumUnreadMilliseconds() : 0;
    const unreadMilliseconds =
      Math.min(maximumUnread, arrival.objectiveMilliseconds) / 2;
    this.waiting.push({
      ...arrival,
      receivedAt: arrival.receivedAt - unreadMilliseconds,
    });
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) {
      return;
    }
    this.isTurnScheduled = true;
    this.loopMonitor.workScheduled();
    setImmediate(() => {
      this.isTurnScheduled = false;
      this.processQueue();
    });
  }

  private processQueue(): void {
    this.removeDisconnected();
    const ready = this.waiting.filter(({caller}) => caller.canBegin());
    const plan = this.admission.plan(ready, this.load(), this.now());
    this.waiting = this.waiting.filter(arrival => !ready.includes(arrival));
    for (const arrival of plan.begun) {
      this.begin(arrival);
    }
    for (const refused of plan.refused) {
      this.handlers.refuse(refused);
    }
    if (this.waiting.length > 0) {
      this.scheduleTurn();
    }
  }

  private begin(arrival: QueuedRequest): void {
    const {caller} = arrival;
    this.unanswered.add(caller);
    caller.setAnswerListener(() => {
      this.unanswered.delete(caller);
      this.admission.recordAnswerStart(this.load(), this.now());
    });
    this.handlers.begin(caller);
  }

  private removeDisconnected(): void {
    const left = this.waiting.filter(
      ({caller}) => caller.disconnectSignal.aborted,
    );
    if (left.length === 0) {
      return;
    }
    this.waiting = this.waiting.filter(arrival => !left.includes(arrival));
    for (const {caller} of left) {
      this.handlers.callerLeft(caller);
    }
  }

  private load(): LoopLoad {
    return {
      busyMilliseconds: this.loopMonitor.reading.busyMilliseconds,
      unansweredRequests: this.unanswered.size,
    };
  }

  /**
   * Upper bound on how long a new connection may have waited, milliseconds. An
   * idle loop has read all that its sockets held.
   */
  private maximumUnreadMilliseconds(): number {
    const {busyMilliseconds} = this.loopMonitor.reading;
    return Math.min(
      busyMilliseconds,
      this.now() - this.lastTurnWithoutAcceptAt,
    );
  }
}
