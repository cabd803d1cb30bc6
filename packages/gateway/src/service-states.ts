import {
  AnswerEstimate,
  ResendBudget,
  type ResendLimits,
} from '@wisteriadeal/decisions';

/** What this host has seen of one service's requests. */
export interface ServiceState {
  readonly resends: ResendBudget;
  /** First events of streams. */
  readonly firstEvents: AnswerEstimate;
  /** Whole answers. */
  readonly wholeAnswers: AnswerEstimate;
}

/** The states of all services that requests came for. */
export class ServiceStates {
  private readonly states = new Map<string, ServiceState>();

  constructor(private limits: ResendLimits) {}

  /** The state of a service; made where there is none yet. */
  of(service: string): ServiceState {
    let state = this.states.get(service);
    if (state === undefined) {
      state = {
        resends: new ResendBudget(this.limits),
        firstEvents: new AnswerEstimate(),
        wholeAnswers: new AnswerEstimate(),
      };
      this.states.set(service, state);
    }
    return state;
  }

  /** Takes new bounds on resends; what was resent is forgotten with the old. */
  limitResends(limits: ResendLimits): void {
    this.limits = limits;
    for (const [service, state] of this.states) {
      const resends = new ResendBudget(limits);
      this.states.set(service, {...state, resends});
    }
  }
}
